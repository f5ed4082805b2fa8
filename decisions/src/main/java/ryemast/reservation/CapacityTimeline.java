package ryemast.reservation;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The sum of some grants' reservations over time. */
final class CapacityTimeline {

    /** The sum from each time at which it changes. */
    private final NavigableMap<Long, Long> levels = new TreeMap<>(Map.of(Long.MIN_VALUE, 0L));

    CapacityTimeline(List<Grant> grants) {
        for (var grant : grants) {
            for (var span : grant.reservation().effectiveWindows()) {
                levels.merge(span.from(), grant.reservation().perSecond(), Long::sum);
                levels.merge(span.until(), -grant.reservation().perSecond(), Long::sum);
            }
        }
        long level = 0;
        for (var change : levels.entrySet()) {
            level += change.getValue();
            change.setValue(level);
        }
    }

    /** The first time within the span at which the sum is largest. */
    long peakTime(Span span) {
        long at = span.from();
        for (var change : levels.subMap(span.from(), false, span.until(), false).entrySet()) {
            at = change.getValue() > reservedAt(at) ? change.getKey() : at;
        }
        return at;
    }

    long reservedAt(long wall) {
        return levels.floorEntry(wall).getValue();
    }
}
