package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.it.Platform.until;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls of the packaged program that fail for a moment, and a wall clock that is stepped under it. */
@Timeout(60)
class FaultsIT {

    /** By so much a worker may be told more than is left to the client. */
    private static final int REMAINING_SLACK_MS = 150;

    /** After it, nothing is sent any more to a worker that is notified to drain. */
    private static final long DRAIN_GRACE_MS = 550;
    private static final int JOBS_AFTER_A_LIST = 20;

    private static final int HOUR_S = 3_600;
    /** The network library slept for a second after a failed accept. */
    private static final long SOON_MS = 700;

    private static void served(Platform platform, Wire client, String lane) throws Exception {
        var txn = platform.job(client, lane, 5_000);
        platform.done(txn, "result of " + txn);
        var answer = client.read();
        assertEquals("200", answer.status());
        assertEquals("result of " + txn, answer.body());
    }

    @ParameterizedTest
    @ValueSource(ints = {Faults.ECONNABORTED, Faults.EMFILE, Faults.ENFILE, Faults.ENOBUFS})
    void aNewcomerIsAnsweredSoonThoughAcceptFailed(int errno) throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults)) {
            faults.fail(Faults.Call.ACCEPT, errno, 3);
            long waited = platform.waitedMillis();
            long began = System.nanoTime();
            assertEquals("200", platform.health());
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)
                    - (platform.waitedMillis() - waited);
            assertEquals(0, faults.left(Faults.Call.ACCEPT));
            assertTrue(took < SOON_MS, took + " ms");
        }
    }

    /** What never came to a worker has not run: it may go out again, also where it must run once. */
    @ParameterizedTest
    @ValueSource(ints = {Faults.EADDRNOTAVAIL, Faults.ENETUNREACH, Faults.ENOBUFS})
    void aJobIsServedThoughTheFirstConnectionFailed(int errno) throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults);
                var client = platform.client()) {
            faults.fail(Faults.Call.CONNECT, errno, 1);
            served(platform, client, "sticker");
            assertEquals(0, faults.left(Faults.Call.CONNECT));
        }
    }

    /** NioProcessor takes an interrupted read for the end of input, and ended the connection. */
    @ParameterizedTest
    @EnumSource(value = Faults.Call.class, names = {"READ", "WRITE"})
    void anInterruptedCallEndsNoConnection(Faults.Call call) throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults);
                var client = platform.client()) {
            faults.failByChance(call, Faults.EINTR, 2);
            for (int i = 0; i < 20; i++) {
                var txn = platform.job(client, "sticker", 5_000);
                platform.done(txn, "x");
                assertEquals("200", client.read().status());
                assertEquals(1, Platform.sends(platform.one, txn) + Platform.sends(platform.two, txn));
            }
            assertEquals(1, platform.discovery.count("GET"), "the watch was opened anew");
        }
    }

    /**
     * MINA slept for a second after each, an error of the JVM ended the program, and after an interrupted
     * wake-up the JDK made none any more.
     */
    @ParameterizedTest
    @ValueSource(ints = {Faults.EIO, Faults.EINTR})
    void aSelectorThatCouldNotBeWokenCostsNoSecond(int error) throws Exception {
        assertQuickThough(Faults.Call.WAKE_WRITE, error);
    }

    @Test
    void aSelectorThatCouldNotBeReadCostsNoSecond() throws Exception {
        assertQuickThough(Faults.Call.WAKE_READ, Faults.EIO);
    }

    /** MINA's connector slept for a second, and new connections failed after 250 ms each. */
    @ParameterizedTest
    @EnumSource(value = Faults.Call.class, names = {"WAKE_READ", "WAKE_WRITE"})
    void newConnectionsComeUpThoughSelectorsFail(Faults.Call call) throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults)) {
            var clients = new ArrayList<Wire>();
            for (int i = 0; i < 20; i++) {
                clients.add(platform.client());
            }
            faults.failByChance(call, call == Faults.Call.WAKE_READ ? Faults.EIO : Faults.EINTR, 4);
            var txns = new ArrayList<String>();
            for (var each : clients) {
                txns.add(platform.job(each, "sticker", 5_000));
            }
            for (var each : txns) {
                platform.done(each, "x");
            }
            for (var each : clients) {
                assertEquals("200", each.read().status());
                each.close();
            }
            assertTrue(platform.log.stream().noneMatch(line -> line.contains("nothing was written")),
                    platform.log::toString);
        }
    }

    private static void assertQuickThough(Faults.Call call, int error) throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults);
                var client = platform.client()) {
            served(platform, client, "load");
            faults.failByChance(call, error, 4);
            for (int i = 0; i < 20; i++) {
                long waited = platform.waitedMillis();
                long began = System.nanoTime();
                served(platform, client, "sticker");
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)
                        - (platform.waitedMillis() - waited);
                assertTrue(took < SOON_MS, took + " ms");
            }
        }
    }

    /** An accepted connection whose options could not be set was never closed; MINA slept for a second. */
    @Test
    void aConnectionWhoseOptionsCanNeverBeSetIsServed() throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults)) {
            faults.failByChance(Faults.Call.OPTION, Faults.EINVAL, 1);
            long began = System.nanoTime();
            assertEquals("200", platform.health());
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
            assertTrue(took < SOON_MS, took + " ms");
        }
    }

    /** The JDK drops the error of epoll_ctl: the selector then never tells of that connection. */
    @Test
    void aConnectionThatCouldNotBeWatchedIsAnswered() throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults)) {
            faults.fail(Faults.Call.WATCH, Faults.ENOMEM, 1);
            try (var wire = platform.client().send("GET /_health HTTP/1.1\r\n\r\n")) {
                wire.patience(3_000);
                assertEquals("200", wire.read().status());
            }
        }
    }

    /** Guards the time that a worker is told: what waits unread counts from when it is read. */
    @Test
    void aConnectionThatIsNotWatchedForLongIsReadInTime() throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults)) {
            faults.failByChance(Faults.Call.WATCH, Faults.ENOSPC, 1);
            try (var wire = platform.client().send("GET /_health HTTP/1.1\r\n\r\n")) {
                wire.patience(REMAINING_SLACK_MS);
                assertEquals("200", wire.read().status());
            }
        }
    }

    /** What discovery has written counts as notified; here its read fails, and so do the calls after it. */
    @Tag("known-red")
    @Test
    void aListThatWasWrittenAndLostWithItsConnectionCountsAsNotified() throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults);
                var client = platform.client()) {
            var writtenAt = new AtomicLong();
            platform.discovery.script = (wire, message) -> {
                if (writtenAt.compareAndSet(0, System.nanoTime())) {
                    faults.fail(Faults.Call.PEER_READ, Faults.ETIMEDOUT, 1);
                    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    Platform.tell(wire, platform.listed("Terminating Ready"));
                } else {
                    wire.send("HTTP/1.1 503 Service Unavailable", "", "");
                }
            };
            for (var wire : platform.discovery.wires) {
                wire.close();
            }
            until(() -> writtenAt.get() != 0);
            TimeUnit.NANOSECONDS.sleep(writtenAt.get() + TimeUnit.MILLISECONDS.toNanos(DRAIN_GRACE_MS)
                    - System.nanoTime());
            for (int i = 0; i < JOBS_AFTER_A_LIST; i++) {
                served(platform, client, "load");
            }
            assertEquals(0, platform.one.count("POST"));
        }
    }

    /** The worker runs the job, and the answer that says so is lost on this side alone. */
    @Test
    void whereAnAnswerCouldNotBeReadTheWorkerIsAskedToDropTheJobBeforeItGoesOutAgain() throws Exception {
        try (var faults = new Faults(); var platform = Platform.withoutCopies(faults);
                var client = platform.client()) {
            var events = new ConcurrentLinkedQueue<String>();
            var lost = new AtomicInteger();
            for (var worker : List.of(platform.one, platform.two)) {
                worker.script = (wire, message) -> {
                    var name = worker == platform.one ? "one" : "two";
                    events.add(message.start().split(" ")[0] + " " + name);
                    if (message.start().startsWith("POST") && lost.getAndIncrement() == 0) {
                        faults.fail(Faults.Call.PEER_READ, Faults.ECONNRESET, 1);
                    }
                    wire.send("HTTP/1.1 202 Accepted", "", "");
                };
            }
            var txn = platform.job(client, "load", 5_000);
            until(() -> Platform.sends(platform.one, txn) + Platform.sends(platform.two, txn) == 2);
            var first = events.remove().split(" ")[1];
            assertEquals("DELETE " + first, events.remove(), events::toString);
        }
    }

    /** Jobs and the watch on the list go on as if nothing had been: no span is measured on the wall clock. */
    @Test
    void aWallClockThatIsSteppedChangesNothing() throws Exception {
        try (var faults = new Faults(); var platform = Platform.with(faults);
                var client = platform.client()) {
            served(platform, client, "load");
            long calls = platform.discovery.count("GET");
            for (int seconds : new int[] {HOUR_S, -HOUR_S, 5, -5, 0}) {
                // What must run once is never taken back, however long it waits for its start.
                var open = platform.job(client, "sticker", 5_000);
                var holder = platform.holder(open);
                faults.wallIsAheadBy(seconds);
                // The library looks once a second.
                Thread.sleep(1_200);
                assertEquals("200", platform.health());
                platform.callBack(open, holder, "done", ",\"result\":\"late\"");
                assertEquals("200", client.read().status());
                served(platform, client, "sticker");
            }
            assertEquals(calls, platform.discovery.count("GET"), "the watch was opened anew");
            assertTrue(platform.log.stream().noneMatch(line -> line.contains("table failed")),
                    platform.log::toString);
        }
    }
}
