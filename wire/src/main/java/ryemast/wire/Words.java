package ryemast.wire;

/** The protocol's words. Version 1; a server that knows none of a client's versions says so and ends. */
public final class Words {

    public static final long VERSION = 1;
    /** What every request and its answer bear: the kind of message, and the request's number. */
    public static final String TYPE = "t";
    public static final String NUMBER = "n";

    // Requests.
    public static final String HELLO = "hello";
    public static final String PING = "ping";
    public static final String SESSIONS = "sessions";
    public static final String CREATE = "create";
    public static final String OPEN = "open";
    public static final String DESTROY = "destroy";
    public static final String SUBMIT = "submit";
    public static final String CONTROL = "control";
    public static final String STATUS = "status";
    public static final String WAIT = "wait";
    /** The submitter has what it wanted of these jobs: they are forgotten. */
    public static final String REAP = "reap";

    // Answers.
    public static final String OK = "ok";
    public static final String ERROR = "error";

    // Codes of errors.
    /** Who asks is not let in; the connection ends. */
    public static final String DENIED = "denied";
    /** The request is not as the protocol has it. */
    public static final String MALFORMED = "malformed";
    public static final String NO_SESSION = "no-session";
    public static final String SESSION_EXISTS = "session-exists";
    public static final String NO_JOB = "no-job";
    /** The job is not in a state for that. */
    public static final String WRONG_STATE = "wrong-state";
    /** A submission id that is used already, for something else. */
    public static final String ID_USED = "id-used";
    /** Not now: too much is waiting, or the disk is full or fails. Trying again later is harmless. */
    public static final String TRY_LATER = "try-later";
    /** The dispatcher is ending. */
    public static final String ENDING = "ending";

    /** What a job is; as DRMAA has it. */
    public enum State { QUEUED, HELD, RUNNING, DONE, FAILED }

    /** What {@link #CONTROL} does. */
    public enum Action { HOLD, RELEASE, TERMINATE, SUSPEND, RESUME }

    private Words() {
    }
}
