package ryemast.lab.consul;

import java.util.List;
import java.util.Map;
import ryemast.lab.consul.Registered.Check;

/**
 * Workers on the stand-in's list, put there from within the program: each is an instance of one service on a
 * node of its own, with a check of its own. One thread, that of the state.
 */
public final class ConsulBoxes {

    private static final String CHECK = "alive:";

    private final ConsulState state;
    private final AgentApi agent;
    private final String service;

    ConsulBoxes(ConsulState state, AgentApi agent, String service) {
        this.state = state;
        this.agent = agent;
        this.service = service;
    }

    /** Puts a worker on the list, passing; one that is there already is described anew. */
    public void list(String id, String host, int port, Map<String, String> meta, int weight) {
        state.together(() -> {
            var node = state.node("node-" + id);
            if (node == null) {
                node = state.register("node-" + id, AgentApi.id(id), host, Map.of());
                agent.serf(node);
            }
            var home = node;
            var one = state.register(node, id, service, each -> {
                each.address = host;
                each.port = port;
                each.meta = Map.copyOf(meta);
                each.tags = List.of("ryemast-worker");
                each.passingWeight = weight;
                each.warningWeight = Math.max(1, weight / 2);
            });
            if (!one.checks.containsKey(CHECK + id)) {
                var check = new Check(CHECK + id);
                check.name = "alive";
                check.status = "passing";
                state.check(home, one, check);
            }
        });
    }

    /**
     * What its check says from now on: passing, warning or critical; one that is not listed is passed over.
     */
    public void says(String id, String status, String output) {
        var one = state.service("node-" + id, id);
        if (one != null) {
            state.status(one.node, one.checks.get(CHECK + id), status, output);
        }
    }

    public void maintenance(String id, boolean on, String reason) {
        var one = state.service("node-" + id, id);
        if (one != null) {
            state.maintenance(one.node, one, on, reason);
        }
    }

    /** Takes it off the list. */
    public void off(String id) {
        var one = state.service("node-" + id, id);
        if (one != null) {
            state.deregister(one);
        }
    }

    /** Several changes that become known at once. */
    public void together(Runnable changes) {
        state.together(changes);
    }

    public boolean isListed(String id) {
        return state.service("node-" + id, id) != null;
    }

    /** Whether a service that was registered with the agent itself is there. */
    public boolean isOnAgent(String id) {
        return agent.service(service, id) != null;
    }

    /** Whether it is there and all of its checks pass. */
    public boolean isPassing(String id) {
        var one = agent.service(service, id);
        return one != null && one.allChecks().stream().allMatch(each -> each.status.equals("passing"));
    }

    /** As if the agent had forgotten it. */
    public void offAgent(String id) {
        state.deregister(agent.service(service, id));
    }
}
