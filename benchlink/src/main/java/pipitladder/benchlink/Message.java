package pipitladder.benchlink;

import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.WorkerInfo;

/** One message of the wire, as read; the reader uses the same object again for the next one. */
final class Message {

    static final long ABSENT = Long.MIN_VALUE;

    String kind;
    long who;
    long ref;
    long time;
    long seed;
    long expiresIn;
    long tenant;
    long costHint;
    long flags;
    long category;
    long attempt;
    long from;
    long what;
    double slots;
    double memory;
    double done;
    boolean closed;
    String code;
    String worker;
    String name;
    String scope;
    String text;
    double[] report;
    Map<String, Object> settings;
    List<WorkerInfo> workers;

    void clear() {
        kind = code = worker = name = scope = text = null;
        who = ref = time = seed = expiresIn = category = attempt = from = what = ABSENT;
        tenant = costHint = flags = 0;
        slots = 1;
        memory = done = 0;
        closed = false;
        report = null;
        settings = null;
        workers = null;
    }

    /** Insists that a number came with the message. */
    long need(long value, String field) throws MalformedInputException {
        if (value == ABSENT) {
            throw new MalformedInputException(kind + " without " + field);
        }
        return value;
    }

    /** Insists that a value came with the message. */
    <T> T need(T value, String field) throws MalformedInputException {
        if (value == null) {
            throw new MalformedInputException(kind + " without " + field);
        }
        return value;
    }
}
