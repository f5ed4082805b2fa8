package ryemast.drmaa;

import java.util.ArrayList;
import java.util.List;
import ryemast.wire.Words.Action;

/**
 * A session as DRMAA 1.0's Java binding has it (GFD-R.133 and its Java binding, {@code
 * org.ggf.drmaa.Session}): calls, constants and exceptions bear the same names. It lives at the dispatcher
 * under a name and survives both ends: a program that was killed, or whose network was, makes it anew with
 * the same contact string and finds its jobs. Safe for several threads.
 */
public final class Session implements AutoCloseable {

    public static final int SUSPEND = 0;
    public static final int RESUME = 1;
    public static final int HOLD = 2;
    public static final int RELEASE = 3;
    public static final int TERMINATE = 4;

    public static final String JOB_IDS_SESSION_ALL = "DRMAA_JOB_IDS_SESSION_ALL";
    public static final String JOB_IDS_SESSION_ANY = "DRMAA_JOB_IDS_SESSION_ANY";

    public static final long TIMEOUT_WAIT_FOREVER = -1;
    public static final long TIMEOUT_NO_WAIT = 0;

    public static final int UNDETERMINED = 0x00;
    public static final int QUEUED_ACTIVE = 0x10;
    public static final int SYSTEM_ON_HOLD = 0x11;
    public static final int USER_ON_HOLD = 0x12;
    public static final int USER_SYSTEM_ON_HOLD = 0x13;
    public static final int RUNNING = 0x20;
    public static final int SYSTEM_SUSPENDED = 0x21;
    public static final int USER_SUSPENDED = 0x22;
    public static final int USER_SYSTEM_SUSPENDED = 0x23;
    public static final int DONE = 0x30;
    public static final int FAILED = 0x40;

    private static final long PATIENCE_MS = 60_000;
    private static final long MS_PER_S = 1_000;

    private Contact contact;
    private Remote remote;

    /** Inactive until {@link #init}. */
    public Session() {
        // All of it comes with the contact.
    }

    /**
     * Opens the session that the contact string names, and makes it first if there is none; null or empty:
     * the string in the variable {@link Contact#VARIABLE}.
     */
    public synchronized void init(String contactString) throws DrmaaException {
        if (remote != null) {
            throw new AlreadyActiveSessionException("session " + contact.session() + " is active");
        }
        var wanted = Contact.of(contactString);
        if (wanted.session().isEmpty()) {
            throw new InvalidContactStringException("contact string " + wanted + ": names no session");
        }
        var made = new Remote(wanted, PATIENCE_MS);
        try {
            try {
                made.open(wanted.session());
            } catch (NoActiveSessionException e) {
                try {
                    made.create(wanted.session());
                } catch (AlreadyActiveSessionException other) {
                    // Somebody else has just made it: it is the same one.
                    made.open(wanted.session());
                }
            }
        } catch (DrmaaException | RuntimeException e) {
            made.close();
            throw e;
        }
        contact = wanted;
        remote = made;
    }

    /** Leaves the session; it and its jobs stay, as DRMAA has it. */
    public synchronized void exit() throws DrmaaException {
        remote().close();
        remote = null;
    }

    private synchronized Remote remote() throws NoActiveSessionException {
        if (remote == null) {
            throw new NoActiveSessionException("no session is active; init comes first");
        }
        return remote;
    }

    /** The calls beneath, for what DRMAA 1.0 has no call for. */
    public Remote calls() throws NoActiveSessionException {
        return remote();
    }

    public JobTemplate createJobTemplate() throws DrmaaException {
        remote();
        return new JobTemplate();
    }

    /** Nothing is kept of a template. */
    public void deleteJobTemplate(JobTemplate template) throws DrmaaException {
        remote();
    }

    /** Submits one job; its id. Once this returns, the job is on the dispatcher's disk. */
    public String runJob(JobTemplate template) throws DrmaaException {
        return remote().submit(List.of(new Remote.Part(template, 1)), Remote.submissionId(), 1, 1, 0).ids()
                .get(0);
    }

    /** Submits jobs of the indices from {@code begin} to {@code end}, both included, in steps. */
    public List<String> runBulkJobs(JobTemplate template, int begin, int end,
            int step) throws DrmaaException {
        return runBulkJobs(template, begin, end, step, 0);
    }

    /** The same with at most so many at once, as DRMAA 2 has it; 0: any number. */
    public List<String> runBulkJobs(JobTemplate template, int begin, int end, int step, int maxParallel)
            throws DrmaaException {
        if (step == 0 || step > 0 != end >= begin && begin != end) {
            throw new InvalidAttributeValueException("begin " + begin + ", end " + end + ", step " + step
                    + ": no job would be in it");
        }
        // Downward arrays are the same jobs: their indices go up here.
        int by = Math.abs(step);
        int count = (int) (Math.abs((long) end - begin) / by) + 1;
        int first = step > 0 ? begin : begin - (count - 1) * by;
        return remote().submit(List.of(new Remote.Part(template, count)), Remote.submissionId(), first, by,
                maxParallel).ids();
    }

    /** {@code operation}: one of the constants from {@link #SUSPEND} on. */
    public void control(String jobId, int operation) throws DrmaaException {
        var jobs = JOB_IDS_SESSION_ALL.equals(jobId) ? null : List.of(jobId);
        remote().control(jobs, switch (operation) {
            case SUSPEND -> Action.SUSPEND;
            case RESUME -> Action.RESUME;
            case HOLD -> Action.HOLD;
            case RELEASE -> Action.RELEASE;
            case TERMINATE -> Action.TERMINATE;
            default -> throw new InvalidAttributeValueException("there is no operation " + operation);
        });
    }

    /**
     * Waits until all of these jobs have ended, or the time is over, which is an {@link
     * ExitTimeoutException}.
     *
     * @param timeout  in seconds, or one of the two constants
     * @param dispose  whether what is known of the jobs is to be forgotten then
     */
    public void synchronize(List<String> jobIds, long timeout, boolean dispose) throws DrmaaException {
        var jobs = jobIds.contains(JOB_IDS_SESSION_ALL) ? null : new ArrayList<>(jobIds);
        if (!remote().waitAll(jobs, ms(timeout))) {
            throw new ExitTimeoutException("not all of the jobs have ended within " + timeout + " s");
        }
        if (dispose) {
            remote().reap(jobs);
        }
    }

    /**
     * Waits for a job, or for any of the session; what is known of it is handed out once, and then
     * forgotten.
     */
    public JobInfo wait(String jobId, long timeout) throws DrmaaException {
        var info = remote().waitAny(JOB_IDS_SESSION_ANY.equals(jobId) ? null : List.of(jobId), ms(timeout));
        if (info == null) {
            throw new ExitTimeoutException("job " + jobId + " has not ended within " + timeout + " s");
        }
        remote().reap(List.of(info.jobId()));
        return info;
    }

    private static long ms(long seconds) {
        return seconds < 0 ? Long.MAX_VALUE : seconds * MS_PER_S;
    }

    /** One of the constants from {@link #UNDETERMINED} on. */
    public int getJobProgramStatus(String jobId) throws DrmaaException {
        return switch (remote().status(List.of(jobId)).get(0).state()) {
            case "queued" -> QUEUED_ACTIVE;
            case "held" -> USER_ON_HOLD;
            case "running" -> RUNNING;
            case "done" -> DONE;
            case "failed" -> FAILED;
            default -> UNDETERMINED;
        };
    }

    public synchronized String getContact() {
        return contact == null ? "" : contact.toString();
    }

    public String getDrmSystem() {
        return "ryemast";
    }

    public String getDrmaaImplementation() {
        return "ryemast-drmaa";
    }

    /** The binding's version whose calls these are. */
    public String getVersion() {
        return "1.0";
    }

    @Override
    public synchronized void close() {
        if (remote != null) {
            remote.close();
            remote = null;
        }
    }
}
