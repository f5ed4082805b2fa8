package ryemast.reservation;

/** A half-open interval of wall time, Unix microseconds; {@code until} is excluded. */
public record Span(long from, long until) {

    /** Unlimited. */
    public static final Span ALWAYS = new Span(Long.MIN_VALUE, Long.MAX_VALUE);

    public Span {
        if (from >= until) {
            throw new InvalidReservationException(null,
                    "a window must end after it begins; it is from " + from + " until " + until);
        }
    }

    boolean contains(long wall) {
        return from <= wall && wall < until;
    }

    boolean overlaps(Span other) {
        return from < other.until && other.from < until;
    }
}
