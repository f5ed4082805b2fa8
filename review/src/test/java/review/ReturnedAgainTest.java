package review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Case 1 of the review, for the list of known faults; run by hand, after review/build.sh. */
class ReturnedAgainTest {

    @Test
    @Tag("known-red")
    void aWordToldAgainIsNotTakenForALaterAttemptsWord() throws Exception {
        assertEquals(0, new ProcessBuilder("review/1/run.sh").inheritIO().start().waitFor());
    }
}
