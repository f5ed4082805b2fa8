package ryemast.consul;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.http.HttpMessage;
import ryemast.pacing.BlockingQuery;
import ryemast.pacing.CallFailure;

/**
 * One blocking query, kept up for as long as the program runs: asks when its pace says so, has answers read
 * on another thread, as thousands of entries would hold the loop up, and hands on what was read, in order.
 * Says in the log when answers fail and when they come again. Owned by the loop.
 */
abstract class Watch<T> {

    private static final Logger LOG = Logger.getLogger(Watch.class.getName());

    /** How sure a server is of its answer. */
    record Certainty(long index, long age) {
    }

    final Loop loop;
    final Agents agents;
    private final String what;
    private final BlockingQuery query;
    private final Executor reading;
    private CallFailure said;
    /** Ends the call that is out, or the pause before the next one. */
    private Runnable giveUp = () -> { };
    private boolean ended;

    /** {@code what}: for the log; {@code reading}: where answers are read. */
    Watch(Loop loop, Agents agents, String what, BlockingQuery query, Executor reading) {
        this.loop = loop;
        this.agents = agents;
        this.what = what;
        this.query = query;
        this.reading = reading;
    }

    /** The path and the query, but for the index and the wait. */
    abstract String target();

    /** On the reading thread. */
    abstract T read(Reader text) throws IOException;

    /** On the loop: another state than before, or the first one. */
    abstract void take(T found, Certainty certainty);

    /** On the loop: all is as it was. */
    abstract void unchanged();

    /** On the loop: nothing was to be had. */
    abstract void failed(String why);

    /** What an answer holds; null for one that is a setback. */
    byte[] body(Agents.Result result) {
        return result.good() ? result.answer().body() : null;
    }

    /** Asks no more, and hands on no more. */
    void stop() {
        ended = true;
        giveUp.run();
    }

    /** The server that is asked at present. */
    int server() {
        return query.server();
    }

    /** The next answer is to be the whole present state, at once. */
    void doubt() {
        query.resetIndex();
    }

    void ask() {
        if (ended) {
            return;
        }
        var ask = query.startCall(loop.now());
        var target = target();
        if (ask.index() > 0) {
            target += (target.contains("?") ? "&" : "?") + "index=" + ask.index() + "&wait="
                    + ask.maxWait() / 1000 + "ms";
        }
        giveUp = agents.call(ask.server(), "GET", target, HttpMessage.EMPTY, ask.deadline(), result -> {
            var body = body(result);
            if (body != null) {
                answered(result, body);
            } else {
                setBack(result.setback(), result.why());
            }
        });
    }

    private void answered(Agents.Result result, byte[] body) {
        long index = result.number("x-consul-index", 0);
        if (query.isKnown(index)) {
            query.answered(loop.now(), index);
            recovered();
            unchanged();
            askLater();
            return;
        }
        boolean leader = !"false".equals(result.answer().head().header("x-consul-knownleader"));
        long age = leader ? result.number("x-consul-lastcontact", 0) * 1000 : Long.MAX_VALUE;
        reading.execute(() -> {
            try {
                var found =
                        read(new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8));
                loop.post(() -> {
                    if (ended) {
                        return;
                    }
                    query.answered(loop.now(), index);
                    recovered();
                    try {
                        take(found, new Certainty(Math.max(1, index), age));
                    } finally {
                        // Whatever becomes of this answer, there will be others.
                        askLater();
                    }
                });
            } catch (IOException | RuntimeException e) {
                loop.post(() -> setBack(CallFailure.MALFORMED,
                        "the answer can't be read: " + e.getMessage()));
            }
        });
    }

    private void setBack(CallFailure why, String words) {
        if (ended) {
            return;
        }
        int server = query.server();
        query.failed(loop.now(), why);
        if (said != why) {
            said = why;
            Note.warning(LOG, "{what} can't be had from Consul at {address}: {why}", "what", what,
                    "address", agents.name(server), "why", words);
        } else {
            Note.log(LOG, Level.FINE, null, "{what} still can't be had from Consul at {address}: {why}",
                    "what", what, "address", agents.name(server), "why", words);
        }
        failed(words);
        askLater();
    }

    private void recovered() {
        if (said != null) {
            said = null;
            Note.info(LOG, "{what} comes from Consul at {address} again", "what", what,
                    "address", agents.name(query.server()));
        }
    }

    private void askLater() {
        if (query.nextCallAt() <= loop.now()) {
            ask();
        } else {
            giveUp = loop.at(query.nextCallAt(), this::ask);
        }
    }
}
