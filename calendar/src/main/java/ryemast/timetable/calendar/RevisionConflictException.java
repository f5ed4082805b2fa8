package ryemast.timetable.calendar;

/** One revision with two contents: replicas that took both would go by different files. */
public final class RevisionConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Revision refused;
    private final transient Revision inForce;

    RevisionConflictException(Revision refused, Revision inForce) {
        super("revision " + refused.number() + " is in force with the content " + inForce.digest()
                + ", and was read with the content " + refused.digest()
                + "; the latter is not used, the former stays in force; expected a higher revision for"
                + " another content: raise `revision` and give every replica the same file");
        this.refused = refused;
        this.inForce = inForce;
    }

    public Revision refused() {
        return refused;
    }

    public Revision inForce() {
        return inForce;
    }
}
