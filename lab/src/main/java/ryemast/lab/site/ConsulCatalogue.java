package ryemast.lab.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.books.Books;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.consul.ConsulApi;
import ryemast.lab.consul.ConsulBoxes;
import ryemast.lab.consul.ConsulServer;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Timeline;

/**
 * Consul in discovery's place: what happens to boxes shows in the stand-in's catalogue, late as the scenario
 * says. A box that drains is put under maintenance, one that stops in order is taken off, one that dies turns
 * critical, and one that starts is passing, with its start in its metadata.
 *
 * <p>For the rules' sake the books are told of orders (maintenance, taken off) and of returns alone, once the
 * answer that holds them is written to a dispatcher: that a check is critical is a finding, which a
 * dispatcher may doubt.
 */
public final class ConsulCatalogue implements Directory {

    public static final String SERVICE = "puzzle-box";

    private final Scenario scenario;
    private final ConsulApi api;
    private final ConsulBoxes listed;
    private final Timeline time;
    private final Books books;
    private final Map<Integer, Box> boxes = new HashMap<>();
    private final Map<Integer, ArrayDeque<Pending>> pending = new HashMap<>();
    /** By box, what is listed; by dispatcher and box, what has been told. */
    private final Map<Integer, News> shown = new HashMap<>();
    private final Map<Long, News> told = new HashMap<>();
    private ConsulServer server;

    private record Pending(News news, Timeline.Timer timer) {
    }

    public ConsulCatalogue(Scenario scenario, List<Box> boxes, ConsulApi api, Timeline time, Books books) {
        this.scenario = scenario;
        this.api = api;
        this.time = time;
        this.books = books;
        listed = api.boxes(SERVICE);
        for (var box : boxes) {
            this.boxes.put(box.index(), box);
            if (box.news() != null) {
                show(box.news());
            }
            box.onNews(this::heard);
        }
    }

    /** The stand-in's workers, for those who change them beside the boxes' own news. */
    public ConsulBoxes listed() {
        return listed;
    }

    /** The server that goes down with it. */
    public void servedBy(ConsulServer by) {
        server = by;
    }

    private void heard(News news) {
        if (news.manner() == News.Manner.KNOWN) {
            show(news);
            return;
        }
        var discovery = scenario.discovery();
        long wait = switch (news.manner()) {
            case STARTED -> discovery.add();
            case TOLD -> discovery.notice();
            default -> discovery.silentNotice();
        };
        var before = pending.computeIfAbsent(news.box(), key -> new ArrayDeque<>());
        before.add(new Pending(news, time.at(time.now() + wait, () -> due(news))));
    }

    /** Shows a change, and forgets those that happened before it. */
    private void due(News news) {
        var waiting = pending.get(news.box());
        for (var each = waiting.poll(); each.news != news; each = waiting.poll()) {
            each.timer.cancel();
        }
        show(news);
    }

    private void show(News news) {
        var spec = boxes.get(news.box()).spec();
        var id = spec.id();
        shown.put(news.box(), news);
        listed.together(() -> {
            switch (news.state()) {
                case READY -> {
                    listed.maintenance(id, false, "");
                    listed.list(id, "127.0.0.1", 1, Map.of("kind", scenario.kinds().get(spec.kind()), "zone",
                            scenario.zones().get(spec.zone()), "cell", Integer.toString(spec.cell()),
                            "started_ms",
                            Long.toString(news.startedAt() / 1_000)),
                            Math.max(1, (int) Math.round(spec.weight())));
                    listed.says(id, "passing", "");
                }
                case DRAINING -> listed.maintenance(id, true, "drained by its operator");
                default -> {
                    if (news.manner() == News.Manner.TOLD) {
                        listed.off(id);
                    } else {
                        listed.says(id, "critical", "connection refused");
                    }
                }
            }
        });
        if (isOrder(news) || news.state() == BoxState.READY) {
            books.listable(news.box(), time.now(), news.state(), news.startedAt());
        }
    }

    private static boolean isOrder(News news) {
        return news.state() == BoxState.DRAINING || news.state() == BoxState.DOWN
                && news.manner() == News.Manner.TOLD;
    }

    /** The whole list has been written to a dispatcher. */
    public void answered(int dispatcher) {
        shown.forEach((box, news) -> {
            long key = (long) dispatcher << Integer.SIZE | box;
            if ((isOrder(news) || news.state() == BoxState.READY) && told.put(key, news) != news) {
                books.listed(dispatcher, box, time.now(), news.state(), news.startedAt());
            }
        });
    }

    @Override
    public void stall() {
        api.faults().set("silent", "", 0, 0, 0);
        server.hush(true);
    }

    @Override
    public void goOn() {
        api.faults().clear();
        server.hush(false);
    }

    @Override
    public void goDown() {
        server.goDown();
    }

    @Override
    public void comeUp() {
        try {
            server.comeUp();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
