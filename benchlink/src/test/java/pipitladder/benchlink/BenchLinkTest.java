package pipitladder.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class BenchLinkTest {

    private static final String ENV = "{\"fleet_size\":1,\"resolution\":1000,\"registry_mode\":\"automatic\","
            + "\"news\":[{\"a\":1}],\"allowed\":{\"max_attempts\":4},\"obligations\":{\"cold\":8000000},"
            + "\"categories\":[{\"deadline\":5000000,\"effect\":\"free\",\"on_time\":200000}]}";
    private static final String START = "{\"kind\":\"new_instance\",\"who\":3,\"random_seed\":5,"
            + "\"env\":" + ENV + "}\n";
    private static final String LIST = "{\"kind\":\"census\",\"ref\":2,\"entries\":[{\"runner\":\"h:1\","
            + "\"condition\":\"healthy\",\"extra\":{}}]}\n"
            + "{\"kind\":\"view\",\"who\":3,\"scope\":\"whole\",\"ref\":2}\n";
    private static final String WORK = "{\"expires_in\":900000,\"ref\":9,\"who\":3,\"category\":0,"
            + "\"unknown\":[1],\"kind\":\"work_item\"}\n";

    private static final String KILL = "{\"kind\":\"kill\",\"who\":3}\n";

    private static String batch(long time, String events) {
        return "{\"kind\":\"sync\",\"t\":" + time + "}\n" + events + "{\"kind\":\"eob\"}\n";
    }

    private static String answer(String input) throws IOException {
        var out = new ByteArrayOutputStream();
        var in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        new BenchLink(new MessageReader(in), new ReplyWriter(out)).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String complaint(String input) {
        return assertThrows(IOException.class, () -> answer(input)).getMessage();
    }

    @Test
    void anEmptyBatchIsAnswered() throws IOException {
        assertEquals("{\"kind\":\"ok\"}\n", answer(batch(5, "")));
    }

    @Test
    void aRequestIsSentAtTheTick() throws IOException {
        var reply = answer(batch(1_000_000, START + LIST + WORK)
                + batch(1_005_000, "{\"kind\":\"wake\",\"who\":3,\"name\":\"tick\"}\n"));
        assertTrue(reply.contains("\"kind\":\"remind\",\"who\":3,\"due_at\":1005000,\"name\":\"tick\""));
        assertTrue(reply.contains("{\"kind\":\"try\",\"who\":3,\"ref\":9,\"runner\":\"h:1\"}"), reply);
    }

    @Test
    void aNumberedListIsReplacedWithinABatch() throws IOException {
        var reply = answer(batch(1_000_000, START + LIST + LIST.replace("h:1", "h:2") + WORK)
                + batch(1_005_000, "{\"kind\":\"wake\",\"who\":3,\"name\":\"tick\"}\n"));
        assertTrue(reply.contains("\"runner\":\"h:2\""), reply);
    }

    @Test
    void anInstanceStartsAnewInTheBatchThatEndsIt() throws IOException {
        var reply = answer(batch(1_000_000, START + LIST + WORK + KILL + START + LIST)
                + batch(1_005_000, "{\"kind\":\"lapsed\",\"who\":3,\"ref\":9}\n"));
        assertTrue(reply.endsWith("{\"kind\":\"ok\"}\n"), reply);
    }

    @Test
    void aFailureOfTheModuleIsReportedWithItsCause() throws IOException {
        var reply = answer(batch(1_000_000, START + LIST + WORK + WORK));
        assertTrue(reply.contains("\"kind\":\"fatal\",\"who\":3"), reply);
        assertTrue(reply.contains("request 9 was given twice"), reply);
    }

    @Test
    void malformedInputIsNamed() {
        assertTrue(complaint(batch(1, "{\"kind\":\"riddle\",\"who\":3}\n")).contains("instance 3"));
        assertTrue(complaint(batch(1, START + "{\"kind\":\"riddle\",\"who\":3}\n")).contains("riddle"));
        assertTrue(complaint(batch(1, START + "{\"kind\":\"lapsed\",\"who\":3}\n")).contains("ref"));
        assertTrue(complaint("{\"kind\":\"wake\"}").contains("outside a batch"));
        assertTrue(complaint("[1]").contains("object"));
        assertTrue(complaint("{\"t\":1}").contains("kind"));
        assertTrue(complaint("{\"kind\":\"sync\",\"t\":\"x\"}").contains("number"));
        assertTrue(complaint("{\"kind\":\"sync\",\"t\":1}").contains("inside a batch"));
        assertTrue(complaint("{\"kind\":").length() > 0);
    }
}
