package ryemast.net.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Cuts what a watch says into whole objects, each of which ends with a line break. One may be indented over
 * many lines; a beat, an empty line, never comes within one, so that an object that breaks off is noticed at
 * the next beat. Guards the memory against one without end. It counts brackets only; what is wrong with an
 * object is for its reader to say.
 */
final class Frames {

    private final int longest;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    private boolean blank = true;

    /** {@code longest}: of one object, in bytes. */
    Frames(int longest) {
        this.longest = longest;
    }

    /** The object that this byte ends, empty for a beat; null if it ends none. */
    String take(byte next) throws IOException {
        if (next != '\n') {
            object.write(next);
            count(next);
            blank &= Character.isWhitespace(next);
            if (object.size() > longest) {
                object.reset();
                throw new IOException("a line of over " + longest + " bytes");
            }
            return null;
        }
        boolean goesOn = depth > 0 && !quoted;
        if (goesOn && blank) {
            throw new IOException("a malformed line: the list breaks off");
        }
        blank = true;
        if (goesOn) {
            object.write(next);
            return null;
        }
        var text = object.toString(StandardCharsets.UTF_8).strip();
        object.reset();
        depth = 0;
        quoted = false;
        return text;
    }

    private void count(byte next) {
        if (escaped) {
            escaped = false;
        } else if (next == '"') {
            quoted = !quoted;
        } else if (quoted) {
            escaped = next == '\\';
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
    }
}
