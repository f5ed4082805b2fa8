package ryemast.fleet;

/** The outcome of a write that was sent. */
public enum Outcome {
    /** It took effect. */
    DONE,
    /** It took no effect: a record had another version. */
    CONFLICT,
    /** It took no effect and never will. */
    NOT_DONE,
    /** Not known; it may still take effect. */
    UNKNOWN
}
