package ryemast.timetable;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Schedules reads of records, one at a time: requests made during a read are batched into the next one. */
final class RecordReader {

    /** For more jobs than that, all records are read. */
    private static final int MAX_JOBS = 16;
    /**
     * Minimum time between reads of all records, however often the fleet changes: 10,000 jobs are some
     * megabytes.
     */
    private static final long READ_ALL_INTERVAL = 1_000_000;
    private static final long MIN_BACKOFF = 100_000;
    private static final long MAX_BACKOFF = 2_000_000;

    private final Set<String> requested = new LinkedHashSet<>();
    private boolean allRequested;
    private List<String> inFlight;
    private long id;
    /** Logical time at which the read in flight began. */
    private long startOrder;
    private long resumeAt = Long.MIN_VALUE;
    private long backoff;
    private long nextReadAllAt = Long.MIN_VALUE;

    void request(String jobName) {
        requested.add(jobName);
    }

    void requestAll() {
        allRequested = true;
    }

    /** Whether all records are being read, or will be next. */
    boolean readsAll() {
        return allRequested || inFlight != null && inFlight.isEmpty();
    }

    /** As {@link CommitQueue#resume}. */
    void resume(long now) {
        backoff = 0;
        resumeAt = Math.min(resumeAt, now);
    }

    long dueAt() {
        if (inFlight != null || !allRequested && requested.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return allRequested || requested.size() > MAX_JOBS ? Math.max(resumeAt, nextReadAllAt) : resumeAt;
    }

    void startIfDue(long now, long order, Consumer<ScheduleAction> out) {
        if (now < dueAt()) {
            return;
        }
        inFlight = allRequested || requested.size() > MAX_JOBS ? List.of() : new ArrayList<>(requested);
        nextReadAllAt = inFlight.isEmpty() ? now + READ_ALL_INTERVAL : nextReadAllAt;
        allRequested = false;
        requested.clear();
        startOrder = order;
        out.accept(new ScheduleAction.ReadRecords(++id, inFlight));
    }

    /** The jobs that were read, an empty list for all; null: not the expected answer, or a failed read. */
    List<String> onAnswer(long answerTo, boolean good, long now) {
        if (inFlight == null || answerTo != id) {
            return null;
        }
        var read = inFlight;
        inFlight = null;
        if (good) {
            backoff = 0;
            return read;
        }
        allRequested |= read.isEmpty();
        requested.addAll(read);
        backoff = Math.min(MAX_BACKOFF, Math.max(MIN_BACKOFF, backoff * 2));
        resumeAt = now + backoff;
        return null;
    }

    long startOrder() {
        return startOrder;
    }
}
