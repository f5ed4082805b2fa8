package ryemast.lab.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.lab.books.DispatcherStats;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.sockets.EmulatedSite;

/**
 * Lets every box on the list change at once, in several ways, and measures what that costs the dispatcher:
 * processor time until it is quiet again, and how long its loop stood still, against a stretch of the same
 * length before without any change.
 */
public final class MassChange {

    /**
     * One change.
     *
     * @param longestMs  the longest beat of its pulse meanwhile
     * @param cpuMs      processor time of the dispatcher meanwhile
     */
    public record Cost(String what, double longestMs, double cpuMs) {
    }

    private static final long SECOND_MS = 1_000;
    private static final long SETTLES_MS = 3 * SECOND_MS;
    private static final long WARM_UP_MS = 8 * SECOND_MS;
    private static final int ROUNDS = 5;

    private final EmulatedSite site;
    private final List<Cost> costs = new ArrayList<>();
    private volatile IOException failed;

    public MassChange(EmulatedSite site) {
        this.site = site;
    }

    /** How long jobs must come for it, in microseconds. */
    public static long length() {
        return (WARM_UP_MS + ROUNDS * 4 * SETTLES_MS + 2 * SECOND_MS) * 1_000;
    }

    /** To be run beside the site's run. */
    public void run(Consumer<String> each) {
        try (var pulse = new Pulse(site.dispatcher(0))) {
            Thread.sleep(WARM_UP_MS);
            for (int round = 0; round < ROUNDS; round++) {
                int weight = 20 + round;
                measure(pulse, "nothing", each, () -> { });
                measure(pulse, "weights", each, () -> all(box -> list(box, weight)));
                measure(pulse, "maintenance", each, () -> all(box -> site.consul().listed()
                        .maintenance(box.id(), true, "a drill")));
                measure(pulse, "back", each,
                        () -> all(box -> site.consul().listed().maintenance(box.id(), false, "")));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            failed = e;
        }
    }

    private void measure(Pulse pulse, String what, Consumer<String> each, Runnable change)
            throws InterruptedException, IOException {
        long cpu = cpuMicros();
        long begin = System.nanoTime();
        site.ask(() -> {
            site.consul().listed().together(change);
            return null;
        });
        Thread.sleep(SETTLES_MS);
        synchronized (costs) {
            costs.add(new Cost(what, pulse.longestSince(begin), (cpuMicros() - cpu) / 1e3));
        }
        each.accept(what);
    }

    private void all(Consumer<BoxSpec> change) {
        site.scenario().boxes().forEach(change);
    }

    private void list(BoxSpec box, int weight) {
        var scenario = site.scenario();
        site.consul().listed()
                .list(box.id(), "127.0.0.1", 1, Map.of("kind", scenario.kinds().get(box.kind()), "zone",
                scenario.zones().get(box.zone()), "started_ms", "1"), weight);
    }

    private long cpuMicros() {
        return site.stats().stream().mapToLong(DispatcherStats::cpuMicros).sum();
    }

    /** In the order in which they were measured; an {@link IOException} says why there are none. */
    public List<Cost> costs() throws IOException {
        if (failed != null) {
            throw failed;
        }
        synchronized (costs) {
            return List.copyOf(costs);
        }
    }
}
