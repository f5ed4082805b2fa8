package ryemast.lab.cli;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.lab.sockets.EmulatedSite;

/**
 * Hands the configuration to whoever starts an external dispatcher: the site knows it only once its boxes and
 * its discovery have their addresses, and then waits until the dispatcher is up.
 */
final class ConfigFile {

    private static final Logger LOG = Logger.getLogger(ConfigFile.class.getName());
    private static final long LOOK_MS = 20;

    private ConfigFile() {
    }

    /** Writes {@code file} as soon as there is something to write. */
    static void follow(EmulatedSite site, Path file, Live live) throws IOException {
        Files.deleteIfExists(file);
        var thread = new Thread(() -> look(site, file, live), "configuration");
        thread.setDaemon(true);
        thread.start();
    }

    private static void look(EmulatedSite site, Path file, Live live) {
        try {
            while (!written(site, file)) {
                Thread.sleep(LOOK_MS);
            }
            live.say("the dispatcher's configuration is in " + file + "; waiting until it is up");
        } catch (IOException | BadCall e) {
            LOG.log(Level.SEVERE, "the configuration can't be written to " + file, e);
        } catch (InterruptedException e) {
            // The program ends.
        }
    }

    private static boolean written(EmulatedSite site, Path file) throws IOException, BadCall {
        var whole = site.folder() == null ? null : site.folder().resolve("dispatcher-0.json");
        if (whole == null || !Files.exists(whole)) {
            return false;
        }
        try {
            var json = JsonParser.parseString(Files.readString(whole));
            if (!json.isJsonObject()) {
                return false;
            }
            new JsonFile(file).write(json);
            return true;
        } catch (JsonParseException e) {
            // Half written as yet.
            return false;
        }
    }
}
