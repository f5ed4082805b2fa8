package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ryemast.it.Platform.until;

import java.io.IOException;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Hundreds of clients at once that make the program keep as much of unfinished requests as they can. */
@Timeout(120)
class CrowdMemoryIT {

    private static final int CLIENTS = 600;
    private static final long CROWD_MS = 8_000;
    static final int LARGEST_BODY = 64 * 1024;
    static final int LARGEST_HEAD = 16 * 1024;
    /** Clients that write slowly do so in parts of such a size. */
    private static final int PART = 2_500;
    /** Longer than the program waits for the rest of a request. */
    private static final int HELD_MS = 2_500;
    private static final Pattern FREE = Pattern.compile("([0-9]+) KB free");
    private static final int HEADS_BEHIND_ANOTHER = 40;

    /**
     * What each client of the crowd writes, again and again on new connections.
     *
     * @param slowly  whether it is written in parts
     */
    record Crowd(String name, String text, boolean slowly) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static String jobHead(String more) {
        return "POST /api/k HTTP/1.1\r\nX-Lane: load\r\nX-Org: acme\r\nX-Remaining-Ms: 1000\r\n" + more;
    }

    /** As many distinct fields as a head holds. */
    static String shortFields(int length) {
        var text = new StringBuilder();
        for (int i = 0; text.length() < length; i++) {
            text.append(Integer.toString(i + 36 * 36, 36)).append(":\n");
        }
        return text.toString();
    }

    static Stream<Crowd> crowds() {
        var half = jobHead("Content-Length: " + LARGEST_BODY + "\r\n\r\n") + "x".repeat(LARGEST_BODY - 1_000);
        var fields = jobHead(shortFields(LARGEST_HEAD - 200));
        return Stream.of(new Crowd("large bodies, slowly", half, true),
                new Crowd("large bodies, stopped before the end", half, false),
                new Crowd("heads of many fields, slowly", fields, true),
                new Crowd("heads of many fields, stopped before the end", fields, false),
                new Crowd("heads of one field many times",
                        jobHead("a:\n".repeat((LARGEST_HEAD - 200) / 3)), false),
                new Crowd("chunks of one byte", jobHead("Transfer-Encoding: chunked\r\n\r\n")
                        + "1\r\nx\r\n".repeat(LARGEST_BODY - 1_000), false),
                new Crowd("heads of many fields behind a job", jobHead("X-Txn: TXN\r\n\r\n")
                        + (jobHead(shortFields(LARGEST_HEAD - 200)) + "\r\n").repeat(HEADS_BEHIND_ANOTHER),
                        false));
    }

    /** Guards the memory against what is kept of requests that are not whole, or wait for their turn. */
    @ParameterizedTest
    @MethodSource("crowds")
    void aCrowdOfUnfinishedRequestsEndsNoProcessAndKeepsNobodyOut(Crowd crowd) throws Exception {
        try (var platform = new Platform()) {
            platform.limitToOneCore(0);
            ProbeClient.assertServedBeside(platform, () -> playOften(platform, crowd));
        }
    }

    /** The same where the program has all cores: what a crowd sends is taken in faster than it is let go. */
    @ParameterizedTest
    @MethodSource("crowds")
    void aCrowdOfUnfinishedRequestsEndsNoProcessOnManyCores(Crowd crowd) throws Exception {
        try (var platform = new Platform()) {
            ProbeClient.assertServedBeside(platform, () -> playOften(platform, crowd));
        }
    }

    /** Guards the bound itself: what is counted for requests is given back, however they end. */
    @Test
    void nothingIsHeldOnceTheCrowdsAreGone() throws Exception {
        try (var platform = new Platform()) {
            long before = freeKilobytes(platform);
            for (var crowd : crowds().toList()) {
                play(platform, crowd, crowd.name().length());
            }
            until(() -> freeKilobytes(platform) == before);
        }
    }

    /** As the log says; a request that is at fault makes it say so. */
    private static long freeKilobytes(Platform platform) throws Exception {
        int lines = platform.log.size();
        try (var client = platform.client()) {
            assertEquals("400", client.send("?\r\n").read().status());
        }
        until(() -> free(platform, lines).findAny().isPresent());
        return free(platform, lines).mapToLong(Long::parseLong).findFirst().orElseThrow();
    }

    private static Stream<String> free(Platform platform, int from) {
        return platform.log.stream().skip(from).map(FREE::matcher).filter(Matcher::find)
                .map(found -> found.group(1));
    }

    private static String playOften(Platform platform, Crowd crowd) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CROWD_MS);
        int rounds = 0;
        while (System.nanoTime() < end && platform.program().isAlive()) {
            play(platform, crowd, rounds++);
        }
        return crowd + ": " + rounds + " rounds";
    }

    private static void play(Platform platform, Crowd crowd, int round) throws Exception {
        var clients = new ArrayList<Wire>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(platform.client());
        }
        int part = crowd.slowly() ? PART : crowd.text().length();
        for (int from = 0; from < crowd.text().length(); from += part) {
            for (int i = 0; i < clients.size(); i++) {
                var text = crowd.text().substring(from, Math.min(crowd.text().length(), from + part));
                write(clients.get(i), text.replace("TXN", "crowd-" + round + "-" + i));
            }
        }
        Thread.sleep(HELD_MS);
        for (var each : clients) {
            each.close();
        }
    }

    private static void write(Wire client, String text) {
        try {
            client.send(text);
        } catch (IOException e) {
            // The program has ended the connection.
        }
    }
}
