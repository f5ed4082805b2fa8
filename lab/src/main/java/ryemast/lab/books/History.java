package ryemast.lab.books;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import org.HdrHistogram.Histogram;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;

/**
 * What the books of a run say, put together; immutable. Everything is in the order of time. Boxes and
 * dispatchers that nothing was written of have empty lists.
 *
 * @param jobs         every job that a client had, by its number
 * @param strangers    arrivals at boxes under a name that no client had used, or under none
 * @param boxes        by box, its states
 * @param listings     by box, what discovery had to tell of it and what it told to whom
 * @param dispatchers  by dispatcher, its states
 * @param lateness     microseconds that the emulator was late
 * @param beganAt      the first entry's time, 0 without entries
 * @param endedAt      the last entry's time
 * @param deaf         by dispatcher, spans from and until in which nothing that discovery says reaches it
 */
public record History(List<JobStory> jobs, List<Stranger> strangers, NavigableMap<Integer, List<BoxAt>> boxes,
        Map<Integer, List<Listing>> listings, NavigableMap<Integer, List<DispatcherAt>> dispatchers,
        Histogram lateness, long beganAt, long endedAt, Map<Integer, List<long[]>> deaf) {

    /** A request at a box that bears a name which no client has used; {@code txn} null: none. */
    public record Stranger(int box, int dispatcher, String txn, long at) {
    }

    public record BoxAt(long at, BoxState state, double capacity) {
    }

    /** An entry of discovery's list; {@code dispatcher}: whom it was written to, -1: it can be now. */
    public record Listing(int dispatcher, long at, BoxState state, long startedAt) {
        public boolean listable() {
            return dispatcher < 0;
        }
    }

    public record DispatcherAt(long at, DispatcherState state) {
    }

    /** An attempt with the try that it belongs to. */
    public record Sent(TryStory story, Attempt attempt) {
    }

    /**
     * The same run as it was for the dispatchers: some of what discovery wrote did not arrive, or later than
     * it was written, and their time stood more often than books have it. What was lost counts as told as
     * late as what never was written; that time stands while nothing can arrive.
     */
    public History heard(Map<Integer, List<Listing>> arrived,
            NavigableMap<Integer, List<DispatcherAt>> stood, Map<Integer, List<long[]>> nothingArrives) {
        return new History(jobs, strangers, boxes, arrived, stood, lateness, beganAt, endedAt,
                nothingArrives);
    }

    public List<BoxAt> box(int box) {
        return boxes.getOrDefault(box, List.of());
    }

    public List<Listing> listings(int box) {
        return listings.getOrDefault(box, List.of());
    }

    public List<DispatcherAt> dispatcher(int dispatcher) {
        return dispatchers.getOrDefault(dispatcher, List.of());
    }

    /** Every attempt at any box, in the order of their first bytes. */
    public List<Sent> attempts() {
        return jobs.stream().flatMap(job -> job.tries().stream())
                .flatMap(story -> story.attempts().stream().map(attempt -> new Sent(story, attempt)))
                .sorted(Comparator.comparingLong((Sent sent) -> sent.attempt().firstByteAt()))
                .toList();
    }
}
