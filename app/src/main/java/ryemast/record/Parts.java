package ryemast.record;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;

/**
 * The files of one recording: {@code NAME-TIME-ID-PART.rec}, a new one each time that one is full, and the
 * oldest of this dispatcher's taken away where all together would be too large, those of earlier starts among
 * them.
 */
final class Parts {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'", Locale.ROOT).withZone(ZoneOffset.UTC);

    /** Opens a file that must not be there yet. */
    interface Disk {
        OutputStream open(Path file) throws IOException;

        Disk REAL = file -> Files.newOutputStream(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
    }

    private final Disk disk;
    private final Path folder;
    private final String family;
    private final String prefix;
    private final long partBytes;
    private final long totalBytes;
    private OutputStream out;
    private Path file;
    private int part;
    private long size;

    Parts(Disk disk, Path folder, String dispatcher, String id, long startedMillis, long partBytes,
            long totalBytes) {
        this.disk = disk;
        this.folder = folder;
        this.partBytes = partBytes;
        this.totalBytes = totalBytes;
        family = dispatcher.replaceAll("[^A-Za-z0-9._]", "_") + "-";
        prefix = family + TIME.format(Instant.ofEpochMilli(startedMillis)) + "-" + id + "-";
    }

    /** Whether another file should be begun before anything more is written. */
    boolean full() {
        return out == null || size >= partBytes;
    }

    int part() {
        return part;
    }

    Path file() {
        return file;
    }

    /** Ends the file at hand and begins the next. */
    void next() throws IOException {
        close();
        if (part == 0) {
            Files.createDirectories(folder);
        }
        part++;
        file = folder.resolve(prefix + String.format(Locale.ROOT, "%05d", part) + Layout.ENDING);
        out = disk.open(file);
        out.write(Layout.MAGIC);
        size = Layout.MAGIC.length;
        makeRoom();
    }

    void write(byte[] content, int length) throws IOException {
        var frame = new byte[Layout.FRAME_HEAD + length];
        Layout.head(content, length).get(frame, 0, Layout.FRAME_HEAD);
        System.arraycopy(content, 0, frame, Layout.FRAME_HEAD, length);
        // One write for a frame: whatever ends the program, a frame is there whole, in part or not at all.
        out.write(frame);
        size += frame.length;
    }

    void close() throws IOException {
        if (out != null) {
            var old = out;
            out = null;
            old.close();
        }
    }

    /** Leaves room for the file just begun. */
    private void makeRoom() throws IOException {
        List<Path> own;
        try (var all = Files.list(folder)) {
            own = all.filter(each -> isOwn(each.getFileName().toString()) && !each.equals(file)).sorted()
                    .toList();
        }
        long kept = partBytes;
        for (int i = own.size() - 1; i >= 0; i--) {
            long bytes = Files.exists(own.get(i)) ? Files.size(own.get(i)) : 0;
            kept += bytes;
            if (kept > totalBytes) {
                Files.deleteIfExists(own.get(i));
            }
        }
    }

    private boolean isOwn(String name) {
        return name.startsWith(family) && name.endsWith(Layout.ENDING)
                && name.indexOf('-', family.length()) == family.length() + "yyyyMMddTHHmmssZ".length();
    }
}
