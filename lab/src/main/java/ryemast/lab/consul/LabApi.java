package ryemast.lab.consul;

import com.google.gson.JsonParser;
import ryemast.lab.consul.ConsulApi.Refused;

/**
 * {@code /v1/lab/}: what Consul has not. Faults, which last, and acts, which happen once: {@code backup},
 * {@code restore}, {@code restore-onward}, {@code new-leader}, {@code lost-disk}. Both come by
 * {@code PUT /v1/lab/fault}.
 */
final class LabApi {

    private static final String AT_ONCE = "backup, restore, restore-onward, new-leader, lost-disk";

    private final ConsulApi api;

    LabApi(ConsulApi api) {
        this.api = api;
    }

    String put(ConsulCall call) throws Refused {
        if (!call.method().equals("PUT")) {
            throw new Refused(405, "PUT only");
        }
        switch (call.path()) {
            case "/v1/lab/fault" -> fault(call);
            case "/v1/lab/clear" -> api.clear();
            case "/v1/lab/index-reset" -> api.loseDisk();
            case "/v1/lab/token" -> api.allow(call.query().getOrDefault("allow", ""));
            case "/v1/lab/expire" -> api.expire(call.query().getOrDefault("token", ""));
            default -> throw new Refused(404, "");
        }
        return "true";
    }

    private void fault(ConsulCall call) throws Refused {
        var json = JsonParser.parseString(call.body()).getAsJsonObject();
        var kind = json.has("kind") ? json.get("kind").getAsString() : "";
        try {
            switch (kind) {
                case "backup" -> api.backup();
                case "restore" -> api.restore(true);
                case "restore-onward" -> api.restore(false);
                case "new-leader" -> api.newLeader();
                case "lost-disk" -> api.loseDisk();
                default -> api.faults().set(kind, json.has("path") ? json.get("path").getAsString() : "",
                        json.has("size") ? json.get("size").getAsLong() : 0,
                        json.has("for_s") ? (long) (json.get("for_s").getAsDouble() * 1e6) : 0,
                        json.has("times") ? json.get("times").getAsLong() : 0);
            }
        } catch (IllegalArgumentException e) {
            throw new Refused(400, e.getMessage() + "; at once: " + AT_ONCE);
        }
    }
}
