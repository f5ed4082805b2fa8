package ryemast.lab.consul;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Collection;
import java.util.StringJoiner;
import java.util.function.Predicate;
import ryemast.lab.consul.Registered.Service;

/** Which instances a call to the health API is after: by tag, by passing checks alone, by a filter. */
record Wanted(String tag, boolean passing, Predicate<JsonObject> filter) {

    static Wanted of(ConsulCall call) throws ConsulApi.Refused {
        var text = call.query().getOrDefault("filter", "");
        try {
            return new Wanted(call.query().get("tag"), call.flag("passing"), text.isEmpty() ? null
                    : Filter.of(text));
        } catch (IllegalArgumentException e) {
            throw new ConsulApi.Refused(400, e.getMessage());
        }
    }

    String healthOf(Collection<Service> instances, ConsulView view) {
        var all = new StringJoiner(",", "[", "]");
        for (var each : instances) {
            boolean wanted = (tag == null || each.tags.contains(tag))
                    && (!passing
                    || each.allChecks().stream().allMatch(check -> check.status.equals("passing")));
            if (wanted) {
                var text = ConsulJson.health(each, view);
                if (filter == null || filter.test(JsonParser.parseString(text).getAsJsonObject())) {
                    all.add(text);
                }
            }
        }
        return all.toString();
    }
}
