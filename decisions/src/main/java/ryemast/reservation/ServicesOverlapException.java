package ryemast.reservation;

/** Two services would share jobs, so that their reservation would be ambiguous. */
public final class ServicesOverlapException extends ReservationException {

    private static final long serialVersionUID = 1L;

    private final String other;

    ServicesOverlapException(Service asking, Service other) {
        super(asking.name(), "tenant " + asking.tenant() + " with classes " + classList(asking)
                + " shares jobs with service '" + other.name() + "', classes " + classList(other),
                "The request is rejected, and earlier grants stay in force",
                "Assign each class of the tenant to one service only");
        this.other = other.name();
    }

    private static String classList(Service service) {
        return service.classes().isEmpty() ? "all" : service.classes().stream().sorted().toList().toString();
    }

    /** The existing service that covers these jobs. */
    public String other() {
        return other;
    }
}
