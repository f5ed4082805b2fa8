package ryemast.consul;

import java.net.InetSocketAddress;
import java.util.List;
import ryemast.pacing.PollingPolicy;

/**
 * How Consul is asked. Immutable.
 *
 * @param agents        in the order in which they are tried
 * @param service       the service whose instances are the workers; null where {@code tag} says which
 * @param tag           every service that carries this tag is one of ours; null where {@code service} is
 *                      named
 * @param mode          how far an answer may lag
 * @param datacentre    null: the agent's own
 * @param filter        an expression of Consul's; null: none
 * @param tls           null: in the clear
 * @param connectLimit  how long a connection to an agent may take to come up, in microseconds
 * @param longestAnswer in bytes
 * @param registration  null: the dispatcher itself is not registered
 */
public record ConsulSettings(List<InetSocketAddress> agents, String service, String tag, Mode mode,
        String datacentre, String filter, Tls tls, Mapping mapping, PollingPolicy pace, long connectLimit,
        int longestAnswer, Own registration) {

    /** Consul's consistency modes. */
    public enum Mode {
        /** The leader answers, which may for a moment no longer be one. */
        DEFAULT,
        /** The leader makes sure that it is one. */
        CONSISTENT,
        /** Any server answers, with what it knows; it says how old that is. */
        STALE
    }

    /**
     * @param authority  a file of certificates (PEM); an agent's own must be signed by one of them
     * @param name       what the agents' certificates must be for; null: each for its agent's address
     */
    public record Tls(String authority, String name) {
    }

    /**
     * How the dispatcher is registered.
     *
     * @param service     under which name
     * @param id          unlike that of any other dispatcher
     * @param timeToLive  after so long without a word from the loop it counts as critical, in microseconds
     */
    public record Own(String service, String id, InetSocketAddress address, long timeToLive) {
    }

    /**
     * Which agents there are, and how they are spoken to.
     *
     * @param agents         in the order in which they are tried
     * @param tls            null: in the clear
     * @param connectLimit   how long a connection to an agent may take to come up, in microseconds
     * @param longestAnswer  in bytes
     */
    public record Reach(List<InetSocketAddress> agents, Tls tls, long connectLimit, int longestAnswer) {

        public Reach {
            agents = List.copyOf(agents);
            if (agents.isEmpty()) {
                throw new IllegalArgumentException("no agent");
            }
        }
    }

    Reach reach() {
        return new Reach(agents, tls, connectLimit, longestAnswer);
    }

    public ConsulSettings {
        agents = List.copyOf(agents);
        if (agents.isEmpty() || (service == null) == (tag == null)) {
            throw new IllegalArgumentException(agents.isEmpty() ? "no agent" : "either a service or a tag");
        }
    }
}
