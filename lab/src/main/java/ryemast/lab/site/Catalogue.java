package ryemast.lab.site;

import com.google.gson.JsonPrimitive;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.lab.books.Books;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Discovery;
import ryemast.lab.world.Timeline;

/**
 * Discovery: the list of boxes as it is known, late, with calls that are answered one after the other.
 *
 * <p>A change is listed some time after it happened, by how it becomes known; one that a later change has
 * overtaken is dropped, so that the list never goes back in time. Each listed change is a version of its own,
 * and {@code latest} holds each box once, by the version of its last change: what has changed since a version
 * is the tail of that map, so that a change costs what changed and not what there is.
 *
 * <p>While it stalls, nothing is answered and no news told, and a call that waits for too long ends in a
 * reset; what a call was being worked on is begun anew. While it is down, calls fail at once with 503 and
 * watches have ended in a reset. In both, changes go on becoming known, and are told later.
 */
public final class Catalogue implements Directory {

    /** A watch that has missed more versions than this is given the whole list. */
    static final int KEPT = 1_000;

    private final Scenario scenario;
    private final Discovery discovery;
    private final AddressBook addresses;
    private final Timeline time;
    private final Books books;
    private final Map<Integer, Entry> entries = new HashMap<>();
    private final TreeMap<Long, Entry> latest = new TreeMap<>();
    /** All that was ever listed, for {@link #known}. */
    private final List<Line> lines = new ArrayList<>();
    /** By dispatcher, the last version that it was told. */
    private final Map<Integer, Long> heard = new HashMap<>();
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final Map<Tell, Call> calls = new LinkedHashMap<>();
    private Timeline.Timer serving;
    private boolean flushing;
    private long version;
    private int stalls;
    private int downs;

    /** The boxes may have begun, or begin later. */
    public Catalogue(Scenario scenario, List<Box> boxes, AddressBook addresses, Timeline time, Books books) {
        this.scenario = scenario;
        this.addresses = addresses;
        this.time = time;
        this.books = books;
        discovery = scenario.discovery();
        for (var box : boxes) {
            var entry = new Entry(box.spec());
            entries.put(box.index(), entry);
            if (box.news() != null) {
                list(entry, box.news());
            }
            box.onNews(this::heard);
        }
    }

    /** The present version. */
    public long version() {
        return version;
    }

    /**
     * The whole list as a dispatcher last had it, which is what its configuration holds when it starts; one
     * that has heard nothing yet is given the present one. Nothing is written to the books.
     */
    public String known(int dispatcher) {
        long upTo = heard.getOrDefault(dispatcher, version);
        var then = new LinkedHashMap<Entry, Line>();
        for (var line : lines) {
            if (line.version <= upTo) {
                then.remove(line.entry);
                then.put(line.entry, line);
            }
        }
        return json(dispatcher, upTo, true, then.values());
    }

    /** A call has come in; {@code from} is what version a watch knows. */
    public void call(int dispatcher, boolean watch, long from, Tell tell) {
        if (downs > 0) {
            fail(tell);
            return;
        }
        var call = new Call(dispatcher, watch, from, tell);
        calls.put(tell, call);
        waiting.add(call);
        call.timer = time.at(time.now() + discovery.timeout(), () -> tooLong(call));
        serve();
    }

    /** Its connection has ended, whoever ended it. */
    public void gone(Tell tell) {
        var call = calls.remove(tell);
        if (call == null) {
            return;
        }
        call.timer.cancel();
        boolean first = waiting.peek() == call;
        if (waiting.remove(call) && first) {
            pauseServing();
            serve();
        }
    }

    @Override
    public void stall() {
        stalls++;
        pauseServing();
    }

    @Override
    public void goOn() {
        stalls--;
        serve();
        flush();
    }

    @Override
    public void goDown() {
        downs++;
        pauseServing();
        waiting.clear();
        for (var call : List.copyOf(calls.values())) {
            gone(call.tell);
            call.tell.end(true);
        }
    }

    @Override
    public void comeUp() {
        downs--;
    }

    /** One call, waiting or, if it is a watch, open. */
    private static final class Call {
        private final int dispatcher;
        private final boolean watch;
        private final Tell tell;
        /** The version that it knows. */
        private long knows;
        private long spokeAt;
        private boolean open;
        /** Until it is answered, its time-out; then the next beat. */
        private Timeline.Timer timer;

        Call(int dispatcher, boolean watch, long knows, Tell tell) {
            this.dispatcher = dispatcher;
            this.watch = watch;
            this.knows = knows;
            this.tell = tell;
        }
    }

    /** One box as it is listed; {@code shown} is null until it has been. */
    private final class Entry {
        private final BoxSpec spec;
        private final String head;
        private final String middle;
        private News shown;
        private Line line;
        /** Changes that are still to be listed. */
        private final ArrayDeque<Pending> pending = new ArrayDeque<>();

        Entry(BoxSpec spec) {
            this.spec = spec;
            head = "{\"id\":" + new JsonPrimitive(spec.id()) + ",\"addr\":\"";
            middle = "\",\"zone\":" + new JsonPrimitive(scenario.zones().get(spec.zone()))
                    + ",\"kind\":" + new JsonPrimitive(scenario.kinds().get(spec.kind()))
                    + ",\"cell\":" + spec.cell() + ",\"state\":\"";
        }
    }

    private record Pending(News news, Timeline.Timer timer) {
    }

    /** A box as it was listed from this version on. */
    private record Line(Entry entry, long version, BoxState state, String tail) {
    }

    private void heard(News news) {
        var entry = entries.get(news.box());
        if (news.manner() == News.Manner.KNOWN) {
            list(entry, news);
            return;
        }
        long wait = switch (news.manner()) {
            case STARTED -> discovery.add();
            case TOLD -> discovery.notice();
            default -> discovery.silentNotice();
        };
        entry.pending.add(new Pending(news, time.at(time.now() + wait, () -> due(entry, news))));
    }

    /** Lists a change, and forgets those that happened before it. */
    private void due(Entry entry, News news) {
        for (var pending = entry.pending.poll(); pending.news != news; pending = entry.pending.poll()) {
            pending.timer.cancel();
        }
        list(entry, news);
        if (!flushing) {
            flushing = true;
            time.at(time.now(), () -> {
                flushing = false;
                flush();
            });
        }
    }

    private void list(Entry entry, News news) {
        if (entry.shown != null) {
            latest.remove(entry.line.version);
        }
        entry.shown = news;
        entry.line = new Line(entry, ++version, news.state(), switch (news.state()) {
            case READY -> "Ready";
            case DRAINING -> "Terminating";
            default -> "Gone";
        } + "\",\"weight\":" + entry.spec.weight() + ",\"started_ms\":" + news.startedAt() / 1_000 + "}");
        lines.add(entry.line);
        latest.put(version, entry);
        books.listable(news.box(), time.now(), news.state(), news.startedAt());
    }

    private void serve() {
        if (serving == null && stalls == 0 && downs == 0 && !waiting.isEmpty()) {
            serving = time.at(time.now() + discovery.callTime(), () -> {
                serving = null;
                answer(waiting.poll());
                serve();
            });
        }
    }

    private void pauseServing() {
        if (serving != null) {
            serving.cancel();
            serving = null;
        }
    }

    private void tooLong(Call call) {
        gone(call.tell);
        if (stalls > 0) {
            call.tell.end(true);
        } else {
            fail(call.tell);
        }
    }

    private static void fail(Tell tell) {
        tell.head(503, false);
        tell.line("");
    }

    private void answer(Call call) {
        call.timer.cancel();
        call.tell.head(200, call.watch);
        boolean whole = !call.watch || call.knows <= 0 || call.knows > version || call.knows < version - KEPT;
        if (!call.watch) {
            calls.remove(call.tell);
        }
        say(call, whole);
        if (call.watch) {
            call.open = true;
            beatLater(call);
        }
    }

    private void flush() {
        if (stalls > 0) {
            return;
        }
        for (var call : List.copyOf(calls.values())) {
            if (call.open && call.knows < version) {
                say(call, call.knows < version - KEPT);
            }
        }
    }

    private void say(Call call, boolean whole) {
        Collection<Entry> told = whole ? latest.values() : latest.tailMap(call.knows, false).values();
        long now = time.now();
        for (var entry : told) {
            if (!whole || entry.shown.state() != BoxState.DOWN) {
                books.listed(call.dispatcher, entry.spec.index(), now, entry.shown.state(),
                        entry.shown.startedAt());
            }
        }
        call.knows = version;
        call.spokeAt = now;
        heard.put(call.dispatcher, version);
        call.tell.line(json(call.dispatcher, version, whole, told.stream().map(each -> each.line).toList()));
    }

    private void beatLater(Call call) {
        call.timer = time.at(call.spokeAt + discovery.beat(), () -> {
            if (time.now() - call.spokeAt >= discovery.beat()) {
                call.spokeAt = time.now();
                if (stalls == 0) {
                    call.tell.line("");
                }
            }
            if (calls.containsKey(call.tell)) {
                beatLater(call);
            }
        });
    }

    private String json(int dispatcher, long upTo, boolean whole, Collection<Line> told) {
        var json = new StringBuilder(64 + 160 * told.size());
        json.append("{\"version\":").append(upTo).append(",\"full\":").append(whole)
                .append(",\"servers\":[");
        boolean first = true;
        for (var line : told) {
            if (whole && line.state == BoxState.DOWN) {
                continue;
            }
            var entry = line.entry;
            json.append(first ? "" : ",").append(entry.head)
                    .append(addresses.address(dispatcher, entry.spec.index()))
                    .append(entry.middle).append(line.tail);
            first = false;
        }
        return json.append("]}").toString();
    }
}
