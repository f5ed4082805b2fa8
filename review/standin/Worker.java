package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A worker as the protocol page has it: takes a job with 202, tells its start and its end by call-back, each tried
 * until it is answered, ten times at most, and drops a job that has not begun at DELETE.
 */
final class Worker {

    /** A job that reached a worker. */
    static final class Visit {
        final String worker;
        final String txn;
        final String path;
        final long at;
        volatile long ranAt = -1;
        /** When it had ended, or the word that it was given up had come; unknown as yet: never. */
        volatile long overAt = Long.MAX_VALUE;
        private final Worker to;

        Visit(Worker to, String txn, String path, long at) {
            this.to = to;
            worker = to.id;
            this.txn = txn;
            this.path = path;
            this.at = at;
        }

        boolean at(Worker other) {
            return to == other;
        }
    }

    /** Of all workers together: which keys of guarded jobs they have seen, for as long as the settings say. */
    static final class Keys {
        final long windowMs;
        private final Map<String, Long> seen = new ConcurrentHashMap<>();

        Keys(long windowMs) {
            this.windowMs = windowMs;
        }

        /** Whether a repeat of this key is to be discarded now. */
        synchronized boolean repeats(String key, long now) {
            var first = seen.get(key);
            if (first != null && now - first < windowMs) {
                return true;
            }
            seen.put(key, now);
            return false;
        }
    }

    final String id;
    final int port;
    /** Of the settings' models. */
    volatile String kind = "quick-2c";
    private final Gate gate;
    private final Record record;
    private final long workMs;
    private final int backTo;
    /** All visits to all workers, in their order. */
    private final List<Visit> visits;
    private final Set<String> dropped = ConcurrentHashMap.newKeySet();
    /** Null: no class of the test is guarded. */
    private final Keys keys;
    /** Called when half of a job's work is done and its effect is there. */
    volatile Runnable onEffect = () -> { };
    /** Told of each job as it comes, before it is answered. */
    volatile Consumer<Worker> onVisit = worker -> { };
    /** For so long a job that comes now waits in the queue behind others. */
    volatile long queueMs;
    /** Which jobs it hands back unstarted, after it has taken them. */
    volatile Predicate<Visit> handsBack = visit -> false;
    /** Whether it keeps no connection that rests. */
    volatile boolean keepsNone;

    Worker(String id, Record record, long workMs, int backTo, List<Visit> visits, Keys keys) throws IOException {
        this.id = id;
        this.record = record;
        this.workMs = workMs;
        this.backTo = backTo;
        this.visits = visits;
        this.keys = keys;
        gate = new Gate(this::take);
        port = gate.port;
    }

    /** Its door. */
    Gate gate() {
        return gate;
    }

    private boolean take(Http.Message request, OutputStream out) throws Exception {
        var none = new byte[0];
        if (request.first().equals("DELETE")) {
            var txn = request.second().substring(request.second().lastIndexOf('/') + 1);
            dropped.add(txn);
            long now = record.now();
            visits.stream().filter(each -> each.at(this) && each.txn.equals(txn))
                    .forEach(each -> each.overAt = Math.min(each.overAt, now));
            record.add(id, "is told to drop " + txn);
            Http.answer(out, 200, "text/plain", none);
            return true;
        }
        var txn = request.header("X-Txn");
        if (!request.first().equals("POST") || txn == null) {
            Http.answer(out, 404, "text/plain", none);
            return true;
        }
        var visit = new Visit(this, txn, request.second(), record.now());
        visits.add(visit);
        record.add(id, "gets " + txn + " " + request.second() + ", remaining " + request.header("X-Remaining-Ms"));
        onVisit.accept(this);
        long queued = queueMs;
        Http.daemon(() -> run(visit, queued));
        if (keepsNone) {
            out.write("HTTP/1.1 202 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return false;
        }
        Http.answer(out, 202, "text/plain", none);
        return true;
    }

    private void run(Visit visit, long queued) {
        try {
            for (long until = record.now() + queued; record.now() < until && !dropped.contains(visit.txn);) {
                Thread.sleep(10);
            }
            if (dropped.contains(visit.txn)) {
                visit.overAt = record.now();
                record.add(id, "drops " + visit.txn + ", which has not begun");
                return;
            }
            if (handsBack.test(visit)) {
                visit.overAt = record.now();
                tell(visit, "\"state\":\"returned\"");
                return;
            }
            tell(visit, "\"state\":\"started\"");
            var key = visit.path.substring(visit.path.lastIndexOf('/') + 1);
            if (dropped.contains(visit.txn)) {
                visit.overAt = record.now();
                record.add(id, "drops " + visit.txn + ", which has not run");
                return;
            }
            if (keys != null && keys.repeats(key, record.now())) {
                record.add(id, "discards the repeat of " + key + " (" + visit.txn + ")");
            } else {
                Thread.sleep(workMs / 2);
                visit.ranAt = record.now();
                record.add(id, "RUNS " + key + " (" + visit.txn + "): its effect is there");
                onEffect.run();
                Thread.sleep(workMs / 2);
            }
            visit.overAt = record.now();
            tell(visit, "\"state\":\"done\",\"result\":\"made-of-" + key + "-by-" + visit.txn + "\"");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tell(Visit visit, String what) throws InterruptedException {
        var body = "{\"id\":\"" + visit.txn + "\",\"from\":\"" + id + "\"," + what + "}";
        for (int i = 0; i < 10; i++) {
            try {
                int status = Integer.parseInt(Http.call(backTo, "POST", "/v1/job-events", Map.of(),
                        body.getBytes(StandardCharsets.UTF_8), 2_000).second());
                record.add(id, "tells " + body + " -> " + status);
                if (status == 200 || status == 204) {
                    return;
                }
            } catch (IOException | RuntimeException e) {
                record.add(id, "could not tell " + body + ": " + e);
            }
            Thread.sleep(300);
        }
    }

    static List<Visit> visits() {
        return new CopyOnWriteArrayList<>();
    }
}
