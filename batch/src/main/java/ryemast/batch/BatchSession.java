package ryemast.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A named session of one account: its arrays, and its jobs that are over in the order in which they ended. It
 * belongs to nobody's connection. Owned by the loop.
 */
final class BatchSession {

    final long number;
    final String name;
    final int tenant;
    final String account;
    /** Who made it. */
    final String submitter;
    final long madeAt;
    final TreeMap<Long, JobArray> arrays = new TreeMap<>();
    /** By the id that its submitter chose, so that the same submission again is the same jobs. */
    final Map<String, JobArray> submissions = new HashMap<>();
    /** Keys of jobs that are over, the first one first; those that have been reaped are passed over. */
    final Deque<Long> ended = new ArrayDeque<>();
    int open;
    /** It is on the disk. */
    boolean durable;
    /** It goes as soon as nothing of it is open. */
    boolean closing;

    BatchSession(long number, String name, int tenant, String account, String submitter, long madeAt) {
        this.number = number;
        this.name = name;
        this.tenant = tenant;
        this.account = account;
        this.submitter = submitter;
        this.madeAt = madeAt;
    }

    JobArray array(long key) {
        return arrays.get(JobArray.arrayOf(key));
    }
}
