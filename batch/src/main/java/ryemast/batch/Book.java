package ryemast.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * All sessions and arrays there are, by what they are asked for. It holds; others change and write. Owned
 * by the loop.
 */
final class Book {

    final JobKinds kinds;
    final TreeMap<Long, BatchSession> sessions = new TreeMap<>();
    final Map<Long, JobArray> arrays = new HashMap<>();
    /** By account and name. */
    private final Map<String, BatchSession> byName = new HashMap<>();
    private long lastSession;
    private long lastArray;
    /** Jobs that are not over. */
    int open;
    /** Jobs that have ended since the start, for figures. */
    long done;
    long failed;

    Book(JobKinds kinds) {
        this.kinds = kinds;
    }

    long nextSession() {
        return ++lastSession;
    }

    long nextArray() {
        return ++lastArray;
    }

    BatchSession session(String account, String name) {
        return byName.get(account + '\n' + name);
    }

    void add(BatchSession session) {
        sessions.put(session.number, session);
        byName.put(session.account + '\n' + session.name, session);
        lastSession = Math.max(lastSession, session.number);
    }

    void remove(BatchSession session) {
        sessions.remove(session.number);
        byName.remove(session.account + '\n' + session.name, session);
    }

    void add(JobArray array) {
        arrays.put(array.number, array);
        array.session.arrays.put(array.number, array);
        array.session.submissions.put(array.submission, array);
        lastArray = Math.max(lastArray, array.number);
        open += array.open();
        array.session.open += array.open();
    }

    void remove(JobArray array) {
        arrays.remove(array.number);
        array.session.arrays.remove(array.number);
        array.session.submissions.remove(array.submission, array);
        open -= array.open();
        array.session.open -= array.open();
    }

    /** An array that was here goes unheard: its numbers are not given out again. */
    void passed(long array) {
        lastArray = Math.max(lastArray, array);
    }
}
