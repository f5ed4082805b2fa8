package ryemast.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.http.HttpMessage;
import ryemast.pacing.Heartbeat;

/**
 * Keeps the dispatcher itself on the first agent's list: registers it with a check that lapses unless the
 * loop says in time that it goes on, registers it anew where the agent has forgotten it, puts it under
 * maintenance when it is told to end, and takes it off when all is answered. Nothing here is needed to serve:
 * what fails is tried again and said in the log once. Owned by the loop.
 */
final class Registration {

    private static final Logger LOG = Logger.getLogger(Registration.class.getName());
    /** Registration is the agent's own matter: another agent would list the dispatcher a second time. */
    private static final int AGENT = 0;
    private static final int NOT_FOUND = 404;
    /**
     * Consul takes a service off whose check has been critical for that long; it allows no less than a
     * minute.
     */
    private static final String OFF_AFTER = "10m";
    private static final long SECOND = 1_000_000;

    private final Loop loop;
    private final Agents agents;
    private final ConsulSettings.Own own;
    private final Heartbeat heartbeat;
    private boolean registered;
    private boolean ending;
    private boolean left;
    private String said = "";

    Registration(Loop loop, Agents agents, ConsulSettings settings) {
        this.loop = loop;
        this.agents = agents;
        own = settings.registration();
        heartbeat = new Heartbeat(own.timeToLive());
    }

    void begin() {
        beat();
    }

    private void beat() {
        if (ending) {
            return;
        }
        if (registered) {
            put("/v1/agent/check/pass/" + Targets.encoded(check()), HttpMessage.EMPTY, this::passed);
        } else {
            put("/v1/agent/service/register", body(), result -> {
                registered = result.good();
                if (registered) {
                    Note.info(LOG, "registered with Consul as {id} of service {service}", "id", own.id(),
                            "service", own.service());
                }
                noted(result);
            });
        }
    }

    /** The agent answers 404, or in older versions 500, for a check that it does not know any more. */
    private void passed(Agents.Result result) {
        boolean unknown = !result.good() && result.answer() != null
                && (result.answer().head().status() == NOT_FOUND || result.why().contains("nknown check"));
        if (unknown && !ending) {
            registered = false;
            Note.info(LOG, "Consul at {address} has forgotten {id}", "address", agents.name(AGENT), "id",
                    own.id());
            beat();
        } else {
            noted(result);
        }
    }

    private void noted(Agents.Result result) {
        if (result.good()) {
            heartbeat.succeeded(loop.now());
        } else {
            heartbeat.failed(loop.now());
        }
        if (!result.why().equals(said)) {
            said = result.why();
            if (!result.good()) {
                Note.warning(LOG, "the registration with Consul at {address} failed: {why}",
                        "address", agents.name(AGENT), "why", said);
            }
        }
        loop.at(heartbeat.dueAt(), this::beat);
    }

    void drain() {
        ending = true;
        if (registered) {
            put("/v1/agent/service/maintenance/" + Targets.encoded(own.id()) + "?enable=true&reason=ending",
                    HttpMessage.EMPTY, result -> { });
        }
    }

    void leave(Runnable then) {
        ending = true;
        Consumer<Agents.Result> once = result -> {
            if (!left) {
                left = true;
                then.run();
            }
        };
        if (registered) {
            put("/v1/agent/service/deregister/" + Targets.encoded(own.id()), HttpMessage.EMPTY, once);
        } else {
            once.accept(null);
        }
    }

    private void put(String target, byte[] body, Consumer<Agents.Result> then) {
        agents.call(AGENT, "PUT", target, body, loop.now() + Math.min(SECOND, own.timeToLive() / 4), then);
    }

    private String check() {
        return "service:" + own.id();
    }

    private byte[] body() {
        var check = new JsonObject();
        check.addProperty("CheckID", check());
        check.addProperty("Name", "the dispatcher's loop");
        check.addProperty("TTL", own.timeToLive() / 1000 + "ms");
        check.addProperty("Status", "passing");
        check.addProperty("DeregisterCriticalServiceAfter", OFF_AFTER);
        var all = new JsonObject();
        all.addProperty("ID", own.id());
        all.addProperty("Name", own.service());
        all.addProperty("Address", own.address().getAddress().getHostAddress());
        all.addProperty("Port", own.address().getPort());
        all.add("Tags", new JsonArray());
        all.add("Check", check);
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }
}
