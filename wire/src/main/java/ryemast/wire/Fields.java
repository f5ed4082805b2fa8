package ryemast.wire;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message, or a part of one: fields by name, each a text, a whole number, a truth value, bytes, a list or
 * fields again. Asking for one that is missing or of another kind is an error that names it by its path, as
 * in {@code submit.template.class}. Fields that nobody asks for are passed over, so that later versions may
 * add some. Not safe for several threads.
 */
public final class Fields {

    private final String path;
    private final Map<String, Object> values;

    /** An empty one, to be filled. */
    public Fields() {
        this("", new LinkedHashMap<>());
    }

    Fields(String path, Map<String, Object> values) {
        this.path = path;
        this.values = values;
    }

    /** The same values, which errors name by this path. */
    public Fields at(String newPath) {
        return new Fields(newPath, values);
    }

    Map<String, Object> values() {
        return values;
    }

    public boolean has(String name) {
        return values.get(name) != null;
    }

    /** {@code value}: a text, a whole number, a truth value, bytes, {@link Fields}, or a list of these. */
    public Fields with(String name, Object value) {
        if (value == null) {
            return this;
        }
        values.put(name, value instanceof Integer number ? Long.valueOf(number) : value);
        return this;
    }

    public String text(String name) throws WireException {
        return kind(name, String.class, "a text");
    }

    /** {@code otherwise}: where there is none. */
    public String text(String name, String otherwise) throws WireException {
        return has(name) ? text(name) : otherwise;
    }

    /** A text of 1 to {@code longest} characters, none of which is a control character. */
    public String name(String name, int longest) throws WireException {
        var text = text(name);
        if (text.isEmpty() || text.length() > longest
                || text.codePoints().anyMatch(c -> c < ' ' || c == 0x7f)) {
            throw new WireException(path(name) + ": must be 1 to " + longest + " visible characters");
        }
        return text;
    }

    public long whole(String name, long least, long most) throws WireException {
        long value = kind(name, Long.class, "a whole number");
        if (value < least || value > most) {
            throw new WireException(path(name) + ": must be from " + least + " to " + most + ", not "
                    + value);
        }
        return value;
    }

    public long whole(String name, long least, long most, long otherwise) throws WireException {
        return has(name) ? whole(name, least, most) : otherwise;
    }

    public boolean flag(String name) throws WireException {
        return has(name) && kind(name, Boolean.class, "true or false");
    }

    /** Empty where there are none. */
    public byte[] bytes(String name, int longest) throws WireException {
        if (!has(name)) {
            return new byte[0];
        }
        var bytes = kind(name, byte[].class, "bytes");
        if (bytes.length > longest) {
            throw new WireException(path(name) + ": must be " + longest + " bytes at most, not "
                    + bytes.length);
        }
        return bytes;
    }

    public Fields fields(String name) throws WireException {
        return kind(name, Fields.class, "fields").at(path(name));
    }

    /** Empty where there is none. */
    public List<Fields> list(String name) throws WireException {
        return list(name, Fields.class, "fields");
    }

    /** Empty where there is none. */
    public List<String> texts(String name) throws WireException {
        return list(name, String.class, "a text");
    }

    /** Empty where there is none. */
    public List<Long> wholes(String name) throws WireException {
        return list(name, Long.class, "a whole number");
    }

    private <T> List<T> list(String name, Class<T> kind, String what) throws WireException {
        if (!has(name)) {
            return List.of();
        }
        var found = new ArrayList<T>();
        for (Object each : kind(name, List.class, "a list")) {
            if (!kind.isInstance(each)) {
                throw new WireException(path(name) + "[" + found.size() + "]: must be " + what);
            }
            found.add(kind.cast(each));
        }
        return Collections.unmodifiableList(found);
    }

    private <T> T kind(String name, Class<T> kind, String what) throws WireException {
        var value = values.get(name);
        if (value == null) {
            throw new WireException(path(name) + ": is missing");
        }
        if (!kind.isInstance(value)) {
            throw new WireException(path(name) + ": must be " + what);
        }
        return kind.cast(value);
    }

    /** Where a field stands, for errors. */
    public String place(String name) {
        return path(name);
    }

    private String path(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    @Override
    public String toString() {
        return values.toString();
    }
}
