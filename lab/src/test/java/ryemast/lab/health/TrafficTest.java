package ryemast.lab.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

/** A job is asked for every 10 ms; box 0 and box 1 get one in turn, so that each has a share of a half. */
class TrafficTest {

    private static final long MS = 1_000;
    private static final long SECOND = Traffic.SECOND;
    private static final double[] HALVES = {0.5, 0.5};

    /** Over ten seconds; {@code gets}: whether box 0 gets its jobs at a time, which are lost otherwise. */
    private static Traffic traffic(LongPredicate gets) {
        var asked = new ArrayList<Long>();
        var sent = List.of(new ArrayList<Long>(), new ArrayList<Long>());
        for (int i = 0; i < 1_000; i++) {
            long at = i * 10 * MS;
            asked.add(at);
            if (i % 2 == 1 || gets.test(at)) {
                sent.get(i % 2).add(at);
            }
        }
        return new Traffic(asked, sent);
    }

    @Test
    void aShareIsOfWhatIsAskedFor() {
        var half = traffic(at -> at < 5 * SECOND);
        assertEquals(0.5, half.share(0, 0, 5 * SECOND));
        assertEquals(0.25, half.share(0, 0, 10 * SECOND));
        assertEquals(0, half.share(0, 10 * SECOND, 11 * SECOND));
    }

    @Test
    void aWindowIsLongEnoughForTwentySends() {
        assertEquals(SECOND, traffic(at -> true).window(0, 10 * SECOND));
        // One job a second at each of two boxes.
        var asked = new ArrayList<Long>();
        for (int i = 0; i < 20; i++) {
            asked.add(i * SECOND);
        }
        assertEquals(20 * SECOND, new Traffic(asked, List.of(asked, asked)).window(0, 20 * SECOND));
    }

    @Test
    void trafficLeavesWithTheLastJobBeforeTheLull() {
        // 50 a second until 2.5 s, none after: the last is sent at 2.48 s.
        assertEquals(480 * MS, traffic(at -> at < 2_500 * MS).leftAfter(0, 0.5, 2 * SECOND, 8 * SECOND,
                SECOND));
        // From the fault's start on there is none at all.
        assertEquals(0, traffic(at -> at < 2 * SECOND).leftAfter(0, 0.5, 2 * SECOND, 8 * SECOND, SECOND));
    }

    @Test
    void aQuarterOfTheShareHasNotLeftAndATenthHas() {
        assertEquals(Traffic.NEVER, traffic(at -> at < 2 * SECOND || at % (80 * MS) == 0)
                .leftAfter(0, 0.5, 2 * SECOND, 8 * SECOND, SECOND));
        // One in ten from the start on; the first of them, at 2.0 s, and that at 2.2 s are in the tolerated
        // part.
        assertEquals(200 * MS, traffic(at -> at < 2 * SECOND || at % (200 * MS) == 0)
                .leftAfter(0, 0.5, 2 * SECOND, 8 * SECOND, SECOND));
    }

    @Test
    void aLullThatDoesNotFitBeforeTheEndOfTheFaultIsNone() {
        assertEquals(Traffic.NEVER, traffic(at -> at < 7_500 * MS || at > 8 * SECOND)
                .leftAfter(0, 0.5, 2 * SECOND, 8 * SECOND, SECOND));
    }

    @Test
    void trafficIsBackWithTheFirstJobOfTheFirstFullSecond() {
        assertEquals(1_500 * MS, traffic(at -> at >= 5_500 * MS).backAfter(0, 0.5, 4 * SECOND, 10 * SECOND,
                SECOND));
        assertEquals(0, traffic(at -> true).backAfter(0, 0.5, 4 * SECOND, 10 * SECOND, SECOND));
        // Half of its share is not enough.
        assertEquals(Traffic.NEVER, traffic(at -> at % (40 * MS) == 0)
                .backAfter(0, 0.5, 4 * SECOND, 10 * SECOND, SECOND));
    }

    @Test
    void aBoxIsSetAsideInEverySecondInWhichItGetsUnderAFifthOfWhatIsFair() {
        var traffic = traffic(at -> at < 3 * SECOND || at >= 5 * SECOND);
        assertEquals(2, traffic.asideSeconds(List.of(0, 1), HALVES, 0, 10 * SECOND, SECOND));
        assertEquals(0, traffic.asideSeconds(List.of(1), HALVES, 0, 10 * SECOND, SECOND));
        // Where box 1 is sick, all is box 0's: its half is under a fifth of nothing less than 2.5 halves.
        assertEquals(0, traffic(at -> at % (40 * MS) == 0)
                .asideSeconds(List.of(0), HALVES, 0, 10 * SECOND, SECOND));
        assertEquals(10, traffic(at -> at % (60 * MS) == 0)
                .asideSeconds(List.of(0), HALVES, 0, 10 * SECOND, SECOND));
    }
}
