package review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Case 3 of the review, for the list of known faults; run by hand, after review/build.sh. */
class AwardedTwiceTest {

    @Test
    @Tag("known-red")
    void aSubmissionMadeAgainAfterACutIsNotTakenTwice() throws Exception {
        assertEquals(0, new ProcessBuilder("review/3/run.sh").inheritIO().start().waitFor());
    }
}
