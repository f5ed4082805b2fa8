package ryemast.lab.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MedianTest {

    private static JsonObject row(Object figure) {
        var row = new JsonObject();
        if (figure instanceof String word) {
            row.addProperty("left", word);
        } else {
            row.addProperty("left", (Number) figure);
        }
        return row;
    }

    @Test
    void whatNeverHappenedIsLaterThanAnything() {
        var rows = List.of(row(Median.NEVER), row(2), row(1));
        assertEquals(2, Median.of(rows, "left").median());
        assertEquals(1, Median.of(rows, "left").never());
        assertEquals("never", Median.of(List.of(row(Median.NEVER), row(Median.NEVER)), "left").words(1));
    }

    @Test
    void whatIsNotKnownDoesNotCount() {
        assertEquals(4, Median.of(List.of(row(null), row(3), row(5)), "left").median());
        assertEquals("-", Median.of(List.of(row(null)), "left").words(1));
    }

    @Test
    void theIntervalHoldsWhatOrderStatisticsSay() {
        // Of 1 to 50 the exact 95% interval of the median runs from the 18th to the 33rd value.
        var median = Median.of(IntStream.rangeClosed(1, 50).asDoubleStream().toArray());
        assertEquals(25.5, median.median());
        assertTrue(Math.abs(median.low() - 18.5) <= 1.5 && Math.abs(median.high() - 32.5) <= 1.5,
                median.toString());
    }
}
