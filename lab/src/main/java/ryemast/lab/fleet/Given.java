package ryemast.lab.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * What the book of reservations gave to whom, page by page, as its record's keeper saw it. What a process
 * makes of it is not in here.
 */
final class Given {

    private static final String BOOK = "reservations/book";
    private static final Page NOTHING = new Page(Long.MIN_VALUE, 0, 0, Map.of());

    /** A service's line; {@code age}: of one rank, the largest yields first. */
    record Line(double promised, double given, long age) {
    }

    /** One page from its writing on, until the next one's. */
    record Page(long at, double clears, double free, Map<String, Line> lines) {

        double given(String service) {
            var line = lines.get(service);
            return line == null ? 0 : line.given;
        }

        double sum() {
            return free + lines.values().stream().mapToDouble(Line::given).sum();
        }
    }

    private final List<Page> pages = new ArrayList<>(List.of(NOTHING));

    Given(FleetBooks books) {
        for (var change : books.records()) {
            if (change.key().endsWith(BOOK)) {
                pages.add(change.value() == null ? new Page(change.at(), 0, 0, Map.of())
                        : page(change.at(), change.value()));
            }
        }
    }

    private static Page page(long at, String text) {
        var all = JsonParser.parseString(text).getAsJsonObject();
        var lines = new LinkedHashMap<String, Line>();
        for (var each : stream(all.getAsJsonArray("grants")).map(JsonElement::getAsJsonObject).toList()) {
            lines.put(each.get("name").getAsString(), new Line(each.get("per_second").getAsDouble(),
                    each.get("given").getAsDouble(), each.get("age").getAsLong()));
        }
        return new Page(at, all.get("clears").getAsDouble(), all.get("free").getAsDouble(), lines);
    }

    private static Stream<JsonElement> stream(Iterable<JsonElement> all) {
        return StreamSupport.stream(all.spliterator(), false);
    }

    /** In the order of their writing. */
    List<Page> pages() {
        return pages.subList(1, pages.size());
    }

    /** Of all that stood at some time between the two, none where they are none; the first has nothing. */
    List<Page> stood(long from, long until) {
        var found = new ArrayList<Page>();
        for (int i = 0; i < pages.size() && from <= until; i++) {
            boolean goneBefore = i + 1 < pages.size() && pages.get(i + 1).at() <= from;
            if (!goneBefore && pages.get(i).at() <= until) {
                found.add(pages.get(i));
            }
        }
        return found;
    }

    double most(long from, long until, ToDoubleFunction<Page> figure) {
        return stood(from, until).stream().mapToDouble(figure).max().orElse(0);
    }

    double least(long from, long until, ToDoubleFunction<Page> figure) {
        return stood(from, until).stream().mapToDouble(figure).min().orElse(0);
    }
}
