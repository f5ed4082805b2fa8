package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.it.Platform.until;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** No request is lost by the end of a connection that the program chooses: at SIGTERM, and at its limit. */
@Timeout(60)
class EndIT {

    /** Guards a request whose first part has come: other connections at rest are closed at the end. */
    @Test
    void afterSigtermAConnectionIsNotClosedUnderARequestThatHasBegun() throws Exception {
        try (var platform = new Platform()) {
            var half = platform.client();
            half.send("GET /n HTTP/1.1\r\nA: b\r\n");
            var resting = platform.client();
            until(() -> platform.health().equals("200"));
            platform.program().destroy();
            assertNull(resting.read());
            assertEquals("404", half.send("\r\n").read().status());
            assertTrue(platform.program().waitFor(20, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards every client through a whole end: those that send on each connection that stays open, and those
     * that come anew until nobody listens any more. Only whoever is told that the connection ends, or meets
     * its end between two requests, opens another.
     */
    @Test
    void clientsThatSendOnToTheEndAreAllAnswered() throws Exception {
        try (var platform = new Platform()) {
            Peer.Script quick = (wire, message) -> {
                wire.send("HTTP/1.1 202 Accepted", "", "");
                platform.callBack(message.headers().get("x-txn"), platform.one, "done", ",\"result\":\"x\"");
            };
            platform.one.script = quick;
            platform.list("Ready Gone");
            var lost = new ConcurrentLinkedQueue<String>();
            var served = new AtomicInteger();
            var afresh = new AtomicInteger();
            var clients = new ArrayList<Thread>();
            for (int i = 0; i < 12; i++) {
                boolean keeps = i < 6;
                var client = new Thread(() -> sendOn(platform, keeps, keeps ? served : afresh, lost));
                client.start();
                clients.add(client);
            }
            until(() -> served.get() > 50 && afresh.get() > 50);
            platform.program().destroy();
            for (var each : clients) {
                each.join();
            }
            assertTrue(platform.program().waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, platform.program().exitValue());
            assertTrue(lost.size() * 200 <= served.get() + afresh.get(),
                    lost + " of " + served + " and " + afresh);
        }
    }

    private static void sendOn(Platform platform, boolean keeps, AtomicInteger answered, Queue<String> lost) {
        try {
            while (true) {
                try (var wire = platform.client()) {
                    boolean more = true;
                    for (int sent = 0; more; sent++) {
                        platform.job(wire, "load", 5_000);
                        var answer = wire.read();
                        if (answer == null || !answer.status().matches("200|429|503")) {
                            lost.add((sent == 0 ? "new: " : "kept: ") + answer);
                            break;
                        }
                        answered.incrementAndGet();
                        more = keeps && !"close".equals(answer.headers().get("connection"));
                    }
                }
            }
        } catch (ConnectException e) {
            // Nobody listens any more.
        } catch (IOException e) {
            lost.add(e.toString());
        }
    }

    /**
     * The platform may kill 0.7 s after the longest deadline, counted as 3 s at most, that begins at SIGTERM;
     * what comes late and waits for a worker that hangs is answered before that, though its client would wait
     * for longer.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000})
    void aRequestThatComesLateAndHangsIsAnsweredBeforeTheKill(long longestDeadline) throws Exception {
        try (var platform = Platform.ofDeadline(longestDeadline); var client = platform.client()) {
            platform.program().destroy();
            long killedAt = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Math.min(3_000, longestDeadline) + 700);
            // The signal takes its time, and what comes before it is not late.
            until(() -> platform.health().equals("503"));
            var txn = platform.job(client, "sticker", 5_000);
            platform.holder(txn);
            assertEquals("500", client.read().status());
            assertTrue(System.nanoTime() < killedAt, "it would have been killed before");
        }
    }

    /** Guards newcomers at the limit on sockets: what they send along with their connection is answered. */
    @Test
    void atTheLimitNewcomersThatSendAtOnceAreAnswered() throws Exception {
        try (var platform = new Platform("1000", 128, "Ready Ready")) {
            var crowd = new ArrayList<Wire>();
            for (int i = 0; i < 200; i++) {
                crowd.add(platform.client());
            }
            for (int i = 0; i < 200; i++) {
                long before = System.nanoTime();
                var wire = platform.client().send("GET /n HTTP/1.1\r\n\r\n");
                if (System.nanoTime() - before < TimeUnit.MILLISECONDS.toNanos(25)) {
                    assertNotNull(wire.read(), "newcomer " + i);
                }
                crowd.add(wire);
            }
            for (var each : crowd) {
                each.close();
            }
        }
    }

    /** Guards a newcomer at the limit whose request comes in parts, against the crowd after it. */
    @Test
    void atTheLimitARequestThatHasBegunKeepsItsConnectionForAMoment() throws Exception {
        try (var platform = new Platform("1000", 128, "Ready Ready")) {
            boolean judged = false;
            while (!judged) {
                long before = System.nanoTime();
                var half = platform.client().send("GET /n HTTP/1.1\r\nA: b\r\n");
                var behind = platform.client();
                var crowd = new ArrayList<Wire>();
                for (int i = 0; i < 200; i++) {
                    crowd.add(platform.client());
                }
                // The one behind is closed for room: so would the older one be, if nothing had come on it.
                assertNull(behind.read());
                half.send("\r\n");
                judged = System.nanoTime() - before < TimeUnit.MILLISECONDS.toNanos(400);
                if (judged) {
                    assertEquals("404", half.read().status());
                }
                half.close();
                for (var each : crowd) {
                    each.close();
                }
            }
        }
    }
}
