package ryemast.lab.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Where a result goes. The file holds a whole result or is not touched: it is written beside itself and
 * moved into place, and that it can be is known before the run that it would keep.
 */
final class JsonFile {

    private final Path file;

    /** {@code file}: null if nobody wants one. */
    JsonFile(Path file) throws BadCall {
        this.file = file == null ? null : file.toAbsolutePath();
        if (file != null) {
            check(this.file);
        }
    }

    /** Whether a file of that name can be written. */
    static void check(Path file) throws BadCall {
        var folder = file.getParent();
        if (Files.isDirectory(file)) {
            throw new BadCall(file + ": is a folder; --json needs the name of a file");
        }
        if (folder == null || !Files.isDirectory(folder)) {
            throw new BadCall(file + ": the folder " + folder + " does not exist");
        }
        if (!Files.isWritable(folder)) {
            throw new BadCall(file + ": the folder " + folder + " can't be written to");
        }
    }

    void write(JsonElement result) throws IOException {
        if (file == null) {
            return;
        }
        var text = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().serializeNulls()
                .serializeSpecialFloatingPointValues().create().toJson(result) + "\n";
        // No temporary file of the system's: that would be its owner's alone to read.
        var beside = file.resolveSibling("." + file.getFileName() + "." + ProcessHandle.current().pid()
                + ".part");
        try {
            Files.writeString(beside, text);
            Files.move(beside, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(beside);
        }
    }
}
