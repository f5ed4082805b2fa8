package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.it.Platform.cancels;
import static ryemast.it.Platform.sends;
import static ryemast.it.Platform.until;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The packaged program serves: one test for each way that a transaction can take. */
@Timeout(60)
class ServeIT {

    private Platform platform;
    private Wire client;

    @BeforeEach
    void start() throws Exception {
        platform = new Platform();
        client = platform.client();
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
    }

    @Test
    void aJobIsPassedOnUnchangedAndItsResultIsTheAnswer() throws Exception {
        var txn = platform.job(client, "load", 5_000);
        var worker = platform.holder(txn);
        var sent = worker.received.element();
        assertEquals("POST /api/key-1?q=1 HTTP/1.1", sent.start());
        assertEquals("body of " + txn, sent.body());
        long left = Long.parseLong(sent.headers().get("x-remaining-ms"));
        assertTrue(left > 3_000 && left <= 5_000, "left: " + left);
        assertEquals("200", platform.callBack(txn, worker, "started", ""));
        assertEquals("200", platform.callBack(txn, worker, "running", ",\"share\":0.4"));
        platform.done(txn, "\\u00e9 \\\"r\\\"");
        var answer = client.read();
        assertEquals("200", answer.status());
        assertEquals("\u00e9 \"r\"", answer.body());
        assertNull(answer.headers().get("connection"));
        var next = platform.job(client, "load", 5_000);
        platform.done(next, "again");
        assertEquals("again", client.read().body());
    }

    @Test
    void aCallBackMayComeBeforeThe202AndRepeatAndComeForNothing() throws Exception {
        Peer.Script early = (wire, message) -> {
            var txn = message.headers().get("x-txn");
            platform.done(txn, "early");
            platform.done(txn, "repeated");
            wire.send("HTTP/1.1 202 Accepted", "", "");
        };
        platform.one.script = early;
        platform.two.script = early;
        var txn = platform.job(client, "sticker", 5_000);
        assertEquals("early", client.read().body());
        assertEquals("200", platform.callBack(txn, platform.one, "done", ",\"result\":\"late\""));
        assertEquals("200", platform.callBack("unheard-of", platform.two, "lost", ""));
        platform.job(client, "sticker", 5_000);
        assertEquals("early", client.read().body());
        assertEquals(2, platform.one.count("POST") + platform.two.count("POST"));
    }

    @Test
    void aJobThatNobodyCanRunIsRefusedWithARetryAfterLongBeforeItsDeadline() throws Exception {
        try (var drained = new Platform("1000", 1024, "Terminating Terminating")) {
            long before = System.nanoTime();
            var waiting = drained.client();
            drained.job(waiting, "sticker", 5_000);
            var answer = waiting.read();
            assertEquals("503", answer.status());
            assertEquals("2.000", answer.headers().get("retry-after"));
            assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before) < 3_000);
            assertEquals(0, drained.one.count("POST") + drained.two.count("POST"));
        }
    }

    @Test
    void aDrainedWorkerGetsNothingNew() throws Exception {
        platform.list("Terminating Ready");
        platform.untilTheFirstGetsNothingNew(client);
        assertTrue(platform.two.count("POST") >= 10);
    }

    /** The job ends well at whichever worker has it now. */
    private void assertServedByEither(String txn) throws Exception {
        for (var worker : List.of(platform.one, platform.two)) {
            platform.callBack(txn, worker, "done", ",\"result\":\"ok\"");
        }
        assertEquals("ok", client.read().body());
    }

    @Test
    void aJobTurnedAwayIsPlacedAnew() throws Exception {
        var refusals = new AtomicInteger(1);
        Peer.Script onceFull = (wire, message) -> {
            boolean full = refusals.getAndDecrement() > 0;
            wire.send(full ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 202 Accepted",
                    full ? "X-Turned-Away: 1\r\n" : "", "");
        };
        platform.one.script = onceFull;
        platform.two.script = onceFull;
        var txn = platform.job(client, "sticker", 5_000);
        until(() -> sends(platform.one, txn) + sends(platform.two, txn) == 2);
        assertServedByEither(txn);
    }

    /** Guards the workers against a bad client's request: one answer says it all, and no one is avoided. */
    @Test
    void aJobThatAWorkerCantUseFailsAndItsNameIsNotTakenAgain() throws Exception {
        Peer.Script unusable = (wire, message) -> wire.send("HTTP/1.1 400 Bad Request", "", "");
        platform.one.script = unusable;
        platform.two.script = unusable;
        var txn = platform.job(client, "load", 5_000);
        assertEquals("500", client.read().status());
        client.send("POST /api/other HTTP/1.1\r\nX-Txn: " + txn + "\r\nX-Lane: load\r\nX-Org: acme\r\n"
                + "X-Remaining-Ms: 900\r\n\r\n");
        assertEquals("header X-Txn: this one was used before\n", client.read().body());
        assertEquals(1, sends(platform.one, txn) + sends(platform.two, txn));
    }

    @Test
    void aJobHandedBackIsPlacedAnew() throws Exception {
        var txn = platform.job(client, "sticker", 5_000);
        platform.callBack(txn, platform.holder(txn), "returned", "");
        until(() -> sends(platform.one, txn) + sends(platform.two, txn) == 2);
        assertServedByEither(txn);
    }

    @Test
    void anUnsafeJobIsNotSentAgainAfterAReset() throws Exception {
        Peer.Script breaking = (wire, message) -> wire.close();
        platform.one.script = breaking;
        platform.two.script = breaking;
        var txn = platform.job(client, "sticker", 5_000);
        assertEquals("500", client.read().status());
        assertEquals(1, sends(platform.one, txn) + sends(platform.two, txn));
    }

    @Test
    void aStalePooledConnectionCostsNoJob() throws Exception {
        Peer.Script closing = (wire, message) -> {
            wire.send("HTTP/1.1 202 Accepted", "", "");
            wire.close();
        };
        platform.one.script = closing;
        platform.two.script = closing;
        for (int i = 0; i < 5; i++) {
            var txn = platform.job(client, "sticker", 5_000);
            platform.done(txn, "x");
            assertEquals("200", client.read().status());
        }
        assertEquals(5, platform.one.count("POST") + platform.two.count("POST"));
    }

    /** Guards jobs against connections that die at rest without a word: it is learned how long they last. */
    @Test
    void connectionsThatBreakAtTheirNextUseAreSoonNotUsedAgain() throws Exception {
        Peer.Script onceOnly = (wire, message) -> {
            wire.send("HTTP/1.1 202 Accepted", "", "");
            if (wire.read() != null) {
                wire.close();
            }
        };
        platform.one.script = onceOnly;
        platform.two.script = onceOnly;
        int broken = 0;
        for (int i = 0; i < 20; i++) {
            long rest = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(60);
            until(() -> System.nanoTime() > rest);
            try (var other = platform.client()) {
                var txn = platform.job(other, "sticker", 5_000);
                until(() -> sends(platform.one, txn) + sends(platform.two, txn) > 0 || other.hasMore());
                if (other.hasMore()) {
                    assertEquals("500", other.read().status());
                    broken++;
                } else {
                    platform.done(txn, "x");
                    assertEquals("200", other.read().status());
                }
            }
        }
        assertTrue(broken <= 4, broken + " jobs broke");
    }

    @Test
    void aWorkerThatRefusesConnectionsHasNotRunTheJob() throws Exception {
        platform.one.close();
        for (int i = 0; i < 8; i++) {
            platform.done(platform.job(client, "sticker", 5_000), "x");
            assertEquals("200", client.read().status());
        }
        assertEquals(8, platform.two.count("POST"));
    }

    @Test
    void aSilentWorkersJobTimesOutAtTheDeadlineAndIsCancelled() throws Exception {
        long before = System.nanoTime();
        var txn = platform.job(client, "sticker", 700);
        var worker = platform.holder(txn);
        assertEquals("500", client.read().status());
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        assertTrue(took >= 695 && took < 3_000, "took " + took + " ms");
        until(() -> cancels(worker, txn) == 1);
        assertEquals("200", platform.callBack(txn, worker, "done", ",\"result\":\"late\""));
        platform.done(platform.job(client, "load", 5_000), "next");
        assertEquals("next", client.read().body());
    }

    @Test
    void aSilentWorkersConnectionIsClosedBeforeThe202() throws Exception {
        var closed = new java.util.concurrent.CountDownLatch(1);
        Peer.Script silent = (wire, message) -> {
            if (wire.read() == null) {
                closed.countDown();
            }
        };
        platform.one.script = silent;
        platform.two.script = silent;
        platform.job(client, "sticker", 300);
        assertEquals("500", client.read().status());
        assertTrue(closed.await(20, TimeUnit.SECONDS));
        assertEquals(0, platform.one.count("DELETE") + platform.two.count("DELETE"));
    }

    @Test
    void aClientThatLeavesIsForgottenAndItsWorkersLateWordIsTaken() throws Exception {
        var txn = platform.job(client, "load", 1_000);
        var worker = platform.holder(txn);
        client.close();
        until(() -> cancels(worker, txn) == 1);
        assertEquals("200", platform.callBack(txn, worker, "done", ",\"result\":\"x\""));
        var other = platform.client();
        platform.done(platform.job(other, "load", 5_000), "served");
        assertEquals("served", other.read().body());
    }

    @Test
    void requestsThatComeBehindOneAreKept() throws Exception {
        client.send("GET /_health HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n"
                + "GET /_health HTTP/1.1\r\n\r\n");
        var statuses = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            statuses.add(client.read().status());
        }
        assertEquals(List.of("200", "404", "200"), statuses);
        var first = platform.job(client, "load", 5_000);
        var second = platform.job(client, "load", 5_000);
        platform.done(first, "first");
        platform.done(second, "second");
        assertEquals("first", client.read().body());
        assertEquals("second", client.read().body());
    }

    /** Guards bytes behind a request: however many there are, none is lost and reading goes on. */
    @Test
    void aThousandRequestsBehindAJobAreAllAnswered() throws Exception {
        var txn = platform.job(client, "load", 5_000);
        client.send("GET /n HTTP/1.1\r\n\r\n".repeat(1_000));
        platform.done(txn, "x");
        assertEquals("x", client.read().body());
        for (int i = 0; i < 1_000; i++) {
            assertEquals("404", client.read().status());
        }
        assertTrue(platform.log.stream().noneMatch(line -> line.contains("SEVERE")));
    }

    @Test
    void aWatchThatFailsIsAskedForAnew() throws Exception {
        long before = platform.discovery.count("GET");
        platform.failTable();
        until(() -> platform.refusedCalls.get() >= 2);
        platform.repairTable();
        until(() -> platform.discovery.count("GET") > before + platform.refusedCalls.get());
        // Counted first: on a busy machine the next call may come before the log has been looked at.
        long garbled = platform.discovery.count("GET");
        until(() -> {
            platform.broadcast("{\"version\":\"odd\"}");
            return platform.log.stream().anyMatch(line -> line.contains("malformed line"));
        });
        until(() -> platform.discovery.count("GET") > garbled);
        assertTrue(platform.discovery.received.stream().anyMatch(m -> m.start().contains("watch=1&from=41")));
        platform.done(platform.job(client, "load", 5_000), "x");
        assertEquals("200", client.read().status());
    }

    @Test
    void aWatchThatFallsSilentIsAskedForAnew() throws Exception {
        platform.muteTable();
        until(() -> platform.log.stream().anyMatch(line -> line.contains("silence")));
        until(() -> platform.discovery.count("GET") == 2);
        var other = platform.client();
        platform.done(platform.job(other, "load", 5_000), "x");
        assertEquals("200", other.read().status());
    }

    @Test
    void badInputIsAnsweredAndStopsNothing() throws Exception {
        var bad = List.of("nonsense\r\n\r\n=400", "POST /api/x HTTP/1.1\r\nContent-Length: 70000\r\n\r\n=413",
                "GET /nowhere HTTP/1.1\r\n\r\n=404", "GET /api/x HTTP/1.1\r\n\r\n=405",
                "POST /_health HTTP/1.1\r\n\r\n=405", "POST /api/x HTTP/1.1\r\nX-Txn: t\r\n\r\n=400",
                "POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}=400");
        for (var each : bad) {
            int at = each.lastIndexOf('=');
            try (var wire = platform.client().send(each.substring(0, at))) {
                assertEquals(each.substring(at + 1), wire.read().status(), each);
            }
        }
        try (var wire = platform.client().send("POST /api/x HTTP/1.1\r\nX-Txn: t\r\n\r\n".repeat(500))) {
            assertEquals("header X-Lane is missing\n", wire.read().body());
            assertNull(wire.read());
        }
        for (var both : List.of("Content-Length: 3\r\nTransfer-Encoding: chunked",
                "transfer-encoding: Chunked\r\nCONTENT-LENGTH: 3", "Transfer-Encoding: chunked, identity",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nContent-Length: 3")) {
            var txn = "smuggled";
            try (var wire = platform.client().send("POST /api/x HTTP/1.1\r\nX-Lane: load\r\nX-Org: acme\r\n"
                    + "X-Remaining-Ms: 900\r\nX-Txn: " + txn + "\r\n" + both + "\r\n\r\n0\r\n\r\n")) {
                assertTrue(wire.read().status().matches("400|501"), both);
                assertEquals(0, sends(platform.one, txn) + sends(platform.two, txn));
            }
        }
        platform.done(platform.job(client, "load", 5_000), "x");
        assertEquals("200", client.read().status());
    }
}
