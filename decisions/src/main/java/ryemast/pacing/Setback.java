package ryemast.pacing;

/** Why a call to a server brought nothing. */
public enum Setback {
    /** It could not be reached, said nothing in time, or broke off: another one may do better. */
    UNREACHABLE(true),
    /** It answered that it can't: without a leader, say. */
    SERVER_ERROR(true),
    /** What it said can't be read. */
    MALFORMED(true),
    /** It has too much to do; so have the others, who ask the same servers. */
    RATE_LIMITED(false),
    /** It does not let us: the token is missing, wrong or has expired, everywhere. */
    FORBIDDEN(false);

    final boolean elsewhere;

    Setback(boolean elsewhere) {
        this.elsewhere = elsewhere;
    }
}
