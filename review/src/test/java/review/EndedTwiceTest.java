package review;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Case 7 of the second review, for the list of known faults; run by hand, after review/build-2.sh. */
class EndedTwiceTest {

    @Test
    @Tag("known-red")
    void jobsHandedInAfterAllWereEndedAreNotEndedByTheSameCall() throws Exception {
        assertEquals(0, new ProcessBuilder("review/7/run.sh").inheritIO().start().waitFor());
    }
}
