package ryemast.lab.model;

import pipitladder.Dispatcher;
import pipitladder.Dispatcher.Settings;

/**
 * What decides in a modelled dispatcher.
 *
 * @param name   as the command line takes it
 * @param words  a line for people
 * @param talk   how dispatchers tell each other of workers; null: not at all
 */
public record Policy(String name, String words, Maker maker, Talk talk) {

    /** One whose dispatchers tell each other nothing. */
    public Policy(String name, String words, Maker maker) {
        this(name, words, maker, null);
    }

    /** The same with signals, as in {@code signals@late=3,lie=herd}; null where the text is none. */
    public Policy talking(String spec) {
        var how = Talk.of(spec);
        return how == null ? null
                : new Policy(spec, words + "; dispatchers tell each other: " + how, maker, how);
    }

    /** Makes a module for one life of one dispatcher; {@code truth} is for the oracle alone. */
    public interface Maker {
        Dispatcher module(Settings settings, long seed, Truth truth);
    }

    Dispatcher module(Settings settings, long seed, Truth truth) {
        return maker.module(settings, seed, truth);
    }
}
