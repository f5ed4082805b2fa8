package ryemast.membership;

import java.util.Objects;

/**
 * One worker as one source sees it. Immutable.
 *
 * @param address     IP:PORT, opaque here; two workers of one address are one process
 * @param kind        the settings' number of its kind, zone likewise; -1 where they do not name it
 * @param weight      its size as the source has it, above 0
 * @param startedAt   its process's last start, in microseconds; 0: the source does not know
 * @param registered  grows each time the worker is put on the list anew; 0: the source does not count that
 * @param warnedShare the part of its ordinary traffic that its source wants it to have while it is warned of;
 *                    0: the source does not say
 * @param why         the source's own words for the condition, for operators; may be empty
 */
public record Sighting(String id, String address, Condition condition, int kind, int zone, int cell,
        double weight,
        long startedAt, long registered, double warnedShare, String why) {

    public Sighting {
        if (id == null || id.isEmpty() || condition == null || why == null
                || address == null && condition != Condition.GONE) {
            throw new IllegalArgumentException("a sighting without id, address, condition or words: " + id);
        }
        if (!(weight > 0) || Double.isInfinite(weight) || !(warnedShare >= 0 && warnedShare <= 1)) {
            throw new IllegalArgumentException("worker " + id + " has the weight " + weight
                    + ", and the part "
                    + warnedShare + " of it while it is warned of");
        }
    }

    /** Not a record's own comparing: the code that makes it would cost every start thirty milliseconds. */
    boolean sameAs(Sighting other) {
        return other != null && id.equals(other.id) && condition == other.condition
                && Objects.equals(address, other.address) && kind == other.kind && zone == other.zone
                && cell == other.cell && weight == other.weight && startedAt == other.startedAt
                && registered == other.registered && warnedShare == other.warnedShare
                && why.equals(other.why);
    }

    /** The same with another start. */
    public Sighting startedAt(long other) {
        return other == startedAt ? this : new Sighting(id, address, condition, kind, zone, cell, weight,
                other, registered, warnedShare, why);
    }

    public Sighting as(Condition other, String words) {
        return new Sighting(id, address, other, kind, zone, cell, weight, startedAt, registered,
                warnedShare, words);
    }
}
