package ryemast.it;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Discovery of a soak, with its own troubles, and since when a dispatcher counts as notified of a drain: once
 * it was written to it, or 6 s after discovery had it and could be reached.
 */
final class SoakDiscovery implements Closeable {

    /** What becomes of calls. */
    enum Mode { ANSWERS, CROWDED, DOWN }

    private static final long NOTIFIED_AFTER = TimeUnit.SECONDS.toNanos(6);
    private static final long NOTIFIED_AFTER_MOVE = TimeUnit.SECONDS.toNanos(4);
    private static final long BEAT_MS = 500;
    private static final long LINE_MS = 1_500;

    /** That a worker drains or is gone, until it is back if it comes back. */
    private static final class Drain {
        private final long at;
        private final boolean gone;
        private long notifiedAt;
        /** When it came back, and since when the dispatcher counts as notified of that. */
        private long backAt = Long.MAX_VALUE;
        private long backNotifiedAt = Long.MAX_VALUE;
        /** Whether the dispatcher was told of it, and not merely counts as notified. */
        private boolean written;

        Drain(long at, boolean gone) {
            this.at = at;
            this.gone = gone;
            notifiedAt = at + NOTIFIED_AFTER;
        }

        private boolean isBack() {
            return backAt != Long.MAX_VALUE;
        }
    }

    /** A process may go by the list that it was started with for so long, whatever its age. */
    private static final long FIRST_LIST = TimeUnit.SECONDS.toNanos(3);

    /** Two addresses of the one discovery, so that a dispatcher can be moved from one to the other. */
    private final List<Peer> peers = new ArrayList<>();
    private final Map<String, String> addresses = new TreeMap<>();
    private final Map<String, Drain> drains = new TreeMap<>();
    private final List<Wire> watches = new ArrayList<>();
    private Mode mode = Mode.ANSWERS;
    private long downSince = Long.MAX_VALUE;
    private long silentSince = Long.MAX_VALUE;
    private int version = 1;
    private int configured;

    SoakDiscovery() throws IOException {
        peers.add(new Peer(this::answer));
        peers.add(new Peer(this::answer));
    }

    /** Where the dispatcher is to look for it now. */
    synchronized String address() {
        return peers.get(configured).address();
    }

    synchronized void add(SoakWorker worker) {
        addresses.put(worker.id, worker.peer.address());
    }

    private String list() {
        return list(false);
    }

    /** The list as the dispatcher last had it. */
    synchronized String known() {
        return list(true);
    }

    private String list(boolean known) {
        var servers = new ArrayList<String>();
        addresses.forEach((id, address) -> {
            var drain = drains.get(id);
            boolean told = drain != null && (known ? drain.written : !drain.isBack());
            if (!told || !drain.gone) {
                servers.add(entry(id, address, told));
            }
        });
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", servers) + "]}";
    }

    private static String entry(String id, String address, boolean drains) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"m\","
                + "\"cell\":0,\"state\":\"" + (drains ? "Terminating" : "Ready")
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Since when the dispatcher counts as notified that the worker drains; the largest number for never. */
    synchronized long notifiedAt(String worker) {
        var drain = drains.get(worker);
        boolean over = drain == null || System.nanoTime() >= drain.backNotifiedAt;
        return over ? Long.MAX_VALUE : drain.notifiedAt;
    }

    /** The worker drains from now on; watches that are open and not silent are told. */
    synchronized void drain(SoakWorker worker) {
        worker.drains = true;
        changes(worker, false);
    }

    /** The worker's process has died; watches are told likewise. */
    synchronized void gone(SoakWorker worker) {
        changes(worker, true);
    }

    /** A new process of the worker has started. */
    synchronized void back(SoakWorker worker) {
        var drain = drains.get(worker.id);
        drain.backAt = System.nanoTime();
        drain.backNotifiedAt = drain.backAt + NOTIFIED_AFTER;
        version++;
        if (silentSince == Long.MAX_VALUE && mode == Mode.ANSWERS) {
            broadcast(list());
        }
    }

    private void changes(SoakWorker worker, boolean gone) {
        var drain = new Drain(System.nanoTime(), gone);
        if (silentSince != Long.MAX_VALUE && !watches.isEmpty()) {
            drain.notifiedAt = Math.max(drain.at, Math.min(drain.notifiedAt, silentSince + NOTIFIED_AFTER));
        }
        drains.put(worker.id, drain);
        version++;
        if (silentSince == Long.MAX_VALUE && mode == Mode.ANSWERS) {
            broadcast(list());
        }
    }

    synchronized void mode(Mode next) throws IOException {
        long now = System.nanoTime();
        if (mode == Mode.DOWN && next != Mode.DOWN) {
            // What began while nobody could reach it counts from here.
            long since = downSince;
            drains.values().stream().filter(each -> each.at >= since)
                    .forEach(each -> each.notifiedAt = now + NOTIFIED_AFTER);
            drains.values().stream().filter(each -> each.isBack() && each.backAt >= since)
                    .forEach(each -> each.backNotifiedAt = now + NOTIFIED_AFTER);
            downSince = Long.MAX_VALUE;
        }
        if (next == Mode.DOWN && mode != Mode.DOWN) {
            downSince = now;
            for (var each : watches) {
                each.close();
            }
            watches.clear();
        }
        mode = next;
    }

    /** All open watches fall silent; new ones do not. */
    synchronized void silence() {
        silentSince = System.nanoTime();
    }

    /** The dispatcher is about to be told to go to the other address. */
    synchronized void move() {
        configured = 1 - configured;
    }

    /** The dispatcher was told so. */
    synchronized void moved() {
        long latest = System.nanoTime() + NOTIFIED_AFTER_MOVE;
        drains.values().forEach(each -> each.notifiedAt = Math.min(each.notifiedAt, latest));
        drains.values().stream().filter(Drain::isBack)
                .forEach(each -> each.backNotifiedAt = Math.min(each.backNotifiedAt, latest));
    }

    /** All open watches are reset. */
    synchronized void resetWatches() throws IOException {
        for (var each : watches) {
            each.reset();
        }
        watches.clear();
        silentSince = Long.MAX_VALUE;
    }

    /** The former process is gone, and another one is about to start, with the list that it had. */
    synchronized void restarts() {
        forgetWatches();
    }

    /** The new process serves. */
    synchronized void restarted() {
        long earliest = System.nanoTime() + FIRST_LIST;
        drains.values().stream().filter(each -> !each.written)
                .forEach(each -> each.notifiedAt = Math.max(each.notifiedAt, earliest));
    }

    private void forgetWatches() {
        watches.clear();
        silentSince = Long.MAX_VALUE;
    }

    private void broadcast(String line) {
        var notified = false;
        for (var each : watches) {
            try {
                Platform.tell(each, line);
                notified = true;
            } catch (IOException e) {
                // That watch has ended.
            }
        }
        if (notified) {
            notified();
        }
    }

    private void notified() {
        long now = System.nanoTime();
        drains.values().removeIf(Drain::isBack);
        for (var each : drains.values()) {
            each.notifiedAt = Math.min(each.notifiedAt, now);
            each.written = true;
        }
    }

    private void answer(Wire wire, Wire.Message message) throws Exception {
        var now = mode();
        if (now == Mode.DOWN) {
            wire.reset();
            return;
        }
        if (now == Mode.CROWDED) {
            Thread.sleep(message.at() % 2 == 0 ? LINE_MS : 0);
            wire.send("HTTP/1.1 503 Service Unavailable", "", "");
            return;
        }
        synchronized (this) {
            // Whoever opens a watch anew has given the silent ones up.
            forgetWatches();
            watches.add(wire);
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Platform.tell(wire, list());
            notified();
        }
        while (isOpen(wire)) {
            Thread.sleep(BEAT_MS);
            beat(wire);
        }
    }

    private synchronized Mode mode() {
        return mode;
    }

    private synchronized boolean isOpen(Wire wire) {
        return watches.contains(wire);
    }

    private synchronized void beat(Wire wire) throws IOException {
        if (silentSince == Long.MAX_VALUE && watches.contains(wire)) {
            Platform.tell(wire, "");
        }
    }

    @Override
    public void close() throws IOException {
        for (var each : peers) {
            each.close();
        }
    }
}
