package ryemast.lab.consul;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ryemast.lab.consul.Registered.Check;
import ryemast.lab.consul.Registered.Node;
import ryemast.lab.consul.Registered.Service;
import ryemast.lab.world.Timeline;

/**
 * The catalogue and its index, as Consul's documentation describes them: one index over all changes; a
 * query's answer carries that of the last change which concerns it, a service's own for its health (of its
 * instances, their checks and the checks of their nodes), or the whole catalogue's where nothing of that name
 * was ever there. A query that waits is let go by a change that concerns it, or when its time is up.
 * Deterministic in the time of its timeline; one thread.
 */
public final class ConsulState {

    /** Consul's own bounds: deregistration no sooner than after a minute; here tests may ask for less. */
    private static final String TTL_LAPSED = "TTL expired";
    static final String SERVICE_MAINTENANCE = "_service_maintenance:";
    static final String NODE_MAINTENANCE = "_node_maintenance";
    private static final String MAINTENANCE_NAME = "Maintenance Mode";
    /** Consul begins to count with its own bootstrapping. */
    private static final long FIRST_INDEX = 10;

    /** A query that waits. */
    private record Waiting(LongSupplier index, long beyond, Runnable resume, Timeline.Timer timer) {
    }

    private final Timeline time;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Set<Service>> byName = new TreeMap<>();
    private final Map<String, Long> serviceIndex = new HashMap<>();
    private long catalogueIndex = FIRST_INDEX;
    private long index = FIRST_INDEX;
    private final List<Waiting> waiting = new ArrayList<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();

    public ConsulState(Timeline time) {
        this.time = time;
    }

    /**
     * Told of each service instance, by its id, of which something has changed, and of each that has gone.
     */
    public void onChange(Consumer<String> listener) {
        listeners.add(listener);
    }

    Timeline time() {
        return time;
    }

    Collection<Node> nodes() {
        return nodes.values();
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** Names with the tags of all their instances. */
    Map<String, Set<String>> services() {
        var found = new TreeMap<String, Set<String>>();
        byName.forEach((name, instances) -> {
            var tags = new TreeSet<String>();
            instances.forEach(each -> tags.addAll(each.tags));
            found.put(name, tags);
        });
        return found;
    }

    Collection<Service> instances(String name) {
        return byName.getOrDefault(name, Set.of());
    }

    Service service(String node, String id) {
        var at = nodes.get(node);
        return at == null ? null : at.services.get(id);
    }

    long index() {
        return index;
    }

    long catalogueIndex() {
        return catalogueIndex;
    }

    long serviceIndex(String name) {
        return serviceIndex.getOrDefault(name, catalogueIndex);
    }

    /** Lets a query go on once its index is beyond what it knows, or after a time. */
    void await(LongSupplier of, long beyond, long forAtMost, Runnable resume) {
        var one = new Waiting[1];
        one[0] = new Waiting(of, beyond, resume, time.at(time.now() + forAtMost, () -> {
            waiting.remove(one[0]);
            resume.run();
        }));
        waiting.add(one[0]);
    }

    /** Queries that wait look anew whether there is something for them. */
    void wake() {
        for (var each : List.copyOf(waiting)) {
            if (each.index.getAsLong() > each.beyond && waiting.remove(each)) {
                each.timer.cancel();
                each.resume.run();
            }
        }
    }

    /** As after a restart without its disk: the index counts from the beginning, what is registered stays. */
    public void resetIndex() {
        goBackTo(FIRST_INDEX);
    }

    /** The index is this again; all queries that wait are answered with the state as it is. */
    void goBackTo(long former) {
        index = former;
        catalogueIndex = Math.min(catalogueIndex, former);
        serviceIndex.replaceAll((name, old) -> Math.min(old, former));
        letGo();
    }

    /** As a restart does with all queries that wait: they are answered with the state as it is. */
    void letGo() {
        for (var each : List.copyOf(waiting)) {
            waiting.remove(each);
            each.timer.cancel();
            each.resume.run();
        }
    }

    /** Something beside the catalogue has changed, at this index. */
    void reached(long at) {
        index = Math.max(index, at);
        changed();
    }

    /** Several changes that become known at once. */
    public void together(Runnable changes) {
        holding++;
        changes.run();
        if (--holding == 0 && touched) {
            touched = false;
            wake();
        }
    }

    private int holding;
    private boolean touched;

    private void changed() {
        if (holding > 0) {
            touched = true;
        } else {
            wake();
        }
    }

    private void changed(Service service) {
        service.rendered = null;
        service.modifyIndex = index;
        serviceIndex.put(service.name, index);
        listeners.forEach(each -> each.accept(service.id));
    }

    Node register(String name, String id, String address, Map<String, String> meta) {
        var node = nodes.get(name);
        boolean same = node != null && node.address.equals(address) && node.meta.equals(meta);
        if (same) {
            return node;
        }
        index++;
        catalogueIndex = index;
        if (node == null) {
            node = new Node(name);
            node.createIndex = index;
            nodes.put(name, node);
        }
        node.id = id;
        node.address = address;
        node.meta.clear();
        node.meta.putAll(meta);
        node.modifyIndex = index;
        node.services.values().forEach(this::changed);
        changed();
        return node;
    }

    /** Puts a service on a node, or changes it there; {@code as}: sets what it is. */
    Service register(Node node, String id, String name, Consumer<Service> as) {
        var service = node.services.get(id);
        if (service != null && !service.name.equals(name)) {
            deregister(service);
            service = null;
        }
        index++;
        catalogueIndex = index;
        if (service == null) {
            service = new Service(node, id);
            service.name = name;
            service.createIndex = index;
            node.services.put(id, service);
            byName.computeIfAbsent(name, key -> new LinkedHashSet<>()).add(service);
        }
        as.accept(service);
        changed(service);
        changed();
        return service;
    }

    void deregister(Service service) {
        index++;
        catalogueIndex = index;
        service.checks.values().forEach(Check::stop);
        service.node.services.remove(service.id);
        var all = byName.get(service.name);
        all.remove(service);
        if (all.isEmpty()) {
            byName.remove(service.name);
        }
        changed(service);
        changed();
    }

    void deregister(Node node) {
        together(() -> {
            List.copyOf(node.services.values()).forEach(this::deregister);
            node.checks.values().forEach(Check::stop);
            nodes.remove(node.name);
            index++;
            catalogueIndex = index;
            changed();
        });
    }

    /**
     * Puts a check in place of the one of its id, if there is one; with a time to live it lapses without a
     * word.
     */
    Check check(Node node, Service service, Check check) {
        var home = service == null ? node.checks : service.checks;
        var former = home.put(check.id, check);
        if (former != null) {
            former.stop();
        }
        check.service = service;
        index++;
        check.createIndex = former == null ? index : former.createIndex;
        concern(node, service, check);
        if (check.timeToLive > 0) {
            keep(node, check);
        }
        critical(node, check);
        return check;
    }

    void uncheck(Node node, Service service, String id) {
        var former = (service == null ? node.checks : service.checks).remove(id);
        if (former != null) {
            former.stop();
            index++;
            concern(node, service, former);
        }
    }

    private void concern(Node node, Service service, Check check) {
        check.modifyIndex = index;
        if (service != null) {
            changed(service);
        } else {
            node.services.values().forEach(this::changed);
        }
        changed();
    }

    /**
     * What a check says from now on; the same again is no change, but keeps one with a time to live alive.
     */
    void status(Node node, Check check, String status, String output) {
        if (check.timeToLive > 0) {
            keep(node, check);
        }
        if (check.status.equals(status) && check.output.equals(output)) {
            return;
        }
        check.status = status;
        check.output = output;
        index++;
        concern(node, check.service, check);
        critical(node, check);
    }

    private void keep(Node node, Check check) {
        if (check.lapse != null) {
            check.lapse.cancel();
        }
        check.lapse = time.at(time.now() + check.timeToLive, () -> {
            if (!check.status.equals("critical") || !check.output.equals(TTL_LAPSED)) {
                check.status = "critical";
                check.output = TTL_LAPSED;
                index++;
                concern(node, check.service, check);
                critical(node, check);
            }
        });
    }

    /** A check may want its service off the list once it has been critical for so long. */
    private void critical(Node node, Check check) {
        boolean critical = check.status.equals("critical");
        if (!critical && check.removal != null) {
            check.removal.cancel();
            check.removal = null;
        } else if (critical && check.removal == null && check.deregisterAfter > 0 && check.service != null) {
            check.removal = time.at(time.now() + check.deregisterAfter, () -> {
                if (node.services.get(check.service.id) == check.service) {
                    deregister(check.service);
                }
            });
        }
    }

    void maintenance(Node node, Service service, boolean on, String reason) {
        var id = service == null ? NODE_MAINTENANCE : SERVICE_MAINTENANCE + service.id;
        if (!on) {
            uncheck(node, service, id);
            return;
        }
        var check = new Check(id);
        check.name = service == null ? "Node " + MAINTENANCE_NAME : "Service " + MAINTENANCE_NAME;
        check.notes = reason.isEmpty()
                ? "Maintenance mode is enabled for this " + (service == null ? "node" : "service")
                + ", but no reason was provided. This is a default message." : reason;
        check.type = "maintenance";
        check(node, service, check);
    }
}
