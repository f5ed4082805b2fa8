package ryemast.lab.sockets;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Locale;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.JobClass;

/**
 * A dispatcher's configuration as the platform hands it over: its name and addresses, its limits, the boxes
 * as it last knew them, and the settings under the platform's names and units. Nothing in it tells what the
 * site keeps to itself, such as true speeds, slots and queues.
 */
public final class DispatcherSettings {

    /** More than any dispatcher can hold; its descriptors bind first. */
    private static final int MAX_OPEN = 35_000;

    private final Scenario scenario;

    public DispatcherSettings(Scenario scenario) {
        this.scenario = scenario;
    }

    /** {@code known}: the list of boxes in discovery's form. */
    public JsonObject configuration(int dispatcher, String listen, String discovery, long seed,
            String known) {
        var limits = new JsonObject();
        limits.addProperty("cores", Math.max(1, scenario.dispatchers().cores()));
        limits.addProperty("memory_mb", scenario.dispatchers().memoryMb());
        limits.addProperty("sockets", scenario.dispatchers().sockets());
        var all = new JsonObject();
        all.addProperty("name", "n" + dispatcher);
        all.addProperty("listen", listen);
        all.addProperty("discovery", discovery);
        all.addProperty("seed", Long.toHexString(seed));
        all.add("limits", limits);
        all.add("known", JsonParser.parseString(known));
        all.add("settings", settings(dispatcher));
        return all;
    }

    /** The object that the simulator's first message would hand an instance. */
    public JsonObject settings(int dispatcher) {
        var all = new JsonObject();
        all.add("allowed", allowed());
        all.add("areas", texts(scenario.zones()));
        all.add("callers", object("marks_retry", scenario.clients().marksRetry()));
        var categories = new JsonArray();
        scenario.classes().forEach(each -> categories.add(category(each)));
        all.add("categories", categories);
        all.addProperty("fleet_size", scenario.dispatchers().count());
        all.add("goal", goal());
        all.addProperty("locality", 0);
        all.add("models", texts(scenario.kinds()));
        all.add("obligations", obligations());
        all.addProperty("ordinal", dispatcher);
        all.addProperty("over_share_worth", scenario.clients().overShareWorth());
        var parties = new JsonArray();
        scenario.tenants().forEach(each -> {
            var party = object("name", each.name());
            party.addProperty("portion", each.share());
            party.addProperty("quota_per_s", each.quotaPerSecond());
            parties.add(party);
        });
        all.add("parties", parties);
        all.addProperty("registry_mode", "subscribe");
        var report = object("source", "silent");
        report.add("fields", new JsonArray());
        all.add("report", report);
        all.addProperty("resolution", scenario.resolution());
        all.addProperty("service_type", "jobs");
        all.add("specifics", specifics());
        all.add("tariffs", tariffs());
        all.addProperty("tier", 0);
        all.add("tiers", texts(List.of(scenario.name())));
        all.addProperty("weights", "rough");
        all.addProperty("worth_by", "work");
        return all;
    }

    private JsonObject allowed() {
        var rules = scenario.rules();
        var allowed = object("cancelling", rules.cancel());
        allowed.addProperty("conn_idle",
                scenario.boxes().stream().mapToLong(BoxSpec::idleLimit).min().orElse(0));
        allowed.addProperty("connect_timeout", rules.connectTimeout());
        allowed.addProperty("cpu_us_per_request", 0);
        allowed.addProperty("cpu_us_per_s", 1_000_000);
        allowed.addProperty("max_attempts", rules.maxAttempts());
        allowed.addProperty("max_open", MAX_OPEN);
        allowed.addProperty("max_retry_after", rules.maxRetryAfter());
        allowed.addProperty("peer_messages", false);
        allowed.addProperty("probes", false);
        allowed.addProperty("retry_after", rules.retryAfter());
        allowed.addProperty("second_copies", rules.secondCopies());
        allowed.addProperty("streams_per_conn", 1);
        return allowed;
    }

    private JsonObject category(JobClass each) {
        var category = object("name", each.name());
        category.addProperty("deadline", each.deadline());
        category.addProperty("effect", each.effect().name().toLowerCase(Locale.ROOT));
        category.addProperty("key_scope", "all");
        category.addProperty("late_worth", each.lateWorth());
        category.addProperty("on_time", each.aim());
        category.addProperty("streaming", false);
        category.addProperty("window", each.deadline());
        category.addProperty("worth", each.worth());
        return category;
    }

    private JsonObject goal() {
        var goal = object("whole", scenario.goal().whole());
        goal.addProperty("worst_class", scenario.goal().worstClass());
        goal.addProperty("worst_tenant", scenario.goal().worstTenant());
        goal.addProperty("worst_window", scenario.goal().worstWindow());
        return goal;
    }

    private JsonObject obligations() {
        var rules = scenario.rules();
        var obligations = object("ask_every", rules.askEvery());
        obligations.addProperty("cold", rules.coldFor());
        obligations.addProperty("drain_grace", rules.drainGrace());
        obligations.addProperty("fall", rules.fallWindow());
        obligations.addProperty("fall_multiple", rules.fallMultiple());
        obligations.addProperty("grace_to_answer", rules.graceToAnswer());
        obligations.addProperty("start_capacity", rules.startCapacity());
        return obligations;
    }

    private JsonObject specifics() {
        var kinds = new JsonArray();
        var priorities = new JsonArray();
        var stretches = new JsonArray();
        for (var each : scenario.classes()) {
            kinds.add(-1);
            priorities.add(0);
            stretches.add(each.stretch());
        }
        var specifics = object("queue_order", "fifo");
        specifics.add("class_kind", kinds);
        specifics.add("class_priority", priorities);
        specifics.add("class_stretch", stretches);
        specifics.addProperty("notes", "1 it has started, 2 share done");
        specifics.addProperty("progress", scenario.telling().progressEvery());
        specifics.addProperty("tells_start", scenario.telling().starts());
        return specifics;
    }

    private JsonObject tariffs() {
        var tariffs = object("late_fail", scenario.goal().lateFail());
        tariffs.addProperty("waste", scenario.goal().waste());
        return tariffs;
    }

    private static JsonObject object(String key, Object value) {
        var object = new JsonObject();
        if (value instanceof Number number) {
            object.addProperty(key, number);
        } else if (value instanceof Boolean flag) {
            object.addProperty(key, flag);
        } else {
            object.addProperty(key, value.toString());
        }
        return object;
    }

    private static JsonArray texts(List<String> texts) {
        var array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }
}
