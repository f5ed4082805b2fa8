package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ryemast.net.http.MessageMemory;

class UnwrittenAnswersTest {

    private static final int ALL = 6_000_000;
    /** What the answers of all connections may hold before clients are ended for it. */
    private static final int FIRST_BOUND = 1_000_000;
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
        while (!budget.isOver()) {
            holding(1);
        }
        assertTrue(first.isFull());
        assertFalse(holding(0).isFull());
        assertFalse(budget.isFarOver());
        while (budget.over() <= FIRST_BOUND) {
            holding(1);
        }
        assertTrue(budget.isFarOver());
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
