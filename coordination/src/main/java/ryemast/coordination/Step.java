package ryemast.coordination;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Pattern;

/** Changes that take effect together or not at all; each names the version that its record must be at. */
public final class Step {

    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");

    /** What is to be done with a record. */
    public enum Kind { PUT, REMOVE, REQUIRE }

    /** {@code value}: of a put, else null; {@code version}: which the record must be at. */
    public record Change(Kind kind, String key, byte[] value, long version) {
    }

    private final List<Change> changes = new ArrayList<>(2);
    private int bytes;

    /** {@code version}: {@link Coordination#ABSENT} to make a record that must not be there. */
    public Step put(String key, byte[] value, long version) {
        if (value.length > Coordination.LONGEST_VALUE) {
            throw new IllegalArgumentException("the value of " + key + " holds " + value.length
                    + " bytes; at most " + Coordination.LONGEST_VALUE);
        }
        if (bytes + value.length > Coordination.MOST_BYTES_IN_A_STEP) {
            throw new IllegalArgumentException("with " + key + " the values of the step hold "
                    + (bytes + value.length) + " bytes; at most " + Coordination.MOST_BYTES_IN_A_STEP);
        }
        bytes += value.length;
        return add(new Change(Kind.PUT, key, value, version));
    }

    public Step put(String key, String value, long version) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), version);
    }

    public Step remove(String key, long version) {
        if (version == Coordination.ABSENT) {
            throw new IllegalArgumentException("what is absent can't be removed: " + key);
        }
        return add(new Change(Kind.REMOVE, key, null, version));
    }

    /** Changes nothing, but the step fails unless the record is at that version (a fence). */
    public Step require(String key, long version) {
        return add(new Change(Kind.REQUIRE, key, null, version));
    }

    private Step add(Change change) {
        checkKey(change.key());
        if (changes.size() >= Coordination.MOST_IN_A_STEP) {
            throw new IllegalArgumentException("a step names " + Coordination.MOST_IN_A_STEP
                    + " records at most");
        }
        if (changes.stream().anyMatch(each -> each.key().equals(change.key()))) {
            throw new IllegalArgumentException("a step names a record once: " + change.key());
        }
        if (change.version() < 0) {
            throw new IllegalArgumentException("version " + change.version() + " of " + change.key());
        }
        changes.add(change);
        return this;
    }

    /** An {@link IllegalArgumentException} says what a key must be. */
    static void checkKey(String key) {
        if (key.length() > Coordination.LONGEST_KEY || !KEY.matcher(key).matches()) {
            throw new IllegalArgumentException("key '" + key + "': must be 1 to " + Coordination.LONGEST_KEY
                    + " of A-Z a-z 0-9 . _ - /, with no / at either end");
        }
    }

    public List<Change> changes() {
        return Collections.unmodifiableList(changes);
    }
}
