package ryemast.timetable;

/** Result of a commit. */
public enum CommitResult {
    DONE,
    /** Not applied: a record or the fencing token was at another version. */
    CONFLICT,
    /** Not applied, and never will be. */
    NOT_DONE,
    /** May have been applied, or may still be. */
    UNKNOWN
}
