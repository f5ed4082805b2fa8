package ryemast.lab.members;

import java.util.Locale;

/** How a box is taken out of service. */
public enum Way {
    /** Consul's service maintenance. */
    MAINTENANCE,
    /** Its check turns critical. */
    CRITICAL,
    /** It is taken off Consul's catalogue. */
    DEREGISTRATION,
    /** The operator names it in the dispatcher's file and sends SIGHUP. */
    OPERATOR;

    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
