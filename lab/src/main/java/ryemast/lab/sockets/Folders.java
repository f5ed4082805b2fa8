package ryemast.lab.sockets;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.logging.Logger;

/** Whole folders, with all that is in them. */
public final class Folders {

    private static final Logger LOG = Logger.getLogger(Folders.class.getName());

    private Folders() {
    }

    /** Takes one away; what can't be is left there, and said. */
    public static void delete(Path folder) {
        for (var each : paths(folder, Comparator.reverseOrder())) {
            try {
                Files.deleteIfExists(each);
            } catch (IOException e) {
                LOG.warning(each + " stays: " + e);
            }
        }
    }

    /** A copy as of now; a file that goes meanwhile is left out, as by a copy of a disk in use. */
    public static void copy(Path from, Path to) throws IOException {
        for (var each : paths(from, Comparator.naturalOrder())) {
            var target = to.resolve(from.relativize(each).toString());
            if (Files.isDirectory(each)) {
                Files.createDirectories(target);
            } else {
                try {
                    Files.copy(each, target);
                } catch (NoSuchFileException e) {
                    LOG.fine(() -> each + " went while it was copied");
                }
            }
        }
    }

    private static List<Path> paths(Path folder, Comparator<Path> order) {
        if (!Files.exists(folder)) {
            return List.of();
        }
        try (var all = Files.walk(folder)) {
            return all.sorted(order).toList();
        } catch (IOException e) {
            LOG.warning("the folder " + folder + " can't be read: " + e);
            return List.of();
        }
    }
}
