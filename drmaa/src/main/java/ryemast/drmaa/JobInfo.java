package ryemast.drmaa;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import ryemast.wire.Fields;
import ryemast.wire.WireException;

/**
 * How a job ended, as DRMAA 1.0 has it: it exited with 0 if a worker finished it, with 1 if it failed, and
 * was aborted if it was ended before it ran. No job here ends by a signal. Immutable.
 *
 * @param jobId     the job's
 * @param state     {@code done} or {@code failed}; of one that has not ended, what it is
 * @param reason    why it failed; empty otherwise
 * @param result    what the worker made
 * @param worker    where it ran last; empty if nowhere
 * @param turns     how often it was handed to the decision module
 * @param failures  how many of these failed
 * @param takenAt   when it was accepted; the others may be null
 */
public record JobInfo(String jobId, String name, String jobClass, String state, String reason, byte[] result,
        String worker, long turns, long failures, Instant takenAt, Instant beganAt, Instant endedAt) {

    private static final int LONGEST = 1 << 20;

    static JobInfo of(Fields from) throws DrmCommunicationException {
        try {
            return new JobInfo(from.text("id"), from.text("name", ""), from.text("class", ""),
                    from.text("state"),
                    from.text("reason", ""), from.bytes("result", LONGEST), from.text("worker", ""),
                    from.whole("turns", 0, Long.MAX_VALUE, 0), from.whole("failures", 0, Long.MAX_VALUE, 0),
                    time(from, "taken_us"), time(from, "began_us"), time(from, "ended_us"));
        } catch (WireException e) {
            throw new DrmCommunicationException("the dispatcher's answer can't be understood: "
                    + e.getMessage(), e);
        }
    }

    private static Instant time(Fields from, String name) throws WireException {
        long micros = from.whole(name, 0, Long.MAX_VALUE, 0);
        return micros == 0 ? null : Instant.ofEpochSecond(micros / 1_000_000, micros % 1_000_000 * 1_000);
    }

    public String getJobId() {
        return jobId;
    }

    public boolean hasExited() {
        return state.equals("done") || state.equals("failed") && !wasAborted();
    }

    public int getExitStatus() {
        return state.equals("done") ? 0 : 1;
    }

    public boolean hasSignaled() {
        return false;
    }

    public boolean hasCoreDump() {
        return false;
    }

    public boolean wasAborted() {
        return state.equals("failed") && reason.equals("terminated before it ran");
    }

    /** Times and places, in words. */
    public Map<String, String> getResourceUsage() {
        var usage = new LinkedHashMap<String, String>();
        usage.put("worker", worker);
        usage.put("turns", Long.toString(turns));
        usage.put("failures", Long.toString(failures));
        if (takenAt != null) {
            usage.put("submission_time", takenAt.toString());
        }
        if (beganAt != null) {
            usage.put("start_time", beganAt.toString());
        }
        if (endedAt != null) {
            usage.put("end_time", endedAt.toString());
        }
        return usage;
    }

    /** The result as a text, UTF-8. */
    public String text() {
        return new String(result, StandardCharsets.UTF_8);
    }
}
