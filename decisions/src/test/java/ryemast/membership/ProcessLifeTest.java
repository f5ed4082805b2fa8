package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ProcessLifeTest {

    private final ProcessLife life = new ProcessLife();

    @Test
    void nothingIsKnownOfAWorkerThatWasNotSeen() {
        assertEquals(ProcessLife.NEVER, life.since());
    }

    @Test
    void spansThatOverlapAreOfOneProcess() {
        life.seen(10, 20);
        life.seen(15, 30);
        life.seen(30, 40);
        assertEquals(10, life.since());
    }

    @Test
    void aGapMayHideAnotherProcess() {
        life.seen(10, 20);
        life.seen(21, 30);
        assertEquals(21, life.since());
    }

    /** A connection that had been open for long may be the one that is answered last. */
    @Test
    void aSpanThatIsToldLateClosesTheGap() {
        life.seen(10, 20);
        life.seen(21, 30);
        life.seen(12, 25);
        assertEquals(12, life.since());
    }

    @Test
    void aSpanOfAnEarlierProcessChangesNothing() {
        life.seen(21, 30);
        life.seen(10, 20);
        assertEquals(21, life.since());
        life.seen(30, 31);
        assertEquals(21, life.since());
    }

    @Test
    void aStartThatTheListTellsEndsWhatWasSeenBefore() {
        life.seen(10, 20);
        life.startedAt(15);
        assertEquals(15, life.since());
        life.startedAt(25);
        assertEquals(ProcessLife.NEVER, life.since());
        life.seen(26, 30);
        assertEquals(26, life.since());
    }
}
