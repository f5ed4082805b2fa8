package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReadPaceTest {

    private static final int SMALL = 300;

    private final ReadPace pace = new ReadPace();

    @Test
    void aClientThatWaitsForItsAnswersIsNeverTooFast() {
        long bytes = 0;
        for (long now = 1_000_000; now < 3_000_000; now += 1_000) {
            bytes += 2 * SMALL;
            assertFalse(pace.isTooFast(now, bytes));
        }
    }

    /** Guards others against one that sends small requests at full speed. */
    @Test
    void hundredsOfSmallRequestsAtOnceAreTooFastUntilTheNextStep() {
        boolean tooFast = false;
        for (int i = 0; i < 200; i++) {
            tooFast = pace.isTooFast(1_000_000, (i + 1) * 20L);
        }
        assertTrue(tooFast);
        assertFalse(pace.isTooFast(1_000_000 + ReadPace.STEP, 201 * 20L));
    }

    @Test
    void oneOfTheLargestRequestsIsNotTooFast() {
        assertFalse(pace.isTooFast(1_000_000, 66 * 1024));
    }
}
