package ryemast.toml;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * A file's text and what its parser says of it. Refuses at once what can be no file of ours: whatever is not
 * a file, and one that is too large, before it is read; so that a wrong path costs neither time nor memory.
 */
final class Source {

    /** The longest file of ours has some hundred lines; parsing takes some 4 s a MiB. */
    static final int MOST_BYTES = 1 << 20;
    private static final Pattern KEY = Pattern.compile("\\s*([^=#\\[]+?)\\s*=.*", Pattern.DOTALL);
    private static final Pattern HEADER = Pattern.compile("\\s*\\[\\[?([^\\]#]+)\\]?.*", Pattern.DOTALL);
    private static final Pattern TWICE =
            Pattern.compile("(.+?) previously defined (?:as a literal array )?at line ([0-9]+).*");
    private static final Pattern NO_TABLE =
            Pattern.compile("(.+?) is not an? (.+?) \\(previously defined at line ([0-9]+).*");
    private static final int LONGEST_EXCERPT = 200;

    private final Path file;
    private final Faults faults;
    private final int mostBytes;
    /** Lines of the file above the text that is being parsed. */
    private int above;

    Source(Path file, Faults faults) {
        this(file, faults, MOST_BYTES);
    }

    Source(Path file, Faults faults, int mostBytes) {
        this.file = file;
        this.faults = faults;
        this.mostBytes = mostBytes;
    }

    /** The parsed file; null if not even its form is right. A key that is there twice has its first value. */
    TomlParseResult parse() {
        var text = text();
        return text == null ? null : parse(text, 0);
    }

    /** The same for a part of the file's text, below so many of its lines. */
    TomlParseResult parse(String text, int linesAbove) {
        above = linesAbove;
        TomlParseResult parsed;
        try {
            parsed = Toml.parse(text);
        } catch (StackOverflowError e) {
            // The parser descends once a bracket; no file of ours is more than a few deep.
            add(0, "", "its brackets are nested too deeply to be read; expected a few levels at most");
            return null;
        }
        var lines = text.lines().toList();
        boolean form = true;
        for (var error : parsed.errors()) {
            form &= tell(error, lines);
        }
        return form ? parsed : null;
    }

    /** The file's text; null, with the reason among the faults, if there is none to be had. */
    String text() {
        byte[] bytes;
        try {
            if (Files.isDirectory(file)) {
                return refuse("is a folder; expected a TOML file");
            } else if (!Files.exists(file)) {
                return refuse("there is no such file; expected a TOML file");
            } else if (!Files.isRegularFile(file)) {
                return refuse("is no regular file; expected a TOML file");
            } else if (Files.size(file) > mostBytes) {
                return refuse("has " + Files.size(file) + " bytes; expected at most " + mostBytes);
            }
            try (var in = Files.newInputStream(file)) {
                bytes = in.readNBytes(mostBytes + 1);
            }
        } catch (AccessDeniedException e) {
            return refuse("may not be read by this user; expected a file that it may read");
        } catch (IOException e) {
            return refuse("cannot be read (" + e.getMessage() + "); expected a TOML file");
        }
        if (bytes.length > mostBytes) {
            return refuse("has over " + mostBytes + " bytes; expected at most that many");
        }
        return decoded(bytes);
    }

    private String refuse(String what) {
        add(0, "", what);
        return null;
    }

    private String decoded(byte[] bytes) {
        var in = ByteBuffer.wrap(bytes);
        var out = CharBuffer.allocate(bytes.length + 1);
        if (StandardCharsets.UTF_8.newDecoder().decode(in, out, true).isError()) {
            int line = 1;
            for (int i = 0; i < in.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
            }
            add(line, "", String.format("byte 0x%02X is not UTF-8; expected UTF-8 text",
                    bytes[in.position()] & 0xFF));
            return null;
        }
        var text = out.flip().toString();
        // Some editors put a mark in front that is no part of the text.
        return text.startsWith("\uFEFF") ? text.substring(1) : text;
    }

    /** Tells of a fault that the parser found; whether the file's form may still be relied on. */
    private boolean tell(TomlParseError error, List<String> lines) {
        int line = error.position().line();
        var message = error.getMessage();
        var twice = TWICE.matcher(message);
        var noTable = NO_TABLE.matcher(message);
        var key = keyAt(lines, line);
        if (twice.matches()) {
            add(line, key.isEmpty() ? twice.group(1) : key, "is there twice, first at line "
                    + (Integer.parseInt(twice.group(2)) + above) + "; expected once");
            return true;
        } else if (noTable.matches()) {
            add(line, key.isEmpty() ? noTable.group(1) : key, noTable.group(1)
                    + " has another kind of value at line " + (Integer.parseInt(noTable.group(3)) + above)
                    + "; expected a "
                    + noTable.group(2));
            return true;
        } else if (message.startsWith("Integer is too ")) {
            add(line, key, "the number does not fit in 64 bits; expected a smaller one");
            return true;
        } else if (message.startsWith("Float is too ")) {
            add(line, key, "the number is beyond what a double can hold; expected a smaller one");
            return true;
        }
        var text = message.replaceFirst("^U", "u").replace(", expected ", "; expected ");
        add(line, key, text + " (column " + error.position().column() + ")");
        return false;
    }

    /** The key that a line is about, as far as it can be told from its text; a parser's fault names none. */
    private static String keyAt(List<String> lines, int line) {
        if (line < 1 || line > lines.size()) {
            return "";
        }
        var own = lines.get(line - 1);
        var header = HEADER.matcher(own);
        if (header.matches()) {
            return excerpt(header.group(1));
        }
        var key = KEY.matcher(own);
        if (!key.matches()) {
            return "";
        }
        for (int earlier = line - 2; earlier >= 0; earlier--) {
            var table = HEADER.matcher(lines.get(earlier));
            if (table.matches()) {
                return excerpt(table.group(1).strip() + "." + key.group(1));
            }
        }
        return excerpt(key.group(1));
    }

    private static String excerpt(String text) {
        var kept = text.strip();
        return kept.length() > LONGEST_EXCERPT ? kept.substring(0, LONGEST_EXCERPT) + "..." : kept;
    }

    private void add(int line, String key, String what) {
        faults.add(file, line > 0 ? line + above : 0, key, what);
    }
}
