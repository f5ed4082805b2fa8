package ryemast.firing;

import ryemast.core.Submission;
import ryemast.timetable.ScheduledJob;

/** An entry with the job that its fires hand in. */
public interface Planned extends ScheduledJob {

    /**
     * The job of one fire. Null: it can't be had now (as a file that can't be read); the fire is then treated
     * as turned away, and is tried again within its window.
     *
     * @param txn  the name under which it is handed in
     * @param now  on the loop's clock, which the job's deadline is told by
     */
    Submission job(String txn, long nominal, long now);
}
