package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.ClientGone;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher;
import ryemast.core.Exchange;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.net.DrivenLoop;
import ryemast.net.HeldProcessor;
import ryemast.net.Transport;
import ryemast.net.http.MessageMemory;

/**
 * Ends of clients' connections, and what crosses them. The one thread that reads and writes is held where a
 * test wants an order of events that is rare otherwise.
 */
@Timeout(60)
class ConnectionEndTest {

    private static final String REQUEST = "GET /nowhere HTTP/1.1\r\n\r\n";
    private static final String JOB = "POST /api/k HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: load\r\n"
            + "X-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
    private static final int LARGE_BODY = 60_000;
    private static final String LARGE_HEAD =
            "POST /api/k HTTP/1.1\r\nContent-Length: " + LARGE_BODY + "\r\n\r\n";
    /** An unfinished request, larger than what surely came with all that stood behind it. */
    private static final String MUCH = LARGE_HEAD + "x".repeat(40_000);
    private static final int MOST = 50;
    /** What one read takes in at most, in bytes. */
    private static final int LARGEST_READ = 4 * 1024;
    private static final int LONGER_THAN_UNDER_WAY_MS = 600;
    /** As long as no test wants a connection to be at rest for too long. */
    private static final ClientTuning TUNING = ClientTuning.DEFAULT;

    private final DrivenLoop driven = new DrivenLoop();
    private final List<Event> events = new ArrayList<>();
    private final Exchange exchange = new Exchange(driven.loop, new Silent(), 99, 9, 0);
    private final Transport transport = new Transport();
    private ClientServer server;
    private InetSocketAddress address;
    private HeldProcessor processor;
    private final List<Socket> clients = new ArrayList<>();
    /** What the module is to say to the next event. */
    private final List<Action> next = new ArrayList<>();

    private final class Silent implements Dispatcher {
        @Override
        public void handle(long now, Event event, Consumer<? super Action> out) {
            events.add(event);
            next.forEach(out);
            next.clear();
        }
    }

    @BeforeEach
    void listen() throws Exception {
        exchange.connect(new Region() {
            @Override
            public void start(RoutedTask task) { }

            @Override
            public void giveUp(RoutedTask task) { }
        }, () -> { });
        server = new ClientServer(driven.loop, exchange, transport,
                new JobReader(List.of("load"), List.of()), MOST, TUNING);
        address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        processor = new HeldProcessor(transport, driven);
    }

    /** Also guards the memory for requests: nothing of them is held once their clients are gone. */
    @AfterEach
    void close() throws Exception {
        processor.close();
        for (var client : clients) {
            client.close();
        }
        driven.until(() -> server.memory.left() == MessageMemory.ofHeap().left());
        server.stop();
    }

    private Socket client() throws Exception {
        var client = new Socket(address.getAddress(), address.getPort());
        client.setTcpNoDelay(true);
        clients.add(client);
        // Known to the loop once it has been answered.
        send(client, REQUEST);
        read(client, "HTTP/1.1 404");
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The thread that sends the text, however long that takes. */
    private static Thread sending(Socket client, String text) {
        var writer = new Thread(() -> {
            try {
                send(client, text);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        writer.start();
        return writer;
    }

    /** Reads one answer, which begins like this. */
    private void read(Socket client, String begins) throws Exception {
        var text = new StringBuilder();
        driven.until(() -> {
            text.append(new String(client.getInputStream().readNBytes(client.getInputStream().available()),
                    StandardCharsets.US_ASCII));
            int head = text.indexOf("\r\n\r\n");
            return head >= 0 && text.length() >= head + 4 + length(text.substring(0, head));
        });
        assertTrue(text.toString().startsWith(begins), text.toString());
    }

    private static int length(String head) {
        int at = head.indexOf("Content-Length: ");
        return Integer.parseInt(head.substring(at + 16).split("\r\n")[0]);
    }

    /** All that comes until the connection ends, which it must do in order and not by a reset. */
    private String untilTheEnd(Socket client) throws Exception {
        var found = new AtomicReference<Object>();
        var reader = new Thread(() -> {
            try {
                found.set(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
            } catch (IOException e) {
                found.set(e);
            }
        });
        reader.start();
        driven.until(() -> found.get() != null);
        assertTrue(found.get() instanceof String, () -> "it was reset: " + found.get());
        return (String) found.get();
    }

    /**
     * The loop decides to end a connection at rest, and a request is read before the thread that reads comes
     * to know. Which of two connections it reads first can't be chosen, so this is played often; nothing may
     * be lost in either order.
     */
    @RepeatedTest(20)
    void aRequestThatIsReadAsItsConnectionIsEndedIsAnswered() throws Exception {
        var client = client();
        processor.catchNext();
        processor.awaitHeld();
        send(client, REQUEST);
        processor.catchNext();
        Thread.sleep(5);
        processor.release();
        processor.awaitHeld();
        server.closeResting(0);
        processor.release();
        read(client, "HTTP/1.1 404");
    }

    /** A close over bytes that nobody has read would reset the connection. */
    @Test
    void whatComesBehindTheLastAnswerDoesNotResetTheConnection() throws Exception {
        var client = client();
        server.drain();
        send(client, REQUEST);
        processor.catchNext();
        processor.awaitHeld();
        send(client, REQUEST.repeat(20));
        processor.release();
        var answers = untilTheEnd(client);
        assertTrue(answers.startsWith("HTTP/1.1 404") && answers.contains("Connection: close"), answers);
        driven.turnFor(20);
        assertFalse(server.isQuiet(), "the client's side is left open for a moment");
        driven.pass(ClientConnection.ANSWER_TRAVELS + 10_000);
        driven.until(server::isQuiet);
    }

    /** Turns until a condition holds, a millisecond in each turn: connections are read in steps of time. */
    private void passUntil(Callable<Boolean> condition) throws Exception {
        driven.until(() -> {
            driven.pass(1_000);
            return condition.call();
        });
    }

    private String answer(Socket client) throws Exception {
        var text = new StringBuilder();
        passUntil(() -> {
            while (client.getInputStream().available() > 0 && !isWhole(text)) {
                text.append((char) client.getInputStream().read());
            }
            return isWhole(text);
        });
        return text.toString();
    }

    private static boolean isWhole(StringBuilder text) {
        int head = text.indexOf("\r\n\r\n");
        return head >= 0 && text.length() >= head + 4 + length(text.substring(0, head));
    }

    /** Its connection was not read while a request waited behind another, so that nobody saw it go. */
    @Test
    void aClientThatLeavesWithARequestBehindAnotherIsSeenToLeave() throws Exception {
        var client = client();
        events.clear();
        send(client, String.format(JOB, "one") + String.format(JOB, "two"));
        passUntil(() -> events.stream().anyMatch(Request.class::isInstance));
        driven.turnFor(50);
        client.close();
        driven.until(() -> events.stream().anyMatch(ClientGone.class::isInstance));
        driven.turnFor(50);
        assertEquals(1, events.stream().filter(Request.class::isInstance).count());
        driven.until(server::isQuiet);
    }

    /** Where memory is short an unfinished request is refused, but not what is owed an answer before it. */
    @Test
    void aWholeRequestIsAnsweredThoughTheUnfinishedOneBehindItCouldBeShed() throws Exception {
        var client = client();
        send(client, REQUEST + "GET /half");
        Thread.sleep(LONGER_THAN_UNDER_WAY_MS);
        server.shedUnfinished();
        read(client, "HTTP/1.1 404");
    }

    /** What comes behind a job may have a close behind it that has not come: the job waits for it a while. */
    @Test
    void aJobWaitsWhereItsClientSendsOn() throws Exception {
        var client = client();
        events.clear();
        long sentAt = System.nanoTime();
        send(client, String.format(JOB, "one") + MUCH);
        passUntil(() -> events.stream().anyMatch(Request.class::isInstance));
        assertTrue(System.nanoTime() - sentAt >= ClientPresence.SENDS_ON);
    }

    /** Guards clients that don't wait for their answers: what comes slowly has nothing waiting behind it. */
    @Test
    void aJobIsTakenWhereLittleComesBehindItAllTheTime() throws Exception {
        var client = client();
        events.clear();
        var writer = new Thread(() -> {
            try {
                for (int i = 0; i < 100; i++) {
                    send(client, String.format(JOB, "one-" + i) + String.format(JOB, "two-" + i));
                    Thread.sleep(20);
                }
            } catch (IOException | InterruptedException e) {
                // The test is over.
            }
        });
        writer.start();
        passUntil(() -> client.getInputStream().available() > 0
                || events.stream().anyMatch(Request.class::isInstance));
        assertEquals(0, client.getInputStream().available(), "refused");
        writer.interrupt();
        writer.join();
    }

    /** Its client's close would not be seen in time, so nothing is sent for it. */
    @Test
    void aJobOfAClientThatSendsOnWithoutEndIsRefused() throws Exception {
        var client = client();
        events.clear();
        var writer = new Thread(() -> {
            try {
                send(client, String.format(JOB, "one") + LARGE_HEAD + "x".repeat(LARGE_BODY));
                while (true) {
                    send(client, LARGE_HEAD);
                    for (int sent = 0; sent < LARGE_BODY; sent += 1_000) {
                        send(client, "x".repeat(1_000));
                        Thread.sleep(1);
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The test is over.
            }
        });
        writer.start();
        passUntil(() -> client.getInputStream().available() > 0);
        read(client, "HTTP/1.1 503");
        assertEquals(List.of(), events);
        writer.interrupt();
        writer.join();
    }

    @Test
    void aJobOfAClientThatSendsOnAndLeavesIsNotTaken() throws Exception {
        var client = client();
        events.clear();
        send(client, String.format(JOB, "one") + MUCH);
        client.close();
        passUntil(server::isQuiet);
        driven.turnFor(100);
        assertEquals(List.of(), events);
    }

    /**
     * The write fails as the client's reset has come and was not seen; what waits for its end would wait for
     * ever.
     */
    @Test
    void anAnswerThatCannotBeWrittenDoesNotKeepTheProgramFromEnding() throws Exception {
        var client = client();
        send(client, String.format(JOB, "one"));
        driven.until(() -> events.stream().anyMatch(Request.class::isInstance));
        long number = events.stream().filter(Request.class::isInstance).map(Request.class::cast).findFirst()
                .orElseThrow().id();
        processor.catchNext();
        processor.awaitHeld();
        client.setSoLinger(true, 0);
        client.close();
        next.add(new Fail(number));
        exchange.told(new Dispatcher.PeersTold(Map.of()));
        driven.loop.turn();
        processor.release();
        driven.until(server::isQuiet);
    }

    /** Its answers filled the memory, as each request was taken at once. */
    @Test
    void aClientThatSendsOnAndReadsNothingIsEnded() throws Exception {
        var client = client();
        var writer = new Thread(() -> {
            try {
                while (true) {
                    send(client, REQUEST.repeat(500));
                }
            } catch (IOException e) {
                // It was ended.
            }
        });
        writer.start();
        passUntil(() -> !writer.isAlive());
        driven.until(server::isQuiet);
        assertTrue(server.pipelined.isWhole());
    }

    /** Requests beyond what is kept are refused, in their order, and what is asked last is answered too. */
    @Test
    void oneThatSendsThousandsAtOnceIsAnsweredThousandsOfTimes() throws Exception {
        var client = client();
        int sent = 3_000;
        var writer = sending(client, REQUEST.repeat(sent));
        for (int i = 0; i < sent; i++) {
            var answer = answer(client);
            assertTrue(answer.matches("(?s)HTTP/1.1 (404|503).*"), answer);
        }
        writer.join();
        send(client, REQUEST);
        assertTrue(answer(client).startsWith("HTTP/1.1 404"));
    }

    /** Guards other clients against one that sends at full speed: it is read a part in each step. */
    @Test
    void oneThatSendsWithoutWaitingIsReadInSteps() throws Exception {
        var client = client();
        int sent = 10_000;
        long beganAt = System.nanoTime();
        var writer = sending(client, REQUEST.repeat(sent));
        var answers = new AnswerCount(client);
        driven.until(() -> answers.count() >= sent);
        writer.join();
        long leastSteps = (long) sent * REQUEST.length() / LARGEST_READ - 1;
        long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganAt);
        assertTrue(took >= leastSteps * ReadPace.STEP, sent + " requests in " + took + " us");
    }

    /** How many answers have come so far. */
    private static final class AnswerCount {
        private static final String BEGINS = "HTTP/1.1 ";

        private final Socket client;
        private String rest = "";
        private int count;

        AnswerCount(Socket client) {
            this.client = client;
        }

        int count() throws IOException {
            var in = client.getInputStream();
            var text = rest + new String(in.readNBytes(in.available()), StandardCharsets.US_ASCII);
            int end = 0;
            for (int at = text.indexOf(BEGINS); at >= 0; at = text.indexOf(BEGINS, end)) {
                end = at + BEGINS.length();
                count++;
            }
            rest = text.substring(Math.max(end, text.length() - BEGINS.length() + 1));
            return count;
        }
    }
}
