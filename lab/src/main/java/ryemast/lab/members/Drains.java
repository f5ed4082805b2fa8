package ryemast.lab.members;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.lab.books.History;
import ryemast.lab.consul.ConsulBoxes;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.sockets.EmulatedSite;

/**
 * Drains one box after the other under load, and reads from the boxes' own books when the last new request
 * came after each mark. A box is back for a while before its next turn comes, so that each drain finds it in
 * use; one that was not is told apart and does not count.
 */
public final class Drains {

    private static final long MS = 1_000;
    /** Beyond the rule's half second, with the 50 ms that the rules allow on sockets. */
    private static final long HOLD = 600 * MS;
    private static final long BETWEEN = 100 * MS;
    private static final long BEFORE = 1_000 * MS;
    /** Until the first one: a dispatcher knows all boxes, and all are used. */
    private static final long WARM_UP = 5_000 * MS;

    private final EmulatedSite site;
    private final Way way;
    private final int count;
    private final List<Drain> marked = new ArrayList<>();

    public Drains(EmulatedSite site, Way way, int count) {
        this.site = site;
        this.way = way;
        this.count = count;
    }

    /** How long jobs must come for so many. */
    public static long length(int count) {
        return WARM_UP + count * (HOLD + BETWEEN) + 2 * BEFORE;
    }

    /** Drains until all are done or {@link Thread#interrupt}; to be run beside the site's run. */
    public void run(Consumer<Integer> each) {
        try {
            Thread.sleep(WARM_UP / MS);
            int boxes = site.scenario().boxes().size();
            for (int i = 0; i < count; i++) {
                var box = site.scenario().boxes().get(i % boxes);
                long markedAt = mark(box);
                Thread.sleep(HOLD / MS);
                long undoneAt = site.now();
                undo(box);
                synchronized (marked) {
                    marked.add(new Drain(box.index(), markedAt, undoneAt, false, 0));
                }
                each.accept(i + 1);
                Thread.sleep(BETWEEN / MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long mark(BoxSpec box) {
        if (way == Way.OPERATOR) {
            return operator(box.id() + " a drill\n");
        }
        return site.ask(() -> {
            var listed = site.consul().listed();
            long at = site.now();
            switch (way) {
                case MAINTENANCE -> listed.maintenance(box.id(), true, "a drill");
                case CRITICAL -> listed.says(box.id(), "critical", "a drill");
                default -> listed.off(box.id());
            }
            return at;
        });
    }

    private void undo(BoxSpec box) {
        if (way == Way.OPERATOR) {
            operator("");
            return;
        }
        site.ask(() -> {
            var listed = site.consul().listed();
            switch (way) {
                case MAINTENANCE -> listed.maintenance(box.id(), false, "");
                case CRITICAL -> listed.says(box.id(), "passing", "");
                default -> relist(listed, site.scenario(), box);
            }
            return null;
        });
    }

    private static void relist(ConsulBoxes listed, Scenario scenario, BoxSpec box) {
        // Warm, as the box itself went on all the while.
        var nobody = new InetSocketAddress("127.0.0.1", 1);
        listed.list(box.id(), nobody.getAddress().getHostAddress(), nobody.getPort(), Map.of(
                "kind", scenario.kinds().get(box.kind()), "zone", scenario.zones().get(box.zone()),
                "started_ms", "1"), Math.max(1, (int) Math.round(box.weight())));
    }

    private long operator(String lines) {
        try {
            for (int i = 0; i < site.scenario().dispatchers().count(); i++) {
                Files.writeString(site.consul().drainedFile(i), lines);
            }
            long at = site.now();
            for (int i = 0; i < site.scenario().dispatchers().count(); i++) {
                site.reload(i);
            }
            return at;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** All that were done, with what the books say. */
    public List<Drain> read(History history) {
        List<Drain> done;
        synchronized (marked) {
            done = List.copyOf(marked);
        }
        var last = new long[done.size()];
        var used = new boolean[done.size()];
        for (var sent : history.attempts()) {
            long at = sent.attempt().firstByteAt();
            for (int i = 0; i < done.size(); i++) {
                var drain = done.get(i);
                if (sent.attempt().box() == drain.box()) {
                    used[i] |= at <= drain.markedAt() && at > drain.markedAt() - BEFORE;
                    if (at > drain.markedAt() && at < drain.undoneAt()) {
                        last[i] = Math.max(last[i], at - drain.markedAt());
                    }
                }
            }
        }
        var found = new ArrayList<Drain>();
        for (int i = 0; i < done.size(); i++) {
            var drain = done.get(i);
            found.add(new Drain(drain.box(), drain.markedAt(), drain.undoneAt(), used[i], last[i]));
        }
        return found;
    }
}
