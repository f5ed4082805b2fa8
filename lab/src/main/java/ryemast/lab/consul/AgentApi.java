package ryemast.lab.consul;

import static ryemast.lab.consul.GoJson.array;
import static ryemast.lab.consul.GoJson.object;
import static ryemast.lab.consul.GoJson.text;
import static ryemast.lab.consul.GoJson.texts;
import static ryemast.lab.consul.GoJson.value;
import static ryemast.lab.consul.GoJson.whole;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import ryemast.lab.consul.ConsulApi.Refused;
import ryemast.lab.consul.Registered.Check;
import ryemast.lab.consul.Registered.Node;
import ryemast.lab.consul.Registered.Service;

/**
 * The agent's side: services and checks registered with it, maintenance, checks with a time to live; and the
 * catalogue's own registration, for what runs on other nodes. What is wrong with a call is said as Consul
 * says it.
 */
final class AgentApi {

    static final String LOCAL = "lab-node";
    private static final String[] STATES = {"passing", "warning", "critical"};

    private final ConsulState state;

    AgentApi(ConsulState state) {
        this.state = state;
    }

    private Node local() {
        var node = state.node(LOCAL);
        if (node == null) {
            node = state.register(LOCAL, id(LOCAL), "127.0.0.1", Map.of());
            serf(node);
        }
        return node;
    }

    static String id(String name) {
        return UUID.nameUUIDFromBytes(name.getBytes(java.nio.charset.StandardCharsets.UTF_8)).toString();
    }

    /** The agent's own word on its node. */
    void serf(Node node) {
        var check = new Check("serfHealth");
        check.name = "Serf Health Status";
        check.status = "passing";
        check.output = "Agent alive and reachable";
        state.check(node, null, check);
    }

    /** Null where it is not about this agent. */
    String get(ConsulCall call) throws Refused {
        switch (call.path()) {
            case "/v1/agent/self": {
                var config = new JsonObject();
                config.addProperty("Datacenter", ConsulJson.DATACENTRE);
                config.addProperty("NodeName", LOCAL);
                config.addProperty("NodeID", id(LOCAL));
                config.addProperty("Server", true);
                config.addProperty("Version", "1.15.0");
                config.addProperty("Revision", "");
                var member = new JsonObject();
                member.addProperty("Name", LOCAL);
                member.addProperty("Addr", "127.0.0.1");
                member.addProperty("Status", 1);
                var self = new JsonObject();
                self.add("Config", config);
                self.add("Member", member);
                self.add("Meta", new JsonObject());
                return self.toString();
            }
            case "/v1/agent/services": {
                var all = new JsonObject();
                local().services.values().forEach(each -> all.add(each.id,
                        ConsulJson.service(each, ConsulView.PLAIN)));
                return all.toString();
            }
            case "/v1/agent/checks": {
                var all = new JsonObject();
                var node = local();
                checks().forEach(each -> all.add(each.id, ConsulJson.check(node, each)));
                return all.toString();
            }
            case "/v1/status/leader":
                return "\"127.0.0.1:8300\"";
            case "/v1/status/peers":
                return "[\"127.0.0.1:8300\"]";
            default:
                return null;
        }
    }

    private List<Check> checks() {
        var all = new ArrayList<Check>(local().checks.values());
        all.removeIf(each -> each.id.equals("serfHealth"));
        local().services.values().forEach(each -> all.addAll(each.checks.values()));
        return all;
    }

    /** The body of an answer of 200. */
    String put(ConsulCall call) throws Refused {
        var path = call.path();
        if (path.equals("/v1/agent/service/register")) {
            register(object(call));
        } else if (path.equals("/v1/agent/check/register")) {
            registerCheck(object(call));
        } else if (path.equals("/v1/agent/maintenance")) {
            state.maintenance(local(), null, enabled(call), call.query().getOrDefault("reason", ""));
        } else if (path.equals("/v1/catalog/register")) {
            registerElsewhere(object(call));
            return "true";
        } else if (path.equals("/v1/catalog/deregister")) {
            deregisterElsewhere(object(call));
            return "true";
        } else if (call.behind("/v1/agent/service/deregister/") != null) {
            state.deregister(service(call.behind("/v1/agent/service/deregister/")));
        } else if (call.behind("/v1/agent/service/maintenance/") != null) {
            state.maintenance(local(), service(call.behind("/v1/agent/service/maintenance/")), enabled(call),
                    call.query().getOrDefault("reason", ""));
        } else if (call.behind("/v1/agent/check/deregister/") != null) {
            var check = check(call.behind("/v1/agent/check/deregister/"));
            state.uncheck(local(), check.service, check.id);
        } else if (!update(call)) {
            throw new Refused(404, "");
        }
        return "";
    }

    private boolean update(ConsulCall call) throws Refused {
        var verbs =
                Map.of("/v1/agent/check/pass/", 0, "/v1/agent/check/warn/", 1, "/v1/agent/check/fail/", 2);
        for (var each : verbs.entrySet()) {
            var id = call.behind(each.getKey());
            if (id != null) {
                word(check(id), STATES[each.getValue()], call.query().getOrDefault("note", ""));
                return true;
            }
        }
        var id = call.behind("/v1/agent/check/update/");
        if (id == null) {
            return false;
        }
        var json = object(call);
        var status = text(json, "Status", "");
        if (!List.of(STATES).contains(status)) {
            throw new Refused(400, "Invalid check status: '" + status + "'");
        }
        word(check(id), status, text(json, "Output", ""));
        return true;
    }

    private void word(Check check, String status, String output) throws Refused {
        if (check.timeToLive == 0) {
            throw new Refused(500, "CheckID \"" + check.id + "\" does not have associated TTL");
        }
        state.status(local(), check, status, output);
    }

    /** One that was registered here, or null. */
    Service service(String name, String id) {
        var service = local().services.get(id);
        return service != null && service.name.equals(name) ? service : null;
    }

    private Service service(String id) throws Refused {
        var service = local().services.get(id);
        if (service == null) {
            throw new Refused(404, "Unknown service ID \"" + id
                    + "\". Ensure that the service ID is passed, not the"
                    + " service name.");
        }
        return service;
    }

    private Check check(String id) throws Refused {
        for (var each : checks()) {
            if (each.id.equals(id)) {
                return each;
            }
        }
        throw new Refused(404, "Unknown check ID \"" + id
                + "\". Ensure that the check ID is passed, not the check"
                + " name.");
    }

    private void register(JsonObject json) throws Refused {
        var name = text(json, "Name", "");
        if (name.isEmpty()) {
            throw new Refused(400, "Missing service name");
        }
        var id = text(json, "ID", name);
        var checks = new ArrayList<JsonObject>();
        if (object(json, "Check") != null) {
            checks.add(object(json, "Check"));
        }
        array(json, "Checks").forEach(each -> checks.add(each.getAsJsonObject()));
        var made = new ArrayList<Check>();
        for (int i = 0; i < checks.size(); i++) {
            var own = "service:" + id + (checks.size() == 1 ? "" : ":" + (i + 1));
            made.add(made(checks.get(i), own, "Service '" + name + "' check"));
        }
        state.together(() -> {
            var service = state.register(local(), id, name, each -> describe(each, json, "Address"));
            made.forEach(each -> state.check(local(), service, each));
        });
    }

    private static void describe(Service service, JsonObject json, String address) {
        service.tags = array(json, "Tags").stream().map(JsonElement::getAsString).toList();
        service.address = text(json, address, "");
        service.port = whole(json, "Port", 0);
        service.meta = texts(json, "Meta");
        var weights = object(json, "Weights");
        service.passingWeight = weights == null ? 1 : whole(weights, "Passing", 1);
        service.warningWeight = weights == null ? 1 : whole(weights, "Warning", 1);
    }

    private void registerCheck(JsonObject json) throws Refused {
        var name = text(json, "Name", "");
        if (name.isEmpty()) {
            throw new Refused(400, "Missing check name");
        }
        var of = text(json, "ServiceID", "");
        var service = of.isEmpty() ? null : service(of);
        state.check(local(), service, made(json, text(json, "ID", name), name));
    }

    private static Check made(JsonObject json, String id, String name) throws Refused {
        var check = new Check(text(json, "CheckID", text(json, "ID", id)));
        check.name = text(json, "Name", name);
        check.notes = text(json, "Notes", "");
        check.status = text(json, "Status", "critical");
        try {
            check.timeToLive = Durations.micros(text(json, "TTL", "0s"));
            check.deregisterAfter = Durations.micros(text(json, "DeregisterCriticalServiceAfter", "0s"));
        } catch (IllegalArgumentException e) {
            throw new Refused(400, "Request decode failed: " + e.getMessage());
        }
        check.type = check.timeToLive > 0 ? "ttl" : value(json, "HTTP") != null ? "http"
                : value(json, "TCP") != null ? "tcp" : "";
        return check;
    }

    private void registerElsewhere(JsonObject json) throws Refused {
        var name = text(json, "Node", "");
        var address = text(json, "Address", "");
        if (name.isEmpty() || address.isEmpty()) {
            throw new Refused(400, "Must provide node and address");
        }
        state.together(() -> {
            var node = state.register(name, text(json, "ID", id(name)), address, texts(json, "NodeMeta"));
            Service service = null;
            var of = object(json, "Service");
            if (of != null) {
                service = state.register(node, text(of, "ID", text(of, "Service", "")),
                        text(of, "Service", ""),
                        each -> describe(each, of, "Address"));
            }
            var checks = new ArrayList<>(array(json, "Checks"));
            if (object(json, "Check") != null) {
                checks.add(object(json, "Check"));
            }
            for (var each : checks) {
                checkElsewhere(node, service, each.getAsJsonObject());
            }
        });
    }

    /** Of a service that it names, or else of the node. */
    private void checkElsewhere(Node node, Service registered, JsonObject json) {
        var check = new Check(text(json, "CheckID", text(json, "Name", "check")));
        check.name = text(json, "Name", check.id);
        check.status = text(json, "Status", "critical");
        check.notes = text(json, "Notes", "");
        check.output = text(json, "Output", "");
        var owner = text(json, "ServiceID", "");
        state.check(node, owner.isEmpty() ? null : node.services.getOrDefault(owner, registered), check);
    }

    private void deregisterElsewhere(JsonObject json) {
        var node = state.node(text(json, "Node", ""));
        if (node == null) {
            return;
        }
        var service = text(json, "ServiceID", "");
        var check = text(json, "CheckID", "");
        if (!service.isEmpty()) {
            if (node.services.containsKey(service)) {
                state.deregister(node.services.get(service));
            }
        } else if (!check.isEmpty()) {
            state.uncheck(node, null, check);
            node.services.values().forEach(each -> state.uncheck(node, each, check));
        } else {
            state.deregister(node);
        }
    }

    private static boolean enabled(ConsulCall call) throws Refused {
        var text = call.query().getOrDefault("enable", "");
        if (!text.equals("true") && !text.equals("false")) {
            throw new Refused(400, text.isEmpty() ? "Missing value for enable"
                    : "Invalid value for enable: \"" + text
                    + "\"");
        }
        return text.equals("true");
    }
}
