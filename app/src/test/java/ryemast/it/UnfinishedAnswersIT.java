package ryemast.it;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Workers that serve their jobs, but begin large answers to them on hundreds of connections and end none. */
@Timeout(120)
class UnfinishedAnswersIT {

    private static final String SPOILT_PREFIX = "spoilt-";
    private static final int JOBS = 250;
    private static final int ROUNDS = 3;
    /** The workers' queues for new connections are short. */
    private static final int BURST = 20;
    private static final int BURST_PAUSE_MS = 20;
    private static final int HELD_MS = 1_000;

    /** What a worker answers to a job, and then nothing; that the job is done it tells by a call. */
    record Answer(String name, String text) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Answer> answers() {
        var head = "HTTP/1.1 202 Accepted\r\n" + CrowdMemoryIT.shortFields(CrowdMemoryIT.LARGEST_HEAD - 200);
        return Stream.of(new Answer("a head of many fields", head),
                new Answer("a head of many fields and a body", head + "Content-Length: "
                        + CrowdMemoryIT.LARGEST_BODY + "\r\n\r\n"
                        + "x".repeat(CrowdMemoryIT.LARGEST_BODY - 1)));
    }

    /** Guards the memory against what is kept of answers that are not whole. */
    @ParameterizedTest
    @MethodSource("answers")
    void workersThatEndNoAnswerEndNoProcessAndKeepNobodyOut(Answer answer) throws Exception {
        try (var platform = new Platform()) {
            ProbeClient.assertServedBeside(platform, () -> play(platform, answer));
        }
    }

    private static String play(Platform platform, Answer answer) throws Exception {
        for (var worker : List.of(platform.one, platform.two)) {
            var usual = worker.script;
            worker.script = (wire, message) -> {
                var txn = message.headers().getOrDefault("x-txn", "");
                if (txn.startsWith(SPOILT_PREFIX)) {
                    wire.send(answer.text());
                    platform.callBack(txn, worker, "done", ",\"result\":\"x\"");
                } else {
                    usual.play(wire, message);
                }
            };
        }
        for (int round = 0; round < ROUNDS && platform.program().isAlive(); round++) {
            var clients = new ArrayList<Wire>();
            for (int i = 0; i < JOBS; i++) {
                clients.add(send(platform, SPOILT_PREFIX + round + "-" + i));
                if (i % BURST == 0) {
                    Thread.sleep(BURST_PAUSE_MS);
                }
            }
            Thread.sleep(HELD_MS);
            for (var each : clients) {
                each.close();
            }
        }
        return JOBS * ROUNDS + " jobs with " + answer;
    }

    private static Wire send(Platform platform, String txn) throws IOException {
        return platform.client().send("POST /api/k HTTP/1.1", "X-Txn: " + txn + "\r\nX-Lane: load\r\n"
                + "X-Org: acme\r\nX-Remaining-Ms: 5000\r\n", "");
    }
}
