package ryemast.consul;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import ryemast.core.Loop;
import ryemast.net.Transport;
import ryemast.net.http.HttpMessage;
import ryemast.pacing.BlockingQuery;
import ryemast.pacing.PollingPolicy;

/**
 * Calls to Consul and blocking queries for other parts of the program, over the same client as the
 * catalogue's. Guarantees that a call ends once, no later than its limit, with an answer or with the truth
 * about whether it may have reached an agent. An agent that fails is left for the next in order, and the
 * first one is tried again after a while. A call that only reads goes on to the next agent within its limit;
 * one that changes something does so only if it can't have reached the one before. Owned by the loop.
 */
public final class ConsulCalls implements AutoCloseable {

    private static final int NOT_FOUND = 404;
    private static final int LEAST_ERROR = 500;
    private static final byte[] NOTHING = "[]".getBytes(StandardCharsets.UTF_8);

    /**
     * What came of a call.
     *
     * @param status  0: there is no answer
     * @param body    empty where there is none
     * @param index   Consul's index of the state that it tells of; 0: it names none
     * @param leader  the agent knew a leader as it answered
     * @param sent    it may have reached an agent
     * @param twice   it may have reached an agent twice, so that the answer may be to the second time
     * @param why     in words where the status is not 200
     */
    public record Answer(int status, byte[] body, long index, boolean leader, boolean sent, boolean twice,
            String why) {
    }

    /**
     * Hears what a blocking query brings.
     *
     * @param <T>  what an answer is read into
     */
    public interface Follower<T> {

        /** On another thread than the loop; an answer of 404 is read as an empty array. */
        T read(Reader text) throws IOException;

        /** On the loop, as is all that follows: another state than before, or the first one. */
        void news(T found);

        /** All is as it was. */
        void same();

        /** Nothing was to be had. */
        void none(String why);
    }

    private final Loop loop;
    private final Agents agents;
    private final int count;
    private final PollingPolicy pace;
    private final ExecutorService reading = Executors.newSingleThreadExecutor(work -> {
        var thread = new Thread(work, "consul records");
        thread.setDaemon(true);
        return thread;
    });
    private int asked;
    private long awaySince;
    private boolean closed;

    /** An {@link IOException} says which file of the settings can't be used. */
    public ConsulCalls(Loop loop, Transport transport, ConsulSettings.Reach reach, PollingPolicy pace)
            throws IOException {
        this.loop = loop;
        this.pace = pace;
        agents = new Agents(loop, transport, reach);
        count = reach.agents().size();
    }

    /** Goes with each call from now on; empty: none. */
    public void token(String token) {
        agents.token(token);
    }

    /** Where long answers are to be read, as they would hold the loop up. */
    public Executor reading() {
        return work -> {
            if (!closed) {
                reading.execute(work);
            }
        };
    }

    /**
     * {@code readsOnly}: it may be made anew wherever it failed. The end is told on the loop, in a later
     * step; never after {@link #close}.
     */
    public void call(String method, String target, byte[] body, boolean readsOnly, long giveUpAt,
            Consumer<Answer> then) {
        if (asked > 0 && loop.now() >= awaySince + pace.failbackAfter()) {
            asked = 0;
        }
        attempt(new Wanted(method, target, body, readsOnly, giveUpAt, then), asked, count);
    }

    private record Wanted(String method, String target, byte[] body, boolean readsOnly, long giveUpAt,
            Consumer<Answer> then) {
    }

    /** {@code left}: so many agents are there to ask, this one among them. */
    private void attempt(Wanted wanted, int agent, int left) {
        long now = loop.now();
        // A read shares its time out, as an agent that hangs must leave some for the next one.
        long until = wanted.readsOnly ? now + (wanted.giveUpAt - now) / left : wanted.giveUpAt;
        agents.call(agent, wanted.method, wanted.target, wanted.body, until, result -> {
            var answer = answer(result);
            boolean failed = answer.status == 0 || answer.status >= LEAST_ERROR;
            int next = (agent + 1) % count;
            if (failed && agent == asked) {
                awaySince = asked == 0 ? loop.now() : awaySince;
                asked = next;
            }
            boolean again = failed && left > 1 && loop.now() < wanted.giveUpAt
                    && (wanted.readsOnly || !answer.sent);
            if (again) {
                attempt(wanted, next, left - 1);
            } else {
                wanted.then.accept(answer);
            }
        });
    }

    private static Answer answer(Agents.Result result) {
        var message = result.answer();
        boolean twice = result.sent() > 1;
        return message == null
                ? new Answer(0, HttpMessage.EMPTY, 0, false, result.sent() > 0, twice, result.why())
                : new Answer(message.head().status(), message.body(), index(result), leader(result), true,
                        twice, result.why());
    }

    private static long index(Agents.Result result) {
        return result.number("x-consul-index", 0);
    }

    private static boolean leader(Agents.Result result) {
        return !"false".equals(result.answer().head().header("x-consul-knownleader"));
    }

    /**
     * Keeps a blocking query up until the returned step ends it. {@code what}: for the log; {@code seed}:
     * what the jitter of its pauses is drawn from.
     */
    public <T> Runnable follow(String what, String target, long seed, Follower<T> follower) {
        var watch = new Following<>(what, target, seed, follower);
        loop.post(watch::ask);
        return watch::stop;
    }

    @Override
    public void close() {
        closed = true;
        agents.close();
        reading.shutdownNow();
    }

    private final class Following<T> extends Watch<T> {
        private final String target;
        private final Follower<T> follower;

        Following(String what, String target, long seed, Follower<T> follower) {
            super(ConsulCalls.this.loop, ConsulCalls.this.agents, what,
                    new BlockingQuery(pace, count, seed), reading());
            this.target = target;
            this.follower = follower;
        }

        @Override
        String target() {
            return target;
        }

        /** Nothing is a state, too, if it is Consul that says so, with the index of that state. */
        @Override
        byte[] body(Agents.Result result) {
            boolean none = result.answer() != null && result.answer().head().status() == NOT_FOUND
                    && index(result) > 0;
            return none ? NOTHING : super.body(result);
        }

        @Override
        T read(Reader text) throws IOException {
            return follower.read(text);
        }

        @Override
        void take(T found, Certainty certainty) {
            follower.news(found);
        }

        @Override
        void unchanged() {
            follower.same();
        }

        @Override
        void failed(String why) {
            follower.none(why);
        }
    }
}
