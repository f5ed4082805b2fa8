package ryemast.reservation;

/**
 * A reservation that can't be granted. The message has the service, the cause, the consequence and the
 * remedy.
 */
public class ReservationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String service;

    ReservationException(String service, String what, String now, String remedy) {
        super("the reservation of '" + service + "': " + what + ". " + now + ". " + remedy + ".");
        this.service = service;
    }

    /** The name of the requesting service. */
    public String service() {
        return service;
    }
}
