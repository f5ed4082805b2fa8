package ryemast.lab.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What judges found: breaches, each told once, and figures by the names that results have them under. */
public final class Findings {

    /**
     * A rule broken once.
     *
     * @param rule  its short name
     * @param at    on the books' clock
     * @param what  a sentence for operators
     */
    public record Found(String rule, long at, String what) {
    }

    private static final double MS = 1e3;
    private static final double P50 = 50;
    private static final double P99 = 99;

    private final List<Found> breaches = new ArrayList<>();
    private final List<Found> inDoubt = new ArrayList<>();
    private final JsonObject figures = new JsonObject();

    public void breach(String rule, long at, String what) {
        breaches.add(new Found(rule, at, what));
    }

    /** One that the machine may have made, which let those concerned wait; it breaks nothing. */
    public void doubtful(String rule, long at, String what) {
        inDoubt.add(new Found(rule, at, what));
    }

    public void count(String name, long value) {
        figures.addProperty(name, value);
    }

    public void words(String name, List<String> words) {
        var array = new JsonArray();
        words.forEach(array::add);
        figures.add(name, array);
    }

    public void counts(String name, Map<String, Long> values) {
        var object = new JsonObject();
        values.forEach(object::addProperty);
        figures.add(name, object);
    }

    /** Times in microseconds, as p50, p99 and max in milliseconds; empty where there is none. */
    public void times(String name, Histogram times) {
        var object = new JsonObject();
        if (times.getTotalCount() > 0) {
            object.addProperty("p50", times.getValueAtPercentile(P50) / MS);
            object.addProperty("p99", times.getValueAtPercentile(P99) / MS);
            object.addProperty("max", times.getMaxValue() / MS);
        }
        figures.add(name, object);
    }

    /** In the order of time. */
    public List<Found> breaches() {
        return breaches.stream().sorted(Comparator.comparingLong(Found::at)).toList();
    }

    public List<Found> inDoubt() {
        return inDoubt.stream().sorted(Comparator.comparingLong(Found::at)).toList();
    }

    public JsonObject figures() {
        return figures;
    }
}
