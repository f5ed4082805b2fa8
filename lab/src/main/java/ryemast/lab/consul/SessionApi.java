package ryemast.lab.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import ryemast.lab.consul.ConsulApi.Refused;
import ryemast.lab.consul.ConsulApi.Reply;
import ryemast.lab.consul.Queries.Found;
import ryemast.lab.consul.Sessions.Session;

/**
 * {@code /v1/session/}: made, renewed, destroyed and listed. Checks that a session names are taken down and
 * shown, but what they say doesn't end it: a time to live does.
 */
final class SessionApi {

    static final String PATH = "/v1/session/";
    private static final long S = 1_000_000;
    private static final long SHORTEST = 10 * S;
    private static final long LONGEST = 86_400 * S;
    private static final long USUAL_DELAY = 15 * S;
    private static final long LONGEST_DELAY = 60 * S;
    /** A lock delay that is a number below this is one of seconds, else one of nanoseconds. */
    private static final long SECONDS_BELOW = 1_000;

    private final ConsulState state;
    private final Sessions sessions;
    private final Queries queries;

    SessionApi(ConsulState state, Sessions sessions, Queries queries) {
        this.state = state;
        this.sessions = sessions;
        this.queries = queries;
    }

    void get(ConsulCall call, Struck struck, Reply reply) throws Refused {
        var one = call.behind(PATH + "info/");
        var node = call.behind(PATH + "node/");
        LongSupplier index = sessions::index;
        Supplier<Collection<Session>> found;
        if (one != null) {
            index = () -> sessions.get(one) == null ? sessions.index() : sessions.get(one).createIndex();
            found = () -> sessions.get(one) == null ? List.of() : List.of(sessions.get(one));
        } else if (node != null) {
            found = () -> sessions.all().stream().filter(each -> each.node().equals(node)).toList();
        } else if (call.path().equals(PATH + "list")) {
            found = sessions::all;
        } else {
            throw new Refused(404, "");
        }
        queries.ask(call, struck, index, () -> Found.of(struck.has(ConsulFault.Kind.EMPTY) ? "[]"
                : json(found.get())), reply);
    }

    /** The body of an answer of 200. */
    String put(ConsulCall call) throws Refused {
        if (call.path().equals(PATH + "create")) {
            var made = new JsonObject();
            made.addProperty("ID", sessions.create(wanted(call.body().isBlank() ? new JsonObject()
                    : GoJson.object(call))).id());
            return made.toString();
        }
        var ended = call.behind(PATH + "destroy/");
        if (ended != null) {
            sessions.destroy(ended);
            return "true";
        }
        var renewed = call.behind(PATH + "renew/");
        if (renewed == null) {
            throw new Refused(404, "");
        }
        var session = sessions.renew(renewed);
        if (session == null) {
            throw new Refused(404, "Session id '" + renewed + "' not found");
        }
        return json(List.of(session));
    }

    private Session wanted(JsonObject json) throws Refused {
        var node = GoJson.text(json, "Node", AgentApi.LOCAL);
        if (!node.equals(AgentApi.LOCAL) && state.node(node) == null) {
            throw new Refused(500, "Missing node registration");
        }
        var behaviour = GoJson.text(json, "Behavior", "release");
        if (!behaviour.equals("release") && !behaviour.equals("delete")) {
            throw new Refused(500, "Invalid Behavior setting '" + behaviour + "'");
        }
        var checks = GoJson.value(json, "NodeChecks") != null ? "NodeChecks" : "Checks";
        var named = GoJson.value(json, checks) == null ? List.of("serfHealth")
                : GoJson.array(json, checks).stream().map(each -> each.getAsString()).toList();
        var time = GoJson.text(json, "TTL", "");
        return new Session("", GoJson.text(json, "Name", ""), node, timeToLive(time), time, delay(json),
                behaviour.equals("delete"), named, 0);
    }

    private static long timeToLive(String text) throws Refused {
        long time;
        try {
            time = text.isEmpty() ? 0 : Durations.micros(text);
        } catch (IllegalArgumentException e) {
            throw new Refused(500, "Session TTL '" + text + "' invalid: " + e.getMessage());
        }
        if (time != 0 && (time < SHORTEST || time > LONGEST)) {
            throw new Refused(500, "Invalid Session TTL '" + time * 1_000
                    + "', must be between [10s=24h0m0s]");
        }
        return time;
    }

    private static long delay(JsonObject json) throws Refused {
        var value = GoJson.value(json, "LockDelay");
        if (value == null) {
            return USUAL_DELAY;
        }
        try {
            long number = value.getAsJsonPrimitive().isNumber() ? value.getAsBigDecimal().longValue() : -1;
            long delay = number < 0 ? Durations.micros(value.getAsString())
                    : number < SECONDS_BELOW ? number * S : number / 1_000;
            return Math.min(LONGEST_DELAY, delay);
        } catch (IllegalArgumentException e) {
            throw new Refused(400, "Request decode failed: " + e.getMessage());
        }
    }

    private static String json(Collection<Session> found) {
        var all = new JsonArray();
        for (var each : found) {
            var json = new JsonObject();
            json.addProperty("ID", each.id());
            json.addProperty("Name", each.name());
            json.addProperty("Node", each.node());
            json.addProperty("LockDelay", each.lockDelay() * 1_000);
            json.addProperty("Behavior", each.deletes() ? "delete" : "release");
            json.addProperty("TTL", each.timeText());
            json.add("NodeChecks", ConsulJson.texts(each.nodeChecks()));
            json.add("ServiceChecks", null);
            json.addProperty("CreateIndex", each.createIndex());
            json.addProperty("ModifyIndex", each.createIndex());
            all.add(json);
        }
        return all.toString();
    }
}
