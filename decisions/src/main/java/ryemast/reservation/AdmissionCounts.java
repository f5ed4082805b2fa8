package ryemast.reservation;

/**
 * Counters of a service's requests at one member since its start: admitted by kind of capacity, refused here,
 * and the work in flight now.
 */
public record AdmissionCounts(long reserved, long free, long borrowed, long refused, double workOut) {
}
