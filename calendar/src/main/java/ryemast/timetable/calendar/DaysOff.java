package ryemast.timetable.calendar;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Dates on which an entry does not fire, in the entry's own zone; as ranges, sorted and apart. Immutable. */
public final class DaysOff {

    public static final DaysOff NONE = new DaysOff(List.of());

    private final List<Range> ranges;

    /** Both ends included. */
    public record Range(LocalDate first, LocalDate last) {
        public Range {
            if (last.isBefore(first)) {
                throw new IllegalArgumentException(last + " is before " + first);
            }
        }
    }

    private DaysOff(List<Range> ranges) {
        this.ranges = ranges;
    }

    public static DaysOff of(Collection<Range> ranges) {
        var sorted = ranges.stream().sorted(Comparator.comparing(Range::first)).toList();
        var apart = new ArrayList<Range>();
        for (var each : sorted) {
            var last = apart.isEmpty() ? null : apart.get(apart.size() - 1);
            if (last == null || each.first.isAfter(last.last.plusDays(1))) {
                apart.add(each);
            } else if (each.last.isAfter(last.last)) {
                apart.set(apart.size() - 1, new Range(last.first, each.last));
            }
        }
        return new DaysOff(List.copyOf(apart));
    }

    public List<Range> ranges() {
        return ranges;
    }

    /** The date itself, or the first one after it that is not off. */
    public LocalDate open(LocalDate date) {
        int low = 0;
        int high = ranges.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (ranges.get(middle).last.isBefore(date)) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        boolean off = low < ranges.size() && !date.isBefore(ranges.get(low).first);
        return off ? ranges.get(low).last.plusDays(1) : date;
    }
}
