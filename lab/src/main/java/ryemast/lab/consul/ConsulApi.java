package ryemast.lab.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import ryemast.lab.consul.Registered.Service;

/**
 * The HTTP API over the state: which path asks or does what. Answers to queries wait where they are to. One
 * thread.
 */
public final class ConsulApi {

    /** Who is answered; exactly one call, once, at some later time perhaps. */
    interface Reply {
        void answer(int status, String body, long index, boolean leader);
    }

    /** What is wrong with a call. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        Refused(int status, String message) {
            super(message);
            this.status = status;
        }
    }

    private static final long USUAL_WAIT = 300_000_000;
    private static final long LONGEST_WAIT = 600_000_000;

    private final ConsulState state;
    private final ConsulFaults faults;
    private final AgentApi agent;
    private final Set<String> tokens = new TreeSet<>();

    public ConsulApi(ConsulState state) {
        this.state = state;
        faults = new ConsulFaults(state.time());
        agent = new AgentApi(state);
    }

    public ConsulState state() {
        return state;
    }

    public ConsulFaults faults() {
        return faults;
    }

    /** Once one is allowed, calls without an allowed one are refused. */
    public void allow(String token) {
        tokens.add(token);
    }

    /** As when a token expires. */
    public void expire(String token) {
        tokens.remove(token);
        tokens.add("");
    }

    /** Puts workers on the list, from within the program. */
    public ConsulBoxes boxes(String service) {
        return new ConsulBoxes(state, agent, service);
    }

    void handle(ConsulCall call, ConsulView view, boolean leaderless, boolean spinning, boolean empty,
            Reply reply) {
        try {
            if (call.path().startsWith("/v1/lab/")) {
                reply.answer(200, lab(call), 0, true);
                return;
            }
            if (!tokens.isEmpty() && (call.token().isEmpty() || !tokens.contains(call.token()))) {
                throw new Refused(403, "Permission denied: token lacks the permission that is needed");
            }
            if (leaderless && !call.flag("stale")) {
                throw new Refused(500, "No cluster leader");
            }
            if (call.method().equals("GET")) {
                get(call, view, leaderless, spinning, empty, reply);
            } else if (call.method().equals("PUT")) {
                reply.answer(200, agent.put(call), 0, true);
            } else {
                throw new Refused(405, "method " + call.method() + " not allowed");
            }
        } catch (Refused e) {
            reply.answer(e.status, e.getMessage(), 0, true);
        } catch (JsonParseException | IllegalStateException | ClassCastException | NumberFormatException
                | UnsupportedOperationException e) {
            reply.answer(400, "Request decode failed: " + e.getMessage(), 0, true);
        }
    }

    private void get(ConsulCall call, ConsulView view, boolean leaderless, boolean spinning, boolean empty,
            Reply reply) throws Refused {
        var local = agent.get(call);
        if (local != null) {
            reply.answer(200, local, 0, true);
            return;
        }
        if (call.query().containsKey("dc") && !call.query().get("dc").isEmpty()
                && !call.query().get("dc").equals(ConsulJson.DATACENTRE)) {
            throw new Refused(500, "No path to datacenter");
        }
        var health = call.behind("/v1/health/service/");
        var catalogue = call.behind("/v1/catalog/service/");
        LongSupplier index;
        Supplier<String> body;
        if (health != null) {
            var wanted = Wanted.of(call);
            index = () -> state.serviceIndex(health);
            body = () -> wanted.healthOf(state.instances(health), view);
        } else if (catalogue != null) {
            index = () -> state.serviceIndex(catalogue);
            body = () -> array(state.instances(catalogue).stream()
                    .map(each -> ConsulJson.catalogue(each, view)).toList());
        } else if (call.path().equals("/v1/catalog/services")) {
            index = state::catalogueIndex;
            body = this::services;
        } else if (call.path().equals("/v1/catalog/nodes")) {
            index = state::catalogueIndex;
            body = () -> array(state.nodes().stream().map(ConsulJson::node).toList());
        } else if (call.path().equals("/v1/catalog/datacenters")) {
            index = () -> 0;
            body = () -> "[\"" + ConsulJson.DATACENTRE + "\"]";
        } else if (call.behind("/v1/health/checks/") != null) {
            var name = call.behind("/v1/health/checks/");
            index = () -> state.serviceIndex(name);
            body = () -> checks(state.instances(name));
        } else if (call.behind("/v1/health/node/") != null) {
            var node = call.behind("/v1/health/node/");
            index = state::index;
            body = () -> nodeChecks(node, null);
        } else if (call.behind("/v1/health/state/") != null) {
            var status = call.behind("/v1/health/state/");
            index = state::index;
            body = () -> {
                var all = new JsonArray();
                state.nodes().forEach(each -> all.addAll(JsonParser.parseString(
                        nodeChecks(each.name, status)).getAsJsonArray()));
                return all.toString();
            };
        } else {
            throw new Refused(404, "");
        }
        query(call, index, body, leaderless, spinning, empty, reply);
    }

    /** A blocking query: it waits where it bears an index beyond which there is nothing yet. */
    private void query(ConsulCall call, LongSupplier index, Supplier<String> body, boolean leaderless,
            boolean spinning, boolean empty, Reply reply) throws Refused {
        long knows = number(call, "index");
        long wait = wait(call);
        Runnable answer = () -> {
            var old = faults.isOld() ? faults.old(call.question()) : null;
            long present = old != null ? old.index() : Math.max(1, index.getAsLong()) + (empty ? 1 : 0);
            var text = empty ? call.path().equals("/v1/catalog/services") ? "{}" : "[]"
                    : old != null ? old.body() : body.get();
            if (!empty) {
                faults.remember(call.question(), text, present);
            }
            reply.answer(200, text, present, !leaderless);
        };
        if (knows > 0 && index.getAsLong() <= knows && !spinning && !faults.isOld()) {
            state.await(index, knows, wait, answer);
        } else {
            answer.run();
        }
    }

    private static long wait(ConsulCall call) throws Refused {
        var text = call.query().getOrDefault("wait", "");
        try {
            return text.isEmpty() ? USUAL_WAIT : Math.min(LONGEST_WAIT, Durations.micros(text));
        } catch (IllegalArgumentException e) {
            throw new Refused(400, "Invalid wait time");
        }
    }

    private static long number(ConsulCall call, String name) throws Refused {
        var text = call.query().getOrDefault(name, "");
        if (!text.isEmpty() && !text.matches("[0-9]{1,18}")) {
            throw new Refused(400, "Invalid " + name);
        }
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    private String services() {
        var all = new JsonObject();
        state.services().forEach((name, tags) -> all.add(name, ConsulJson.texts(tags)));
        return all.toString();
    }

    private static String checks(Collection<Service> instances) {
        var all = new JsonArray();
        instances.forEach(service -> service.checks.values()
                .forEach(each -> all.add(ConsulJson.check(service.node, each))));
        return all.toString();
    }

    private String nodeChecks(String name, String status) {
        var all = new JsonArray();
        var node = state.node(name);
        if (node != null) {
            node.checks.values().forEach(each -> all.add(ConsulJson.check(node, each)));
            node.services.values().forEach(service -> service.checks.values()
                    .forEach(each -> all.add(ConsulJson.check(node, each))));
        }
        if (status != null && !status.equals("any")) {
            var kept = new JsonArray();
            all.forEach(each -> {
                if (each.getAsJsonObject().get("Status").getAsString().equals(status)) {
                    kept.add(each);
                }
            });
            return kept.toString();
        }
        return all.toString();
    }

    static String array(Collection<? extends JsonElement> elements) {
        var array = new JsonArray();
        elements.forEach(array::add);
        return array.toString();
    }

    /** {@code PUT /v1/lab/fault}, {@code PUT /v1/lab/clear}, {@code PUT /v1/lab/index-reset}, tokens. */
    private String lab(ConsulCall call) throws Refused {
        if (!call.method().equals("PUT")) {
            throw new Refused(405, "PUT only");
        }
        switch (call.path()) {
            case "/v1/lab/fault" -> {
                var json = JsonParser.parseString(call.body()).getAsJsonObject();
                try {
                    faults.set(json.has("kind") ? json.get("kind").getAsString() : "",
                            json.has("path") ? json.get("path").getAsString() : "",
                            json.has("size") ? json.get("size").getAsLong() : 0,
                            json.has("for_s") ? (long) (json.get("for_s").getAsDouble() * 1e6) : 0,
                            json.has("times") ? json.get("times").getAsLong() : 0);
                } catch (IllegalArgumentException e) {
                    throw new Refused(400, e.getMessage());
                }
            }
            case "/v1/lab/clear" -> faults.clear();
            case "/v1/lab/index-reset" -> state.resetIndex();
            case "/v1/lab/token" -> allow(call.query().getOrDefault("allow", ""));
            case "/v1/lab/expire" -> expire(call.query().getOrDefault("token", ""));
            default -> throw new Refused(404, "");
        }
        return "true";
    }
}
