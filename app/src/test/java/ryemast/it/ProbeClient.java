package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * A well-behaved client that sends one job after the other while others misbehave. Both workers of the
 * platform serve each job at once.
 */
final class ProbeClient implements Closeable {

    /** Each answer must come so soon. */
    private static final int ANSWERED_WITHIN_MS = 1_000;
    /**
     * What jobs say is left: the whole of their class's deadline. One with less says that it was sent long
     * ago, and where an answer is worth nothing any more it may be refused at once.
     */
    private static final int REMAINING_MS = 5_000;
    /** What the operators allow a dispatcher. */
    private static final long MEMORY_LIMIT_MB = 192;
    private static final int ANSWERS_BEFORE = 20;
    private static final int PAUSE_MS = 20;
    /** A worker tells the end of a job so many times at most. */
    private static final int MOST_CALLS = 10;

    /** The result of a job whose name begins so is nearly as large as a worker may tell. */
    static final String LARGE_RESULT_PREFIX = "large-";
    private static final String LARGE_RESULT = "r".repeat(60_000);

    private final Platform platform;
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final Queue<Long> answerTimes = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run);
    private volatile boolean over;

    ProbeClient(Platform platform) {
        this.platform = platform;
        for (var worker : List.of(platform.one, platform.two)) {
            worker.script = (wire, message) -> {
                wire.send("HTTP/1.1 202 Accepted", "", "");
                if (message.start().startsWith("POST")) {
                    finish(worker, message.headers().get("x-txn"));
                }
            };
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Tells the end of the job until that is answered, as a worker does. */
    private void finish(Peer worker, String txn) throws InterruptedException {
        for (int tries = 0; tries < MOST_CALLS && !calledBack(worker, txn); tries++) {
            Thread.sleep(PAUSE_MS);
        }
    }

    private boolean calledBack(Peer worker, String txn) {
        try (var wire = platform.client()) {
            var body = "{\"id\":\"" + txn + "\",\"from\":\"" + (worker == platform.one ? "s-1" : "s-2")
                    + "\",\"state\":\"done\",\"result\":\""
                    + (txn.startsWith(LARGE_RESULT_PREFIX) ? LARGE_RESULT : "x") + "\"}";
            var answer = wire.send("POST /v1/job-events HTTP/1.1", "", body).read();
            return answer != null && answer.status().equals("200");
        } catch (IOException e) {
            // The program has ended the connection, or itself.
            return false;
        }
    }

    private void run() {
        while (!over) {
            try (var wire = platform.client()) {
                wire.patience(ANSWERED_WITHIN_MS);
                while (!over) {
                    send(wire);
                    Thread.sleep(PAUSE_MS);
                }
            } catch (SocketTimeoutException e) {
                failures.add("no answer in " + ANSWERED_WITHIN_MS + " ms");
            } catch (IOException e) {
                failures.add(e.toString());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void send(Wire wire) throws IOException {
        long sentAt = System.nanoTime();
        platform.job(wire, "load", REMAINING_MS);
        var answer = wire.read();
        if (answer == null) {
            throw new IOException("the connection was ended");
        }
        answerTimes.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
        if (!answer.status().equals("200")) {
            failures.add("answered " + answer.status());
        }
    }

    /** What others do while the probe's jobs are to be served; the text says what was done. */
    interface Disturbance {
        String play() throws Exception;
    }

    /**
     * Plays a disturbance: the program must not end nor pass the memory limit, and each of the probe's jobs
     * must be served in time, meanwhile and after it.
     */
    static void assertServedBeside(Platform platform, Disturbance disturbance) throws Exception {
        try (var probe = new ProbeClient(platform)) {
            Platform.until(() -> probe.answerTimes.size() >= ANSWERS_BEFORE);
            var played = disturbance.play();
            int before = probe.answerTimes.size();
            Platform.until(() -> probe.answerTimes.size() >= before + ANSWERS_BEFORE
                    || !platform.program().isAlive());
            var summary = played + "; " + probe.summary();
            assertTrue(platform.program().isAlive(),
                    () -> summary + "; the process ended with " + platform.program().exitValue());
            long peak = platform.kernel("VmHWM") / 1024;
            System.out.println(summary + "; peak memory " + peak + " MB");
            assertTrue(peak < MEMORY_LIMIT_MB, peak + " MB");
            assertEquals(List.of(), List.copyOf(new LinkedHashSet<>(probe.failures)),
                    () -> summary + "\n" + String.join("\n", platform.log));
        }
    }

    /** How long the answers took, for a report. */
    private String summary() {
        var sorted = new ArrayList<>(answerTimes);
        sorted.sort(null);
        return sorted.isEmpty() ? "no answer" : sorted.size() + " answers, median "
                + sorted.get(sorted.size() / 2) + " ms, longest " + sorted.get(sorted.size() - 1) + " ms";
    }

    @Override
    public void close() throws IOException {
        over = true;
        thread.interrupt();
    }
}
