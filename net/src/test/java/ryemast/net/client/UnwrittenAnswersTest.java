package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import org.junit.jupiter.api.Test;
import ryemast.net.http.MessageMemory;

class UnwrittenAnswersTest {

    private static final int ALL = 6_000_000;
    /** For how long a client has taken nothing in, in microseconds. */
    private static final long LONG = 600_000;
    private static final long SHORT = 100_000;
    private static final int LARGE = 60_000;

    private final MessageMemory memory = new MessageMemory(ALL);
    private final UnwrittenAnswers.Budget budget = new UnwrittenAnswers.Budget(memory);

    private UnwrittenAnswers holding(int answers) {
        var connection = new UnwrittenAnswers(budget);
        for (int i = 0; i < answers; i++) {
            connection.add(LARGE, 0, 0);
        }
        return connection;
    }

    @Test
    void theNextRequestWaitsWhileOneClientsAnswersHoldMuch() {
        var connection = holding(2);
        assertFalse(connection.isFull());
        connection.add(LARGE, 0, 0);
        assertTrue(connection.isFull());
        connection.left(LARGE, 1);
        assertFalse(connection.isFull());
    }

    /** Guards the memory against many clients each of which holds little. */
    @Test
    void whereAllHoldTooMuchOnlyThoseWhoHoldNothingGoOn() {
        var first = holding(1);
        assertFalse(first.isFull());
        while (!budget.isOver()) {
            holding(1);
        }
        assertTrue(first.isFull());
        assertFalse(holding(0).isFull());
    }

    /** Guards clients that read slowly: they are ended only where nothing else keeps the memory. */
    @Test
    void thoseThatAreStuckForLongAreEndedFirstAndOthersOnlyBeyondTheSecondBound() {
        assertFalse(budget.ends(LONG));
        while (!budget.isOver()) {
            holding(1);
        }
        assertTrue(budget.ends(LONG));
        assertFalse(budget.ends(SHORT));
        var more = new ArrayList<UnwrittenAnswers>();
        while (!budget.ends(SHORT)) {
            more.add(holding(1));
        }
        assertFalse(budget.ends(0));
        more.get(0).clear();
        assertFalse(budget.ends(SHORT));
        assertTrue(budget.ends(LONG));
    }

    @Test
    void aClientThatTakesAnythingInIsNotStuck() {
        var connection = holding(2);
        connection.look(0, 700);
        assertEquals(700, connection.stuckFor(700));
        connection.look(1, 800);
        assertEquals(100, connection.stuckFor(900));
        connection.left(LARGE, 900);
        assertEquals(0, connection.stuckFor(900));
        connection.left(LARGE, 950);
        assertEquals(0, connection.stuckFor(2_000));
    }

    @Test
    void allThatWasHeldIsGivenBack() {
        var ended = holding(3);
        var read = holding(1);
        assertTrue(memory.left() < ALL);
        ended.clear();
        ended.clear();
        read.left(LARGE, 1);
        assertEquals(ALL, memory.left());
        assertTrue(budget.isEmpty());
    }
}
