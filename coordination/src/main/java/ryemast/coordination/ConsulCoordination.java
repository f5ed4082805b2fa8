package ryemast.coordination;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import ryemast.consul.ConsulCalls;
import ryemast.core.Loop;
import ryemast.net.http.HttpMessage;

/**
 * Records in Consul's KV store, for several dispatchers. A step is one transaction of Consul's, which Raft
 * applies as one entry of its log; a version is the key's ModifyIndex, which is that entry's index, so that
 * it grows and never comes back. A certain reading asks with {@code ?consistent}, where the leader first
 * makes sure that it still is one. Watches are blocking queries.
 *
 * <p>What became of a step is told truthfully, however the call ended: {@link Fates}. Bounded: calls that
 * are out, those that wait for one of them to end, and the time of each; what can't be sent in time is told
 * as not done.
 */
public final class ConsulCoordination implements Coordination {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final String PATH = "/v1/kv/";

    /**
     * @param prefix       what keys begin with, before a {@code /}
     * @param limit        in which a step or a reading is answered, in microseconds
     * @param mostOut      calls at once, each with a connection of its own; watches have theirs beside
     * @param mostWaiting  calls that wait for one of these to end; more are not done
     * @param seed         what the jitter of the watches' pauses is drawn from
     */
    public record Settings(String prefix, long limit, int mostOut, int mostWaiting, long seed) {

        /** At a millisecond or two each, eight at once are some thousands of steps a second. */
        public static final int MOST_OUT = 8;
        public static final int MOST_WAITING = 4_096;

        public Settings {
            Step.checkKey(prefix);
        }
    }

    /** {@code begin} is called with the latest time of its end; or {@code refuse}, and nothing was sent. */
    private record Call(long giveUpAt, Consumer<Long> begin, Consumer<String> refuse) {
    }

    private final Loop loop;
    private final ConsulCalls calls;
    private final Settings settings;
    private final KvJson json;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int out;
    private long watches;
    private boolean closed;

    /** {@code calls} is closed with this. */
    public ConsulCoordination(Loop loop, ConsulCalls calls, Settings settings) {
        this.loop = loop;
        this.calls = calls;
        this.settings = settings;
        json = new KvJson(settings.prefix() + "/");
    }

    private String path(String key) {
        return PATH + settings.prefix() + "/" + key;
    }

    @Override
    public void read(String key, boolean certain, Consumer<Reading> then) {
        Step.checkKey(key);
        get(path(key) + (certain ? "?consistent" : ""), certain, then);
    }

    @Override
    public void list(String prefix, boolean certain, Consumer<Reading> then) {
        get(path(prefix) + "?recurse" + (certain ? "&consistent" : ""), certain, then);
    }

    private void get(String target, boolean certain, Consumer<Reading> then) {
        enter(until -> calls.call("GET", target, HttpMessage.EMPTY, true, until, answer -> {
            left();
            if (certain && !answer.leader() && answer.status() != 0) {
                then.accept(new Reading(null, "the agent knows no leader"));
            } else if (answer.status() == NOT_FOUND && answer.index() > 0) {
                then.accept(new Reading(List.of(), null));
            } else if (answer.status() != OK) {
                then.accept(new Reading(null, answer.why()));
            } else {
                calls.reading().execute(() -> {
                    var reading = understood(answer.body());
                    loop.post(() -> told(then, reading));
                });
            }
        }), why -> then.accept(new Reading(null, why)));
    }

    private Reading understood(byte[] body) {
        try {
            return new Reading(json.entries(new InputStreamReader(new ByteArrayInputStream(body),
                    StandardCharsets.UTF_8)), null);
        } catch (IOException | RuntimeException e) {
            return new Reading(null, "the answer can't be read: " + e.getMessage());
        }
    }

    @Override
    public void commit(Step step, Consumer<Result> then) {
        if (step.changes().isEmpty()) {
            throw new IllegalArgumentException("a step of nothing");
        }
        boolean changes = step.changes().stream().anyMatch(each -> each.kind() != Step.Kind.REQUIRE);
        // A transaction that only compares counts as a read for Consul, and must be as certain as a write.
        var target = changes ? "/v1/txn" : "/v1/txn?consistent";
        enter(until -> calls.call("PUT", target, json.transaction(step), !changes, until, answer -> {
            left();
            then.accept(Fates.of(step, answer, json));
        }), why -> then.accept(new Result(Fate.NOT_DONE, List.of(), why)));
    }

    private void enter(Consumer<Long> begin, Consumer<String> refuse) {
        if (waiting.size() >= settings.mostWaiting()) {
            loop.post(() -> told(refuse, settings.mostWaiting() + " calls wait already"));
            return;
        }
        waiting.add(new Call(loop.now() + settings.limit(), begin, refuse));
        goOn();
    }

    private void left() {
        out--;
        // In a step of its own, as the caller of the one that has ended is to be told first.
        loop.post(this::goOn);
    }

    private void goOn() {
        while (!closed && out < settings.mostOut() && !waiting.isEmpty()) {
            var call = waiting.poll();
            // What is sent with hardly any time left would only bring doubt.
            if (call.giveUpAt - loop.now() < settings.limit() / 4) {
                loop.post(() -> told(call.refuse, "the calls before it took too long"));
            } else {
                out++;
                call.begin.accept(call.giveUpAt);
            }
        }
    }

    private <T> void told(Consumer<T> then, T what) {
        if (!closed) {
            then.accept(what);
        }
    }

    @Override
    public Runnable watch(String prefix, Watcher watcher) {
        return calls.follow("what is under " + settings.prefix() + "/" + prefix, path(prefix) + "?recurse",
                settings.seed() + watches++, new Following(watcher));
    }

    /** What was told last is told again after a time without sight, also where nothing has changed. */
    private final class Following implements ConsulCalls.Follower<List<Entry>> {
        private final Watcher watcher;
        private List<Entry> last = List.of();
        private boolean blind;

        Following(Watcher watcher) {
            this.watcher = watcher;
        }

        @Override
        public List<Entry> read(Reader text) throws IOException {
            return json.entries(text);
        }

        @Override
        public void news(List<Entry> found) {
            last = found;
            blind = false;
            watcher.changed(found);
        }

        @Override
        public void same() {
            if (blind) {
                news(last);
            }
        }

        @Override
        public void none(String why) {
            if (!blind) {
                blind = true;
                watcher.blind(why);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        calls.close();
    }
}
