package ryemast.reservation;

/** More was requested than is left; {@link #offer} has what would fit. */
public final class InsufficientCapacityException extends ReservationException {

    private static final long serialVersionUID = 1L;

    private final transient Offer offer;

    InsufficientCapacityException(Reservation requested, Offer offer) {
        super(requested.service().name(), requested.perSecond() + " a second exceeds what is left of the "
                + offer.reservable() + " a second that the site can reserve; reserved by " + offer.holders(),
                "The request is rejected, and earlier grants stay in force",
                offer.perSecond() == 0 && offer.windows().isEmpty()
                        ? "Nothing fits now: retry when workers were added or other reservations reduced"
                        : "Available: " + offer.perSecond() + " a second in all its windows"
                        + (offer.windows().isEmpty() ? "" : ", or the full amount in " + offer.windows()));
        this.offer = offer;
    }

    public Offer offer() {
        return offer;
    }
}
