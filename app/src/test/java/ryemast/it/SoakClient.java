package ryemast.it;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** A client of a soak: it sends one request after the other on connections that it keeps. */
final class SoakClient extends Thread {

    /** A request that is answered so late only earns nothing; later it is lost. */
    private static final int LATE_MS = 500;
    /** A connection that ends so soon after a request was written may have been ended before it was read. */
    private static final long CROSSING_MS = 100;
    /** What comes so soon after SIGTERM may be killed unanswered. */
    private static final long EXCUSED_MS = 700;
    private static final long UNREACHABLE_MS = 20;
    private static final AtomicInteger COUNT = new AtomicInteger();

    /** What the clients of a run share. */
    static final class Shared {
        final SoakRules rules;
        final MachineLag lag;
        final Supplier<java.net.InetSocketAddress> address;
        final boolean crowded;
        final AtomicInteger answered = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        volatile boolean over;
        /** Goes up as a process is being killed, and once it is gone: odd in between. */
        volatile int process;
        /** When the present process was told to end, or killed. */
        volatile long endsSince = Long.MAX_VALUE;
        /** The front has noticed that the process ends: no new connections come. */
        volatile boolean frontClosed;

        Shared(SoakRules rules, MachineLag lag, Supplier<java.net.InetSocketAddress> address,
                boolean crowded) {
            this.rules = rules;
            this.lag = lag;
            this.address = address;
            this.crowded = crowded;
        }
    }

    private final Shared shared;
    private final SoakSettings settings;
    private final Random random;
    private Wire wire;
    private boolean fresh;
    /** The process that ran as the connection was opened. */
    private int connectedTo;

    SoakClient(Shared shared, SoakSettings settings, long seed) {
        this.shared = shared;
        this.settings = settings;
        random = new Random(seed);
        setDaemon(true);
    }

    @Override
    public void run() {
        while (!shared.over) {
            try {
                request();
                Thread.sleep(random.nextInt(30));
            } catch (ConnectException e) {
                drop();
                pause();
            } catch (IOException e) {
                drop();
            } catch (InterruptedException e) {
                return;
            }
        }
        drop();
    }

    private static void pause() {
        try {
            Thread.sleep(UNREACHABLE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drop() {
        try {
            if (wire != null) {
                wire.close();
            }
        } catch (IOException e) {
            // It is not used any more.
        }
        wire = null;
    }

    private void connect() throws IOException {
        fresh = wire == null;
        if (fresh && shared.frontClosed) {
            throw new ConnectException("the front gives no new connections");
        }
        if (fresh) {
            // The system still takes connections for a process that is being killed.
            connectedTo = shared.process;
            wire = Wire.to(shared.address.get());
        }
    }

    private void request() throws IOException, InterruptedException {
        var lane = settings.lanes().get(random.nextInt(settings.lanes().size()));
        long remaining = random.nextInt(10) == 0 ? 50 + random.nextInt(100) : lane.deadlineMs();
        var txn = "soak-" + COUNT.incrementAndGet();
        connect();
        shared.rules.submitted(txn, lane.effect(),
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remaining));
        if (!exchange(txn, lane, remaining)) {
            connect();
            exchange(txn, lane, remaining);
        }
    }

    /** False if the connection ended as the request was written to it, which is to be sent once more. */
    private boolean exchange(String txn, SoakSettings.Lane lane, long remaining)
            throws IOException, InterruptedException {
        int process = fresh ? connectedTo : shared.process;
        long sentAt = System.nanoTime();
        long tolerated = shared.lag.lately();
        wire.patience((int) (remaining + LATE_MS + tolerated));
        try {
            wire.send("POST /api/" + txn + " HTTP/1.1", "X-Txn: " + txn + "\r\nX-Lane: " + lane.name()
                    + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + remaining + "\r\nX-Estimate: 30000\r\n",
                    "body");
            if (random.nextInt(25) == 0) {
                Thread.sleep(random.nextInt(60));
                drop();
                shared.rules.left(txn);
                return true;
            }
            return finish(txn, answer(tolerated), process, sentAt);
        } catch (SocketTimeoutException e) {
            if (process == shared.process) {
                shared.rules.breach("lost", txn + ": no answer " + LATE_MS + " ms after its time "
                        + shared.rules.history(txn));
            }
            drop();
            return true;
        } catch (IOException e) {
            return finish(txn, null, process, sentAt);
        }
    }

    /** Waits for longer if the machine has been later since than was allowed for. */
    private Wire.Message answer(long tolerated) throws IOException {
        try {
            return wire.read();
        } catch (SocketTimeoutException e) {
            long more = shared.lag.lately() - tolerated;
            if (more <= 0) {
                throw e;
            }
            wire.patience((int) more);
            return wire.read();
        }
    }

    private boolean finish(String txn, Wire.Message answer, int process, long sentAt) {
        if (answer != null) {
            shared.answered.incrementAndGet();
            shared.served.addAndGet(answer.status().equals("200") ? 1 : 0);
            shared.rules.answered(txn, Integer.parseInt(answer.status()));
            if ("close".equals(answer.headers().get("connection"))) {
                drop();
            }
            return true;
        }
        boolean wasFresh = fresh;
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        drop();
        if (process % 2 == 1) {
            return true;
        }
        if (process != shared.process) {
            boolean excused = sentAt - shared.endsSince < TimeUnit.MILLISECONDS.toNanos(EXCUSED_MS);
            if (!excused) {
                shared.rules.breach("lost", txn + ": killed unanswered, "
                        + TimeUnit.NANOSECONDS.toMillis(sentAt - shared.endsSince) + " ms after SIGTERM");
            }
            return true;
        }
        if (took > CROSSING_MS + shared.lag.lately() || wasFresh && !shared.crowded) {
            shared.rules.breach("lost", txn + ": " + (wasFresh ? "new" : "kept") + " connection ended after "
                    + took + " ms, " + TimeUnit.NANOSECONDS.toMillis(sentAt - shared.endsSince)
                    + " ms after the last signal to end");
            return true;
        }
        return false;
    }
}
