package ryemast.it;

import java.io.Closeable;
import java.io.IOException;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A worker of a soak: it mostly serves, and otherwise does what the protocol says that workers may do. */
final class SoakWorker implements Closeable {

    private static final String TAKEN = "HTTP/1.1 202 Accepted";
    private static final int RUN_MS = 60;
    private static final int LATEST_SECOND_ANSWER_MS = 12;
    private static final int MOST_CALLS = 10;
    private static final String LARGE_RESULT = "r".repeat(50_000);

    /** Calls a worker's events in at the dispatcher; false if it did not answer. */
    interface CallBacks {
        boolean call(String body);
    }

    final String id;
    final Peer peer;
    private final SoakRules rules;
    private final CallBacks callBacks;
    private final Supplier<Long> notifiedAt;
    private final Random random;
    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(4, task -> {
        var thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final Set<String> givenUp = ConcurrentHashMap.newKeySet();
    private final ConcurrentHashMap<Wire, String> unanswered = new ConcurrentHashMap<>();
    /** Goes up with each process: what an earlier one had taken is not told of any more. */
    private volatile int process;
    private volatile boolean dead;
    volatile boolean drains;
    volatile boolean misbehaves = true;

    /** {@code notifiedAt}: since when the dispatcher counts as notified that it drains. */
    SoakWorker(String id, SoakRules rules, CallBacks callBacks, Supplier<Long> notifiedAt, long seed)
            throws IOException {
        this.id = id;
        this.rules = rules;
        this.callBacks = callBacks;
        this.notifiedAt = notifiedAt;
        random = new Random(seed);
        peer = new Peer(this::take);
        peer.ended = this::connectionEnded;
    }

    private synchronized int drawn(int below) {
        return random.nextInt(below);
    }

    private void take(Wire wire, Wire.Message message) throws Exception {
        if (message.start().startsWith("DELETE")) {
            var txn = message.start().split("[/ ]")[3];
            givenUp.add(txn);
            rules.ended(id, txn, SoakRules.End.GIVEN_UP);
            wire.send("HTTP/1.1 200 OK", "", "");
            return;
        }
        var txn = message.headers().get("x-txn");
        rules.arrived(id, message, notifiedAt.get());
        if (dead) {
            rules.ended(id, txn, SoakRules.End.ENDED);
            return;
        }
        if (wire.hasEnded()) {
            // Given up before the 202.
            rules.ended(id, txn, SoakRules.End.GIVEN_UP);
            return;
        }
        int choice = misbehaves ? drawn(100) : 99;
        if (drains || choice < 6) {
            rules.ended(id, txn, SoakRules.End.TURNED_AWAY);
            wire.send("HTTP/1.1 503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
        } else if (choice < 11) {
            rules.ended(id, txn, SoakRules.End.ENDED);
            wire.reset();
        } else if (choice < 14) {
            // Silent, until the dispatcher gives it up.
            unanswered.put(wire, txn);
        } else if (choice < 17) {
            wire.send(TAKEN, "", "");
        } else if (choice < 21) {
            wire.send(TAKEN, "", "");
            later(txn, "failed", drawn(RUN_MS));
        } else if (choice < 24) {
            wire.send(TAKEN, "", "");
            rules.ended(id, txn, SoakRules.End.TURNED_AWAY);
            later(txn, "returned", drawn(RUN_MS));
        } else {
            serve(wire, txn, choice);
        }
    }

    private void serve(Wire wire, String txn, int choice) throws Exception {
        wire.send(TAKEN, "", "");
        later(txn, "started", 1);
        later(txn, "done", 2 + drawn(RUN_MS));
        if (choice < 32) {
            // A second answer some milliseconds later; it may be one that says that the job never ran.
            Thread.sleep(drawn(LATEST_SECOND_ANSWER_MS));
            wire.send(choice < 28 ? "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1" : "HTTP/1.1 2", "", "");
        }
    }

    /** The process dies: its connections are reset, its jobs are lost, and nobody listens. */
    void crash() throws IOException {
        dead = true;
        process++;
        rules.crashed(id);
        unanswered.clear();
        peer.crash();
    }

    /** A new process listens at its address. */
    void startAnew() throws IOException {
        dead = false;
        peer.startAnew();
    }

    private void connectionEnded(Wire wire) {
        var txn = unanswered.remove(wire);
        if (txn != null) {
            rules.ended(id, txn, SoakRules.End.GIVEN_UP);
        }
    }

    private static String result(String txn) {
        return txn.startsWith(SoakHostileClients.LARGE_RESULT_PREFIX) ? LARGE_RESULT : "result of " + txn;
    }

    /** Tells of the job's state after so many milliseconds, again and again until it is heard. */
    private void later(String txn, String state, int millis) {
        int taker = process;
        threads.schedule(() -> {
            if (givenUp.contains(txn) || taker != process) {
                return;
            }
            if (!state.equals("started")) {
                rules.ended(id, txn, SoakRules.End.ENDED);
            }
            var body = "{\"id\":\"" + txn + "\",\"from\":\"" + id + "\",\"state\":\"" + state + "\""
                    + (state.equals("done") ? ",\"result\":\"" + result(txn) + "\"" : "") + "}";
            for (int i = 0; i < MOST_CALLS && !callBacks.call(body); i++) {
                Thread.onSpinWait();
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        peer.close();
    }
}
