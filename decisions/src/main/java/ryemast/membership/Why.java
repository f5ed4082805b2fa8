package ryemast.membership;

/** Why a member has its state; what a console shows beside it. */
public enum Why {
    /** Its source says that it may have work. */
    LISTED("listed"),
    WARNED("its source warns of it"),
    /** It went to and fro. */
    HELD("held until it has been steady"),
    /** It is lost to its source, and so are too many others. */
    KEPT("kept, as too many were lost at once"),
    CRITICAL("critical"),
    DRAINING("drains"),
    OPERATOR("drained by the operator"),
    SHADOWED("another worker has its address"),
    GONE("off the list");

    private final String words;

    Why(String words) {
        this.words = words;
    }

    public String words() {
        return words;
    }
}
