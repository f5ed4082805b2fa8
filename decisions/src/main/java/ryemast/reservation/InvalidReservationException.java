package ryemast.reservation;

/** An invalid reservation, service or window, from whatever source. */
public final class InvalidReservationException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidReservationException(String service, String what) {
        super((service == null ? "a reservation" : "the reservation of '" + service + "'") + ": " + what
                + ". It is rejected, and earlier reservations stay in force. Correct it at its source");
    }
}
