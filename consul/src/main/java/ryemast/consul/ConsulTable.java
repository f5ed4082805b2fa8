package ryemast.consul;

import java.io.IOException;
import java.io.Reader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.core.Note;
import ryemast.core.ServiceTable;
import ryemast.net.Transport;
import ryemast.pacing.BlockingQuery;

/**
 * Consul in the place of the platform's discovery: a watch for each service whose instances are workers, and
 * the dispatcher's own registration. The module's wish to ask again changes nothing here, as the watches
 * never rest. Owned by the loop.
 */
public final class ConsulTable implements ServiceTable, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ConsulTable.class.getName());
    /** A tag that is on everything by mistake must not cost a connection for each service there is. */
    private static final int MOST_SERVICES = 64;

    private final Loop loop;
    private final ConsulSettings settings;
    private final Members members;
    private final Agents agents;
    private final long seed;
    private final Map<String, ServiceWatch> watches = new LinkedHashMap<>();
    private final ExecutorService reading = Executors.newSingleThreadExecutor(work -> {
        var thread = new Thread(work, "consul answers");
        thread.setDaemon(true);
        return thread;
    });
    private final Registration registration;
    private boolean tooMany;

    /** An {@link IOException} says which file of the settings can't be used. */
    public ConsulTable(Loop loop, Transport transport, ConsulSettings settings, Members members, long seed)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.members = members;
        this.seed = seed;
        agents = new Agents(loop, transport, settings.reach());
        registration = settings.registration() == null ? null : new Registration(loop, agents, settings);
    }

    /** To be called on the loop, once it listens to clients. */
    public void begin() {
        if (settings.service() != null) {
            follow(settings.service());
        } else {
            new TagWatch().ask();
        }
        if (registration != null) {
            registration.begin();
        }
    }

    /** What agents are to know us by from now on; empty: nothing. To be called on the loop. */
    public void token(String token) {
        agents.token(token);
    }

    @Override
    public void watch() {
        // Nothing to do: each watch asks again by itself.
    }

    /** The dispatcher ends: others are told to send nothing more. */
    public void drain() {
        if (registration != null) {
            registration.drain();
        }
    }

    /** The dispatcher has ended what it had: {@code then} follows on the loop, soon in any case. */
    public void leave(Runnable then) {
        if (registration == null) {
            then.run();
        } else {
            registration.leave(then);
        }
    }

    @Override
    public void close() {
        agents.close();
        reading.shutdownNow();
    }

    private void follow(String service) {
        if (watches.containsKey(service)) {
            return;
        }
        if (watches.size() >= MOST_SERVICES) {
            if (!tooMany) {
                Note.warning(LOG, "over {most} services carry the tag {tag}: the others are left out",
                        "most", MOST_SERVICES, "tag", settings.tag());
            }
            tooMany = true;
            return;
        }
        var watch =
                new ServiceWatch(loop, agents, settings, members, service, seed + watches.size(), reading);
        watches.put(service, watch);
        Note.info(LOG, "workers are the instances of service {service}", "service", service);
        watch.ask();
    }

    /** Which services carry the tag; one that loses it is watched on, as its workers' drains count still. */
    private final class TagWatch extends Watch<List<String>> {
        TagWatch() {
            super(ConsulTable.this.loop, ConsulTable.this.agents, "the list of services",
                    new BlockingQuery(settings.pace(), settings.agents().size(), seed - 1), reading);
        }

        @Override
        String target() {
            return new Targets(settings).services();
        }

        @Override
        List<String> read(Reader text) throws IOException {
            return CatalogReader.services(text, settings.tag());
        }

        @Override
        void take(List<String> found, Certainty certainty) {
            found.forEach(ConsulTable.this::follow);
        }

        @Override
        void unchanged() {
            // The services are the same.
        }

        @Override
        void failed(String why) {
            // Those that are known are watched on.
        }
    }
}
