package ryemast.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import ryemast.lab.load.RateSearch.Found;
import ryemast.lab.load.RateSearch.Verdict;

/** Against a made-up system that keeps its goal below a knee. */
class RateSearchTest {

    private static Found<Verdict> search(double from, DoubleFunction<Verdict> system) {
        return RateSearch.search(from, system, verdict -> verdict, step -> { }, () -> false);
    }

    @Property(tries = 300)
    void findsAKneeWithinFivePercentFromWhereverItBegins(
            @ForAll @DoubleRange(min = 2, max = 200_000) double knee,
            @ForAll @DoubleRange(min = 1, max = 100_000) double from) {
        var found = search(from, rate -> rate <= knee ? Verdict.HOLDS : Verdict.FAILS);
        assertTrue(found.rate() <= knee && found.failedAt() > knee, found::toString);
        assertTrue(found.failedAt() / found.rate() <= RateSearch.CLOSE, found::toString);
        assertFalse(found.emulatorLimited());
    }

    @Property(tries = 300)
    void isNotMisledByStepsThatFailOnceThoughTheyCouldHold(
            @ForAll @DoubleRange(min = 2, max = 200_000) double knee) {
        var runs = new AtomicInteger();
        // Every second run fails, whatever the rate: the worst noise that one repetition can bear.
        var found = search(100, rate -> rate <= knee && runs.incrementAndGet() % 2 == 0
                ? Verdict.HOLDS : Verdict.FAILS);
        assertTrue(found.rate() <= knee && found.rate() * RateSearch.CLOSE >= knee, found::toString);
    }

    @Test
    void repeatsWhatFailsOnceAndWhatHoldsNever() {
        var found = search(100, rate -> rate < 150 ? Verdict.HOLDS : Verdict.FAILS);
        assertEquals(100, found.steps().get(0).rate());
        assertEquals(200, found.steps().get(1).rate());
        assertEquals(200, found.steps().get(2).rate());
        assertTrue(found.steps().get(2).repeated());
        assertEquals(Math.sqrt(100 * 200), found.steps().get(3).rate());
    }

    @Test
    void namesTheEmulatorWhereItGaveOutFirst() {
        var found = search(100, rate -> rate < 1000 ? Verdict.HOLDS : Verdict.EMULATOR_LATE);
        assertTrue(found.emulatorLimited());
        assertTrue(found.rate() < 1000 && found.rate() > 950);
        // Beyond the emulator's rate it no longer matters, once the dispatcher has failed below it.
        assertFalse(search(3000, rate -> rate < 500 ? Verdict.HOLDS
                : rate < 1000 ? Verdict.FAILS : Verdict.EMULATOR_LATE).emulatorLimited());
    }

    @Test
    void endsWhereTheGoalHoldsNowhere() {
        var found = search(64, rate -> Verdict.FAILS);
        assertEquals(0, found.rate());
        assertEquals(1, found.failedAt());
    }

    @Test
    void keepsWhatIsKnownWhenCutShort() {
        var runs = new AtomicInteger();
        var found = RateSearch.search(100, rate -> {
            runs.incrementAndGet();
            return Verdict.HOLDS;
        }, verdict -> verdict, step -> { }, () -> runs.get() >= 3);
        assertEquals(200, found.rate(), "the third step did not run to its end");
        assertEquals(2, found.steps().size());
    }
}
