package ryemast.lab.model;

import pipitladder.Dispatcher;
import pipitladder.Dispatcher.Settings;

/**
 * What decides in a modelled dispatcher.
 *
 * @param name   as the command line takes it
 * @param words  a line for people
 */
public record Policy(String name, String words, Maker maker) {

    /** Makes a module for one life of one dispatcher; {@code truth} is for the oracle alone. */
    public interface Maker {
        Dispatcher module(Settings settings, long seed, Truth truth);
    }

    Dispatcher module(Settings settings, long seed, Truth truth) {
        return maker.module(settings, seed, truth);
    }
}
