package ryemast.membership;

/** Why a worker has its state, with the text that a console shows. */
public enum StateReason {
    /** Its source lists it as ready. */
    LISTED("listed"),
    WARNING("warning reported by its source"),
    /** It repeatedly changed between serving and failing. */
    SUPPRESSED("suppressed after flapping"),
    /** Its source has lost it together with too many others. */
    RETAINED("retained, as too many workers were lost at once"),
    CRITICAL("critical"),
    DRAINING("drains"),
    OPERATOR_DRAIN("drained by the operator"),
    DUPLICATE_ADDRESS("another worker has its address"),
    GONE("no longer listed");

    private final String text;

    StateReason(String words) {
        this.text = words;
    }

    public String text() {
        return text;
    }
}
