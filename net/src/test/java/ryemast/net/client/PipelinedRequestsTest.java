package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;
import ryemast.net.http.MessageMemory;

class PipelinedRequestsTest {

    private final PipelinedRequests.Budget budget = new PipelinedRequests.Budget(MessageMemory.UNBOUNDED);
    private final PipelinedRequests waiting = new PipelinedRequests(budget);

    private static HttpMessage request(int bytes) {
        return new HttpMessage(HttpHead.request("POST", "/api/k").with("x-txn", "t"), new byte[bytes]);
    }

    @Test
    void whatIsKeptComesInItsOrder() {
        for (int i = 0; i < 20; i++) {
            assertTrue(waiting.add(request(i), i));
        }
        for (int i = 0; i < 20; i++) {
            var next = waiting.next();
            assertEquals(i, ((HttpMessage) next.message()).body().length);
            assertEquals(i, next.at());
        }
        assertTrue(waiting.isEmpty());
        assertNull(waiting.next());
    }

    @Test
    void oneOfTheLargestSizeIsKept() {
        waiting.add(request(64 * 1024), 1);
        assertTrue(waiting.next().message() instanceof HttpMessage);
    }

    /** What follows one that was not kept is not kept either, or the answers would change places. */
    @Test
    void beyondSomeBytesRequestsAreCountedAndWhatIsUnreadableComesLast() {
        for (int i = 0; i < 10; i++) {
            waiting.add(request(400_000), i);
        }
        waiting.add(request(0), 10);
        var fault = new HttpException(400, "odd");
        waiting.add(fault, 11);
        int kept = 0;
        var next = waiting.next();
        for (; next.message() instanceof HttpMessage; next = waiting.next()) {
            kept++;
        }
        assertEquals(2, kept);
        for (int i = kept; i < 11; i++) {
            assertSame(PipelinedRequests.NOT_KEPT, next.message());
            next = waiting.next();
        }
        assertSame(fault, next.message());
        assertTrue(waiting.isEmpty());
    }

    /** A thousand clients that send ahead must not fill the memory. */
    @Test
    void allConnectionsTogetherKeepNoMoreThanTheBudget() {
        int kept = 0;
        for (int i = 0; i < 100; i++) {
            var each = new PipelinedRequests(budget);
            each.add(request(200_000), 0);
            kept += each.next().message() instanceof HttpMessage ? 1 : 0;
            each.add(request(200_000), 0);
        }
        assertEquals(PipelinedRequests.Budget.ALL / 200_000, kept, 2);
    }

    @Test
    void itsOwnBoundIsTold() {
        int taken = 0;
        while (taken < 1_000_000 && waiting.add(request(1_000), 0)) {
            taken++;
        }
        assertTrue(taken > 16_384 && taken < 18_000, taken + " were taken");
        waiting.clear();
        assertTrue(waiting.isEmpty() && budget.isWhole());
        assertTrue(waiting.add(request(0), 0));
        assertFalse(waiting.isEmpty());
    }
}
