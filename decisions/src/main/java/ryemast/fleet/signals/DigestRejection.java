package ryemast.fleet.signals;

/** Why a digest was rejected, with a description for the log. */
public enum DigestRejection {
    MALFORMED("is not a digest of this version", false),
    UNKNOWN_SENDER("is from a process that is not in the fleet", false),
    DUPLICATE_OR_LATE("is a duplicate or arrived late", false),
    ENDED_PROCESS("is from a process that has ended", false),
    /** Far behind the last sequence number of the same process: an old datagram was replayed. */
    REPLAYED("replays an old sequence number", true),
    IMPLAUSIBLE("contains impossible values", true),
    /** The peer is suspended, or sends more datagrams a period than a member may need. */
    SUSPENDED("is from a peer that is suspended or sends too much", false);

    public final String reason;
    /** Whether the peer is suspended for it. */
    private final boolean suspendsPeer;

    DigestRejection(String words, boolean costsSay) {
        this.reason = words;
        this.suspendsPeer = costsSay;
    }

    public boolean suspendsPeer() {
        return suspendsPeer;
    }
}
