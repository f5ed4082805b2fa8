package ryemast.pacing;

/** Why a call to a server failed. */
public enum CallFailure {
    /** No connection, no answer in time, or a broken connection: another server may succeed. */
    UNREACHABLE(true),
    /** The server answered with an error, for example because it has no leader. */
    SERVER_ERROR(true),
    /** The answer can't be parsed. */
    MALFORMED(true),
    /** The server limits the rate of calls; so do the others, which depend on the same cluster. */
    RATE_LIMITED(false),
    /** The token is missing, wrong or has expired, which is the same at every server. */
    FORBIDDEN(false);

    final boolean otherServerMayHelp;

    CallFailure(boolean elsewhere) {
        this.otherServerMayHelp = elsewhere;
    }
}
