package ryemast.timetable;

/** A scheduled job: its times and rules. All times are Unix times in microseconds. */
public interface ScheduledJob {

    /** No further execution. */
    long NEVER = Long.MAX_VALUE;

    /** Rule for executions whose start window passed before any replica could start them. */
    enum Missed { SKIP, LAST, ALL }

    /** Rule for an execution that is due while an earlier one of the job has not ended. */
    enum Overlap { ALLOW, SKIP, WAIT }

    String name();

    /** Whether it must not run twice, whatever fails. */
    boolean runsOnce();

    /** How long after its due time an execution may still be started, in microseconds. */
    long window();

    Missed missed();

    /** With {@link Missed#ALL}: how many missed executions, the latest ones, are run. */
    int maxMissedRuns();

    Overlap overlap();

    /** The first scheduled time strictly after another, in whole seconds, or {@link #NEVER}. */
    long next(long after);

    /**
     * When the execution of a scheduled time is due, with its jitter: at or after the scheduled time, the
     * same at every replica, and never after the next one's due time.
     */
    long dueAt(long scheduledTime);
}
