package ryemast.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import ryemast.net.Bytes;

class FramesTest {

    private static Fields message() {
        return new Fields().with("t", "submit").with("n", 7).with("flag", true)
                .with("body", new byte[] {0, -1, 9})
                .with("parts",
                        List.of(new Fields().with("count", 3)
                        .with("template", new Fields().with("class", "ä"))))
                .with("jobs", List.of("1.1", "1.2")).with("numbers", List.of(1L, -5L, Long.MAX_VALUE));
    }

    private static List<Fields> read(List<ByteBuffer> pieces, int longest) throws WireException {
        var frames = new Frames(longest);
        var found = new ArrayList<Fields>();
        for (var piece : pieces) {
            frames.take(piece.array(), piece.position(), piece.remaining(), found::add);
        }
        return found;
    }

    @Property(tries = 500)
    void howeverTheNetworkCutsThemFramesComeWhole(@ForAll long seed) throws WireException {
        var two = ByteBuffer.allocate(2 * Frames.of(message()).length).put(Frames.of(message()))
                .put(Frames.of(message())).array();
        var found = read(Bytes.cut(two, seed), Frames.LONGEST);
        assertEquals(2, found.size());
        for (var each : found) {
            assertEquals("submit", each.text("t"));
            assertEquals(7, each.whole("n", 0, 9));
            assertTrue(each.flag("flag"));
            assertArrayEquals(new byte[] {0, -1, 9}, each.bytes("body", 3));
            assertEquals("ä", each.list("parts").get(0).fields("template").text("class"));
            assertEquals(List.of("1.1", "1.2"), each.texts("jobs"));
            assertEquals(List.of(1L, -5L, Long.MAX_VALUE), each.wholes("numbers"));
        }
    }

    /** Whatever comes, it ends with messages or one error that says what is wrong, and nothing else. */
    @Property(tries = 3_000)
    void garbageIsAnErrorAndNothingWorse(@ForAll long seed) {
        try {
            read(Bytes.cut(Bytes.garbage(Frames.of(message()), seed), seed), 4_096);
        } catch (WireException e) {
            assertTrue(e.getMessage() != null && !e.getMessage().isEmpty());
        }
    }

    @Test
    void aLengthBeyondWhatIsAllowedIsAnErrorBeforeItsBytesCome() {
        for (var head : new byte[][] {{0, 0, 0, 0}, {0, 1, 0, 0}, {-1, -1, -1, -1}, {127, -1, -1, -1}}) {
            assertThrows(WireException.class, () -> read(List.of(ByteBuffer.wrap(head)), 4_096));
        }
    }

    /** A few bytes must not make a reader take much memory, or go deep. */
    @Test
    void lengthsAndDepthsThatBytesDoNotBackAreNotBelieved() {
        var deep = new byte[200];
        java.util.Arrays.fill(deep, (byte) 0x81);
        deep[0] = (byte) 0xa1;
        deep[1] = 0x61;
        deep[2] = 'x';
        var bytes = new byte[] {(byte) 0xa1, 0x61, 'x', 0x5b, 0, 0, 0, 0, 127, 0, 0, 0};
        var list = new byte[] {(byte) 0xa1, 0x61, 'x', (byte) 0x9b, 0, 0, 0, 0, 127, 0, 0, 0};
        var twice = new byte[] {(byte) 0xa2, 0x61, 'x', 1, 0x61, 'x', 2};
        var more = new byte[] {(byte) 0xa0, (byte) 0xa0};
        var fraction = new byte[] {(byte) 0xa1, 0x61, 'x', (byte) 0xf9, 0x3c, 0};
        for (var each : List.of(deep, bytes, list, twice, more, fraction)) {
            assertThrows(WireException.class, () -> Cbor.read(each));
        }
    }

    @Test
    void anErrorNamesThePlace() throws WireException {
        var part = Cbor.read(Cbor.write(message())).at("submit").list("parts").get(0).at("submit.parts[0]");
        var missing = assertThrows(WireException.class, () -> part.fields("template").text("target"));
        assertEquals("submit.parts[0].template.target: is missing", missing.getMessage());
        var kind = assertThrows(WireException.class, () -> part.text("count"));
        assertEquals("submit.parts[0].count: must be a text", kind.getMessage());
        var range = assertThrows(WireException.class, () -> part.whole("count", 1, 2));
        assertEquals("submit.parts[0].count: must be from 1 to 2, not 3", range.getMessage());
    }
}
