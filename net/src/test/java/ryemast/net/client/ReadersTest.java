package ryemast.net.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import ryemast.core.CallBack;
import ryemast.net.Bytes;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

class ReadersTest {

    private static final JobReader JOBS = new JobReader(List.of("load", "build"), List.of("acme", "home"));

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static HttpMessage job(String... changed) {
        var head = HttpHead.request("POST", "/api/k?x=1").with("x-txn", "t 1").with("x-lane", "build")
                .with("x-org", "home").with("x-remaining-ms", "480");
        for (int i = 0; i < changed.length; i += 2) {
            head.headers().remove(changed[i]);
            if (changed[i + 1] != null) {
                head.with(changed[i], changed[i + 1]);
            }
        }
        return new HttpMessage(head, utf8("body"));
    }

    private static String complaint(String header, String value) {
        var thrown = assertThrows(HttpException.class, () -> JOBS.read(job(header, value), 0));
        assertEquals(400, thrown.status());
        return thrown.getMessage();
    }

    @Test
    void aJobIsReadFromItsHeaders() throws HttpException {
        var read = JOBS.read(job("x-estimate", "12000", "x-labels", "slots=2, memory=1.5,other=x"), 1_000);
        assertEquals("t 1", read.txn());
        assertEquals(1, read.jobClass());
        assertEquals(1, read.tenant());
        assertEquals(2, read.slots());
        assertEquals(1.5, read.memory());
        assertEquals(12_000, read.costHint());
        assertEquals(481_000, read.deadline());
        assertEquals("/api/k?x=1", read.target());
        assertArrayEquals(utf8("body"), read.body());
        assertEquals(0, JOBS.read(job(), 0).costHint());
    }

    @Test
    void aFaultyHeaderIsNamed() {
        assertTrue(complaint("x-txn", null).contains("X-Txn"));
        assertTrue(complaint("x-lane", null).contains("X-Lane"));
        assertTrue(complaint("x-lane", "unheard").contains("X-Lane"));
        assertTrue(complaint("x-org", "unheard").contains("X-Org"));
        assertTrue(complaint("x-remaining-ms", "-1").contains("X-Remaining-Ms"));
        assertTrue(complaint("x-estimate", "1.5").contains("X-Estimate"));
        assertTrue(complaint("x-txn", "t\u00e9").contains("X-Txn"));
        assertTrue(complaint("x-txn", "t".repeat(129)).contains("X-Txn"));
        for (var name : List.of("x-txn", "x-lane", "x-org", "x-remaining-ms", "x-estimate", "x-labels")) {
            assertTrue(complaint(name, "1\n1").contains("more than once"), name);
        }
        assertTrue(complaint("x-labels", "slots=0").contains("slots"));
        assertTrue(complaint("x-labels", "memory=NaN").contains("memory"));
    }

    @Test
    void aCallBackIsRead() throws IOException {
        assertEquals(new CallBack("t", "s", CallBack.State.RUNNING, 0.4, ""),
                CallBackReader.read(utf8("{\"id\":\"t\",\"from\":\"s\",\"state\":\"running\","
                        + "\"share\":0.4}")));
        assertEquals("\u00e9\n\"", CallBackReader.read(utf8("{\"new\":[{}],\"id\":\"t\",\"from\":\"s\","
                + "\"state\":\"done\",\"result\":\"\\u00e9\\n\\\"\"}")).result());
        for (var bad : List.of("", "[]", "{}", "{\"id\":\"t\",\"from\":\"s\"}", "{\"id\":{}}",
                "{\"id\":\"t\",\"from\":\"s\",\"state\":\"odd\"}", "{\"id\":\"t\",\"from\":\"s\"}{}")) {
            assertThrows(IOException.class, () -> CallBackReader.read(utf8(bad)), bad);
        }
    }

    @Property(seed = "4", tries = 2000)
    void aGarbledCallBackIsReadOrNamedAndNothingElse(@ForAll long seed) {
        var valid = utf8("{\"id\":\"t\",\"from\":\"s\",\"state\":\"done\",\"share\":1e2,\"result\":\"r\"}");
        try {
            CallBackReader.read(Bytes.garbage(valid, seed));
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void aRefusalTellsDecimalSeconds() {
        assertEquals("0.250", ClientConnection.seconds(250_000));
        assertEquals("0.001", ClientConnection.seconds(1));
    }
}
