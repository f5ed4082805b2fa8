package ryemast.membership;

import java.util.Objects;

/**
 * One worker as reported by one source. Immutable.
 *
 * @param address IP:PORT, not interpreted here; two workers with one address are the same process
 * @param kind index of its kind in the settings, zone likewise; -1 where they do not define it
 * @param weight its capacity according to the source, above 0
 * @param startedAt last start of its process, in microseconds; 0: the source does not know
 * @param registered increases each time the worker is registered anew; 0: the source does not count that
 * @param warningShare fraction of its normal traffic that the source wants it to have in warning status; 0:
 *     the source does not specify one
 * @param reason the source's reason for the status, for operators; may be empty
 */
public record ListedWorker(String id, String address, HealthStatus status, int kind, int zone, int cell,
        double weight,
        long startedAt, long registered, double warningShare, String reason) {

    public ListedWorker {
        if (id == null || id.isEmpty() || status == null || reason == null
                || address == null && status != HealthStatus.GONE) {
            throw new IllegalArgumentException("listed worker without id, address, status or reason: " + id);
        }
        if (!(weight > 0) || Double.isInfinite(weight) || !(warningShare >= 0 && warningShare <= 1)) {
            throw new IllegalArgumentException("worker " + id + ": weight " + weight
                    + " is not positive and finite, or warning share "
                    + warningShare + " is not within 0 to 1");
        }
    }

    /** Not the record's equals: generating its code at run time would add 30 ms to each start. */
    boolean isSameAs(ListedWorker other) {
        return other != null && id.equals(other.id) && status == other.status
                && Objects.equals(address, other.address) && kind == other.kind && zone == other.zone
                && cell == other.cell && weight == other.weight && startedAt == other.startedAt
                && registered == other.registered && warningShare == other.warningShare
                && reason.equals(other.reason);
    }

    /** A copy with another start time. */
    public ListedWorker withStartedAt(long otherStart) {
        return otherStart == startedAt ? this
                : new ListedWorker(id, address, status, kind, zone, cell, weight,
                otherStart, registered, warningShare, reason);
    }

    public ListedWorker withStatus(HealthStatus otherStatus, String otherReason) {
        return new ListedWorker(id, address, otherStatus, kind, zone, cell, weight, startedAt, registered,
                warningShare, otherReason);
    }
}
