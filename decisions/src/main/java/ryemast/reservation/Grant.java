package ryemast.reservation;

/**
 * A granted reservation.
 *
 * @param grantVersion  version of the state in which it was granted or last grew: of equal rank, the largest
 *                      yields first
 * @param allocated     the work per second that members share now: 0 outside its windows, and less than
 *                      reserved while the site's capacity is too small, or while released capacity settles
 */
public record Grant(Reservation reservation, long grantVersion, long allocated) {

    Grant allocated(long amount) {
        return new Grant(reservation, grantVersion, amount);
    }
}
