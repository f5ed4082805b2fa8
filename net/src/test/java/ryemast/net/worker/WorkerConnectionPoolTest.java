package ryemast.net.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WorkerConnectionPoolTest {

    /** Guards against a name that would end the request line early, or lead to another path. */
    @Test
    void aNameIsSafeWithinAPath() {
        assertEquals("9b1f-A_z.~", WorkerConnectionPool.encoded("9b1f-A_z.~"));
        assertEquals("a%20b%2F..%3F%25%E9", WorkerConnectionPool.encoded("a b/..?%\u00e9"));
    }
}
