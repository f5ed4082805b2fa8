package ryemast.record;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;

/**
 * Reads a recording back, entry by entry in the order in which they were written; it holds one frame at a
 * time. What was cut short or damaged is read up to there and said, not thrown: {@link #warnings}.
 */
public final class RecordingReader {

    private final CBORFactory factory = new CBORFactory();
    private final List<String> warnings = new ArrayList<>();
    private final Consumer<? super Entry> to;
    private long entries;
    private long unknown;
    private boolean stopped;
    private String recording;

    private RecordingReader(Consumer<? super Entry> to) {
        this.to = to;
    }

    /**
     * Reads a file, or all files of the recording in a folder that was begun last.
     *
     * @throws IOException with a message for people: it can't be read, or is no recording of a format known
     * here
     */
    public static RecordingReader read(Path fileOrFolder, Consumer<? super Entry> to) throws IOException {
        var reader = new RecordingReader(to);
        var files = reader.files(fileOrFolder);
        for (var file : files) {
            reader.file(file);
        }
        if (reader.unknown > 0) {
            reader.warnings.add(reader.unknown
                    + " records are of kinds that a later program writes; left out");
        }
        if (!reader.stopped) {
            reader.warnings.add("the recording was not ended in order: what was still open then is known in "
                    + "part");
        }
        return reader;
    }

    /** What a reader should know before believing it; empty if all is well. */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    public long entries() {
        return entries;
    }

    private List<Path> files(Path given) throws IOException {
        if (!Files.exists(given)) {
            throw new IOException(given + ": is not there; expected a recording's folder or one of its "
                    + "files");
        }
        if (!Files.isDirectory(given)) {
            return List.of(given);
        }
        // By what stands before the part's number: one recording.
        var byRecording = new TreeMap<String, List<Path>>();
        try (var all = Files.list(given)) {
            all.filter(each -> each.getFileName().toString().endsWith(Layout.ENDING)).sorted()
                    .forEach(each -> {
                var name = each.getFileName().toString();
                int dash = name.lastIndexOf('-');
                byRecording.computeIfAbsent(dash < 0 ? name : name.substring(0, dash), n -> new ArrayList<>())
                        .add(each);
            });
        }
        if (byRecording.isEmpty()) {
            throw new IOException(given + ": holds no file that ends with " + Layout.ENDING);
        }
        if (byRecording.size() > 1) {
            var latest = latest(byRecording);
            warnings.add(given + ": holds " + byRecording.size() + " recordings; the latest is read, "
                    + latest + "; name a folder that holds another alone to read that");
            return byRecording.get(latest);
        }
        return byRecording.firstEntry().getValue();
    }

    private static String latest(TreeMap<String, List<Path>> byRecording) throws IOException {
        String latest = null;
        long at = Long.MIN_VALUE;
        for (var each : byRecording.entrySet()) {
            var files = each.getValue();
            long changed = Files.getLastModifiedTime(files.get(files.size() - 1)).toMillis();
            if (changed >= at) {
                at = changed;
                latest = each.getKey();
            }
        }
        return latest;
    }

    private void file(Path file) throws IOException {
        try (var in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            var magic = in.readNBytes(Layout.MAGIC.length);
            if (!Arrays.equals(magic, Layout.MAGIC)) {
                if (magic.length < Layout.MAGIC.length && Arrays.equals(magic, Arrays.copyOf(Layout.MAGIC,
                        magic.length))) {
                    warnings.add(file.getFileName() + ": cut short before anything was in it");
                    return;
                }
                throw new IOException(file + ": is no recording (it does not begin as one)");
            }
            long at = Layout.MAGIC.length;
            while (true) {
                var content = frame(in, file, at);
                if (content == null) {
                    return;
                }
                at += Layout.FRAME_HEAD + content.length;
                entries(content, file);
            }
        }
    }

    /** The next frame's content; null at the end or where the file is no good from here on. */
    private byte[] frame(DataInputStream in, Path file, long at) throws IOException {
        var head = in.readNBytes(Layout.FRAME_HEAD);
        if (head.length == 0) {
            return null;
        }
        try {
            if (head.length < Layout.FRAME_HEAD) {
                throw new EOFException();
            }
            var buffer = ByteBuffer.wrap(head);
            int length = buffer.getInt();
            int sum = buffer.getInt();
            if (length <= 0 || length > Layout.LONGEST_FRAME) {
                warnings.add(file.getFileName() + ": damaged at byte " + at + "; read up to there");
                return null;
            }
            var content = in.readNBytes(length);
            if (content.length < length) {
                throw new EOFException();
            }
            if (Layout.sum(content, length) != sum) {
                warnings.add(file.getFileName() + ": damaged at byte " + at + "; read up to there");
                return null;
            }
            return content;
        } catch (EOFException e) {
            warnings.add(file.getFileName() + ": cut short at byte " + at + "; read up to there");
            return null;
        }
    }

    private void entries(byte[] content, Path file) throws IOException {
        try (var in = factory.createParser(content)) {
            in.nextToken();
            long at = in.getLongValue();
            while (in.nextToken() == JsonToken.START_ARRAY) {
                int depth = in.getParsingContext().getNestingDepth();
                var kind = Kind.of(integer(in));
                at += number(in);
                Entry entry = null;
                try {
                    entry = kind == null ? null : entry(kind, at, in, file);
                } catch (UnknownWord e) {
                    // Passed over and counted below, as one of an unknown kind is.
                }
                toEnd(in, depth);
                if (entry == null) {
                    unknown++;
                } else {
                    entries++;
                    stopped = entry instanceof Entry.Stopped;
                    to.accept(entry);
                }
            }
        }
    }

    /** Passes over fields that a later program may have added. */
    private static void toEnd(CBORParser in, int depth) throws IOException {
        while (in.getParsingContext().getNestingDepth() >= depth) {
            if (in.nextToken() == null) {
                throw new EOFException("a record has no end");
            }
        }
    }

    private Entry entry(Kind kind, long at, CBORParser in, Path file) throws IOException {
        return switch (kind) {
            case HEADER -> header(at, in, file);
            case TAKEN -> new Entry.Taken(at, number(in), number(in), integer(in), integer(in), figure(in),
                    figure(in), number(in), number(in));
            case TURNED_AWAY -> new Entry.TurnedAway(at, number(in), integer(in), integer(in), figure(in),
                    figure(in), number(in), number(in));
            case SENT -> new Entry.Sent(at, number(in), integer(in), integer(in), number(in));
            case ACCEPTED -> new Entry.Accepted(at, number(in), integer(in));
            case STARTED -> new Entry.Started(at, number(in), integer(in));
            case PROGRESSED -> new Entry.Progressed(at, number(in), integer(in), figure(in));
            case ENDED -> new Entry.Ended(at, number(in), integer(in), word(Outcome.values(), in));
            case ANSWERED -> new Entry.Answered(at, number(in), word(Answer.values(), in), number(in));
            case LISTED -> listed(at, in);
            case DROPPED -> new Entry.Dropped(at, number(in));
            case STOPPED -> new Entry.Stopped(at);
        };
    }

    private Entry.Header header(long at, CBORParser in, Path file) throws IOException {
        int format = integer(in);
        if (format > Layout.FORMAT) {
            throw new IOException(file + ": is of format " + format
                    + ", written by a later program; this one "
                    + "reads up to " + Layout.FORMAT);
        }
        var header = new Entry.Header(at, format, text(in), integer(in), text(in), text(in), text(in));
        if (recording != null && !recording.equals(header.recording())) {
            throw new IOException(file + ": belongs to another recording than the file before it");
        }
        recording = header.recording();
        return header;
    }

    private static Entry.Listed listed(long at, CBORParser in) throws IOException {
        var kind = word(ListKind.values(), in);
        var workers = new ArrayList<Entry.Worker>();
        in.nextToken();
        while (in.nextToken() == JsonToken.START_ARRAY) {
            workers.add(new Entry.Worker(integer(in), number(in), word(WorkerState.values(), in),
                    integer(in), integer(in), integer(in), figure(in), number(in)));
            toEnd(in, in.getParsingContext().getNestingDepth());
        }
        return new Entry.Listed(at, kind, List.copyOf(workers));
    }

    /** A word that a later program added makes its whole record one that is not known. */
    private static <E> E word(E[] words, CBORParser in) throws IOException {
        int number = integer(in);
        if (number < 0 || number >= words.length) {
            throw new UnknownWord();
        }
        return words[number];
    }

    private static final class UnknownWord extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private static int integer(CBORParser in) throws IOException {
        in.nextToken();
        return in.getIntValue();
    }

    private static long number(CBORParser in) throws IOException {
        in.nextToken();
        return in.getLongValue();
    }

    private static double figure(CBORParser in) throws IOException {
        in.nextToken();
        return in.getDoubleValue();
    }

    private static String text(CBORParser in) throws IOException {
        in.nextToken();
        return in.getText();
    }
}
