package ryemast;

import java.nio.file.Path;
import java.util.logging.Logger;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.record.Recorder;

/**
 * Puts a recorder beside the exchange; loaded where the operator wants one, as a start should pay nothing.
 */
final class Recording {

    private static final Logger LOG = Logger.getLogger(Recording.class.getName());

    private Recording() {
    }

    /** To be called before the loop runs. */
    static AutoCloseable begin(Config config, Exchange exchange, Loop loop) {
        var wanted = config.tuning().recording();
        var limits = new Recorder.Limits(Path.of(wanted.folder()), wanted.partBytes(), wanted.totalBytes(),
                wanted.places());
        var recorder = new Recorder(limits, config.name(), version(), settings(), loop.clock()).start();
        exchange.observe(recorder);
        Note.info(LOG, "recording traffic and outcomes in {folder}", "folder", wanted.folder());
        return recorder;
    }

    private static String version() {
        var version = Recording.class.getPackage().getImplementationVersion();
        return version == null ? "" : version;
    }

    /**
     * As the platform gave them: a reader needs names, aims and limits, of which the module keeps but some.
     */
    private static String settings() {
        try {
            var settings = Config.json(System.getenv()).get("settings");
            return settings == null ? "{}" : settings.toString();
        } catch (ConfigException e) {
            return "{}";
        }
    }
}
