package ryemast.net.region;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RegionPoolTest {

    /** Guards against a name that would end the request line early, or lead to another path. */
    @Test
    void aNameIsSafeWithinAPath() {
        assertEquals("9b1f-A_z.~", RegionPool.encoded("9b1f-A_z.~"));
        assertEquals("a%20b%2F..%3F%25%E9", RegionPool.encoded("a b/..?%\u00e9"));
    }
}
