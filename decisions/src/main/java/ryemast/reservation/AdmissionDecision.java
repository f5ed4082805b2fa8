package ryemast.reservation;

/**
 * The decision on a request: which capacity it uses.
 *
 * @param service     the service of the request; "": none
 * @param lender      if {@link Kind#BORROWED}: the service whose capacity it is; else ""
 * @param retryAfter  if {@link Kind#REFUSED}: when there may be capacity, in microseconds from now
 */
public record AdmissionDecision(Kind kind, String service, String lender, long retryAfter) {

    public enum Kind {
        /** Its own service's reservation. */
        RESERVED,
        /** Unreserved capacity. */
        FREE,
        /** Reserved capacity that is not used now. */
        BORROWED,
        /** None: it would use capacity reserved for others, or its service may not use more. */
        REFUSED,
        /** Nothing is reserved, as far as this member knows, so nothing is limited. */
        UNLIMITED
    }

    static final AdmissionDecision UNLIMITED = of(Kind.UNLIMITED, "");

    static AdmissionDecision of(Kind kind, String service) {
        return new AdmissionDecision(kind, service, "", 0);
    }
}
