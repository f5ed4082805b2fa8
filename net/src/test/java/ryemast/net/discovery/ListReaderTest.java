package ryemast.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.net.Bytes;

class ListReaderTest {

    private static final ListReader READER = new ListReader(List.of("a", "b"), List.of("m1", "m2"));
    private static final String ENTRY = "{\"id\":\"s-1\",\"addr\":\"10.1.0.18:3000\",\"zone\":\"b\","
            + "\"kind\":\"m2\",\"cell\":3,\"state\":\"Ready\",\"weight\":1.5,"
            + "\"started_ms\":1700000000123,\"new\":[{}]}";
    private static final String TABLE = "{\"version\":41,\"full\":true,\"servers\":[" + ENTRY + "]}";

    @Test
    void aTableIsReadWithTheSettingsNumbers() throws IOException {
        var update = READER.read(TABLE);
        assertEquals(41, update.version());
        assertTrue(update.full());
        var entry = update.entries().get(0);
        assertEquals(new WorkerInfo("s-1", WorkerState.READY, 1, 1, 3, 1.5, 1_700_000_000_123_000L),
                entry.worker());
        assertEquals(new InetSocketAddress("10.1.0.18", 3000), entry.address());
    }

    @Test
    void whatIsNotKnownIsLetPassWhereItMayBe() throws IOException {
        var gone = READER.read("{\"servers\":[{\"id\":\"s\",\"state\":\"Gone\",\"kind\":\"m9\"}]}");
        assertEquals(new WorkerInfo("s", WorkerState.GONE, -1, 0, 0, 1, 0), gone.entries().get(0).worker());
    }

    @Test
    void whatIsMalformedIsNamed() {
        for (var bad : List.of("", "{}", "[]", TABLE + "x", TABLE.replace("Ready", "Odd"),
                TABLE.replace("\"id\"", "\"i\""),
                TABLE.replace("addr", "a"), TABLE.replace(":3000", ""), TABLE.replace("41", "\"x\""),
                TABLE.replace("10.1.0.18", "some.host"), TABLE.replace("3000", "99999"))) {
            assertThrows(IOException.class, () -> READER.read(bad), bad);
        }
    }

    @Property(seed = "5", tries = 2000)
    void aGarbledTableIsReadOrNamedAndNothingElse(@ForAll long seed) {
        var garbled = Bytes.garbage(TABLE.getBytes(StandardCharsets.UTF_8), seed);
        try {
            READER.read(new String(garbled, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }
}
