package ryemast.entries;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import ryemast.toml.TomlTable;

/** The files that entries name for their bodies, each read once however many entries name it. */
final class Bodies {

    /** What a job's body may hold beside its path and headers. */
    static final int MOST_BYTES = 64 << 10;
    /** Of all bodies: they are held in memory, as a fire must send what was read with its revision. */
    static final int MOST_OF_ALL = 16 << 20;

    private static final Body NONE = new Body(ByteBuffer.allocate(0));

    private final Path folder;
    private final Map<Path, Body> read = new HashMap<>();
    private int bytes;

    /** @param digest  over the bytes, made once for all entries with this body */
    record Body(ByteBuffer bytes, String digest) {
        Body(ByteBuffer bytes) {
            this(bytes, new Digest("body").add(bytes.duplicate()).end());
        }
    }

    Bodies(Path entriesFile) {
        folder = entriesFile.toAbsolutePath().getParent();
    }

    /** Empty where the key is absent or its file will not do. */
    Body of(TomlTable entry, String key) {
        var name = entry.text(key, null, "a path, from the folder of the entries file");
        if (name == null) {
            return NONE;
        }
        try {
            var path = folder.resolve(name).normalize();
            var known = read.get(path);
            return known != null ? known : read(entry, key, path);
        } catch (InvalidPathException e) {
            entry.wrong(key, "a path, from the folder of the entries file");
            return NONE;
        }
    }

    private Body read(TomlTable entry, String key, Path path) {
        var body = ByteBuffer.allocate(0);
        var most = "; expected a file of at most " + MOST_BYTES + " bytes";
        try {
            if (!Files.isRegularFile(path)) {
                entry.complain(key, (Files.exists(path) ? path + " is no regular file"
                        : "there is no file " + path) + most);
                return NONE;
            }
            try (var in = Files.newInputStream(path)) {
                body = ByteBuffer.wrap(in.readNBytes(MOST_BYTES + 1)).asReadOnlyBuffer();
            }
        } catch (NoSuchFileException e) {
            entry.complain(key, "there is no file " + path + " any more" + most);
        } catch (IOException e) {
            entry.complain(key, path + " can't be read (" + e.getMessage() + ")" + most);
        }
        bytes += body.remaining();
        if (body.remaining() > MOST_BYTES) {
            entry.complain(key, path + " is longer" + most);
        } else if (bytes > MOST_OF_ALL) {
            entry.complain(key, "with " + path + " the bodies are larger than " + MOST_OF_ALL
                    + " bytes together; expected less, or several entries with one file");
        }
        var found = new Body(body);
        read.put(path, found);
        return found;
    }
}
