package ryemast.firing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Fleets of two to eight real firings in a played time, under faults drawn from a seed. */
class FiringModelTest {

    private static final int SEEDS = 500;
    /** Each flaw is seen within so many. */
    private static final int ENOUGH = 40;
    private static final Logger QUIET = Logger.getLogger("ryemast");

    @BeforeAll
    static void quiet() {
        QUIET.setLevel(Level.OFF);
    }

    @Test
    void whateverFailsNothingRunsTwiceAndEverythingEnds() {
        var worlds = LongStream.rangeClosed(1, SEEDS).parallel()
                .mapToObj(seed -> Map.entry(seed, new World(seed, Flaw.NONE).play().books)).toList();
        var ends = new TreeMap<String, Integer>();
        worlds.forEach(each -> each.getValue().ends.forEach(
                (how, count) -> ends.merge(how, count, Integer::sum)));
        long takeovers = worlds.stream().flatMap(each -> each.getValue().fires.values().stream())
                .filter(each -> each.life.attempt() >= 100_000).count();
        var times = worlds.stream().flatMap(each -> each.getValue().takeovers.stream()).sorted().toList();
        System.out.println(SEEDS + " seeds: ends " + ends + ", taken over " + takeovers
                + ", after a kill p50 " + times.get(times.size() / 2) + " ms, p99 "
                + times.get(times.size() * 99 / 100) + " ms of " + times.size());
        assertEquals(List.of(), worlds.stream().filter(each -> !each.getValue().breaches.isEmpty())
                .map(each -> "seed " + each.getKey() + ": " + each.getValue().breaches.get(0)).toList());
        assertEquals(Set.of("FAILED", "LATE", "REFUSED", "SERVED", "UNKNOWN"), ends.keySet());
        assertTrue(takeovers > SEEDS / 2, takeovers + " taken over");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void theBooksSeeAFlaw(Flaw flaw) {
        long found = LongStream.rangeClosed(1, ENOUGH).filter(seed ->
                !new World(seed, flaw).play().books.breaches.isEmpty()).findFirst().orElse(0);
        System.out.println(flaw + ": seed " + found);
        assertTrue(found > 0, flaw + " was not seen in " + ENOUGH + " seeds");
    }

    @Test
    void aSeedPlaysTheSameEachTime() {
        var one = new World(7, Flaw.NONE).play();
        var other = new World(7, Flaw.NONE).play();
        assertEquals(one.books.fires.keySet(), other.books.fires.keySet());
        assertEquals(one.books.ends, other.books.ends);
    }
}
