package ryemast.reserving;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import ryemast.reservation.ReleasedCapacity;
import ryemast.reservation.Grant;
import ryemast.reservation.LedgerState;
import ryemast.reservation.Reservation;
import ryemast.reservation.Service;
import ryemast.reservation.Span;
import ryemast.reservation.LedgerSettings;

/**
 * A page of the book as JSON, with tenants and classes by their names: their numbers are an order of the
 * settings, which may differ for a while between replicas.
 */
final class PageText {

    /** A record that is no page, or names what this replica's settings lack. */
    static final class FaultyPageException extends Exception {

        private static final long serialVersionUID = 1L;

        FaultyPageException(String message) {
            super(message);
        }
    }

    private final List<String> tenants;
    private final List<String> classes;

    PageText(List<String> tenants, List<String> classes) {
        this.tenants = List.copyOf(tenants);
        this.classes = List.copyOf(classes);
    }

    byte[] write(LedgerState page) {
        var all = new JsonObject();
        all.addProperty("turn", page.version());
        all.addProperty("clears", page.capacity());
        all.addProperty("free", page.free());
        var grants = new JsonArray();
        page.grants().forEach(each -> grants.add(write(each)));
        all.add("grants", grants);
        var freed = new JsonArray();
        page.released().forEach(each -> freed.add(pair(each.version(), each.perSecond())));
        all.add("freed", freed);
        if (page.settings() != null) {
            all.add("terms", write(page.settings()));
        }
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject write(LedgerSettings terms) {
        var one = new JsonObject();
        one.addProperty("settle", terms.settleTime());
        one.addProperty("margin", terms.margin());
        one.addProperty("band", terms.band());
        one.addProperty("hold", terms.increaseHold());
        one.addProperty("burst", terms.burst());
        one.addProperty("lend", terms.lendTime());
        return one;
    }

    private JsonObject write(Grant grant) {
        var wanted = grant.reservation();
        var one = new JsonObject();
        one.addProperty("name", wanted.service().name());
        one.addProperty("tenant", tenants.get(wanted.service().tenant()));
        var named = new JsonArray();
        wanted.service().classes().stream().sorted().forEach(each -> named.add(classes.get(each)));
        one.add("classes", named);
        one.addProperty("per_second", wanted.perSecond());
        var windows = new JsonArray();
        wanted.windows().forEach(each -> windows.add(pair(each.from(), each.until())));
        one.add("windows", windows);
        one.addProperty("rank", wanted.rank());
        one.addProperty("capped", wanted.capped());
        one.addProperty("age", grant.grantVersion());
        one.addProperty("given", grant.allocated());
        return one;
    }

    LedgerState read(byte[] text) throws FaultyPageException {
        try {
            var all = JsonParser.parseString(new String(text, StandardCharsets.UTF_8)).getAsJsonObject();
            var grants = new ArrayList<Grant>();
            for (var each : all.getAsJsonArray("grants")) {
                grants.add(grant(each.getAsJsonObject()));
            }
            return new LedgerState(number(all, "turn"), number(all, "clears"), number(all, "free"), grants,
                    pairs(all, "freed").map(each -> new ReleasedCapacity(each[0], each[1])).toList(),
                    all.has("terms") ? terms(all.getAsJsonObject("terms")) : null);
        } catch (JsonParseException | IllegalStateException | IllegalArgumentException
                | NullPointerException | UnsupportedOperationException | IndexOutOfBoundsException e) {
            throw new FaultyPageException(String.valueOf(e.getMessage()));
        }
    }

    private static LedgerSettings terms(JsonObject one) {
        return new LedgerSettings(number(one, "settle"), one.get("margin").getAsDouble(),
                one.get("band").getAsDouble(), number(one, "hold"), number(one, "burst"),
                number(one, "lend"));
    }

    private Grant grant(JsonObject one) throws FaultyPageException {
        var numbers = new HashSet<Integer>();
        for (var each : one.getAsJsonArray("classes")) {
            numbers.add(number(classes, each, "class"));
        }
        var service = new Service(one.get("name").getAsString(), number(tenants, one.get("tenant"), "tenant"),
                numbers);
        return new Grant(new Reservation(service, number(one, "per_second"),
                pairs(one, "windows").map(each -> new Span(each[0], each[1])).toList(),
                one.get("rank").getAsInt(), one.get("capped").getAsBoolean()), number(one, "age"),
                number(one, "given"));
    }

    private static int number(List<String> names, JsonElement name, String what) throws FaultyPageException {
        int found = names.indexOf(name.getAsString());
        if (found < 0) {
            throw new FaultyPageException(what + " \"" + name.getAsString()
                    + "\" is none of this dispatcher's settings");
        }
        return found;
    }

    private static long number(JsonObject in, String key) {
        return in.get(key).getAsLong();
    }

    private static JsonArray pair(long one, long other) {
        var pair = new JsonArray();
        pair.add(one);
        pair.add(other);
        return pair;
    }

    private static Stream<long[]> pairs(JsonObject in, String key) {
        return StreamSupport.stream(in.getAsJsonArray(key).spliterator(), false)
                .map(JsonElement::getAsJsonArray)
                .map(each -> new long[] {each.get(0).getAsLong(), each.get(1).getAsLong()});
    }
}
