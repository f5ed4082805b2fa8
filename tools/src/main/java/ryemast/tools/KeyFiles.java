package ryemast.tools;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;

/**
 * Keys and certificates in files. Guarantees that nobody but their owner can read a key at any time, that a
 * file is whole or not there (written beside, synced, moved), and that none is overwritten unless that was
 * asked for.
 */
final class KeyFiles {

    private static final String OWNER_FILE = "rw-------";
    private static final String OWNER_FOLDER = "rwx------";

    private KeyFiles() {
    }

    static void folder(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            var parent = folder.toAbsolutePath().getParent();
            if (parent != null) {
                Files.createDirectories(parent);
            }
            Files.createDirectory(folder, PosixFilePermissions.asFileAttribute(
                    PosixFilePermissions.fromString(OWNER_FOLDER)));
        }
    }

    /** Owner only; {@code replace}: whether there may be one already. */
    static void write(Path file, String text, boolean replace) throws IOException {
        if (!replace && Files.exists(file)) {
            throw new IOException(file + " is there already; --renew makes a new one in its place");
        }
        var beside = file.resolveSibling(file.getFileName() + ".new");
        Files.deleteIfExists(beside);
        Files.createFile(beside, PosixFilePermissions.asFileAttribute(
                PosixFilePermissions.fromString(OWNER_FILE)));
        try (var out = java.nio.channels.FileChannel.open(beside, StandardOpenOption.WRITE)) {
            var bytes = java.nio.ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    static String pem(Object what) throws IOException {
        var text = new StringWriter();
        try (var out = new JcaPEMWriter(text)) {
            out.writeObject(what instanceof PrivateKey key ? new JcaPKCS8Generator(key, null) : what);
        }
        return text.toString();
    }

    static String pem(List<X509Certificate> certificates) throws IOException {
        var all = new StringBuilder();
        for (var each : certificates) {
            all.append(pem((Object) each));
        }
        return all.toString();
    }

    /** Lines of a file that may not be there. */
    static List<String> lines(Path file) throws IOException {
        return Files.exists(file) ? new ArrayList<>(Files.readAllLines(file)) : new ArrayList<>();
    }
}
