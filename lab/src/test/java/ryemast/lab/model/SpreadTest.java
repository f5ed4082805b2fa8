package ryemast.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SpreadTest {

    @Test
    void threeRunsHaveStudentsInterval() {
        var spread = Spread.of(1, 2, 3);
        assertEquals(2, spread.mean());
        // t of 2 degrees at 97.5% is 4.3027; the deviation is 1.
        assertEquals(4.3027 / Math.sqrt(3), spread.half(), 1e-4);
        assertTrue(spread.holds(4.48) && !spread.holds(4.49));
    }

    @Test
    void oneRunHasNoInterval() {
        assertTrue(Spread.of().json().get("mean").isJsonNull());
        assertTrue(Spread.of(7).json().get("low").isJsonNull());
        assertTrue(Double.isNaN(Spread.of(7).half()));
    }
}
