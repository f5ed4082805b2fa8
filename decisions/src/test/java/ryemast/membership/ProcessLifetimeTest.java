package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ProcessLifetimeTest {

    private final ProcessLifetime life = new ProcessLifetime();

    @Test
    void nothingIsKnownOfAWorkerThatWasNeverSeen() {
        assertEquals(ProcessLifetime.NEVER, life.aliveSince());
    }

    @Test
    void overlappingSpansBelongToOneProcess() {
        life.recordAlive(10, 20);
        life.recordAlive(15, 30);
        life.recordAlive(30, 40);
        assertEquals(10, life.aliveSince());
    }

    @Test
    void gapMayHideAnotherProcess() {
        life.recordAlive(10, 20);
        life.recordAlive(21, 30);
        assertEquals(21, life.aliveSince());
    }

    /** A connection that has long been open may be the last one to get a response. */
    @Test
    void spanReportedLateClosesTheGap() {
        life.recordAlive(10, 20);
        life.recordAlive(21, 30);
        life.recordAlive(12, 25);
        assertEquals(12, life.aliveSince());
    }

    @Test
    void spanOfAnEarlierProcessChangesNothing() {
        life.recordAlive(21, 30);
        life.recordAlive(10, 20);
        assertEquals(21, life.aliveSince());
        life.recordAlive(30, 31);
        assertEquals(21, life.aliveSince());
    }

    @Test
    void listedStartInvalidatesEarlierSpans() {
        life.recordAlive(10, 20);
        life.recordStart(15);
        assertEquals(15, life.aliveSince());
        life.recordStart(25);
        assertEquals(ProcessLifetime.NEVER, life.aliveSince());
        life.recordAlive(26, 30);
        assertEquals(26, life.aliveSince());
    }
}
