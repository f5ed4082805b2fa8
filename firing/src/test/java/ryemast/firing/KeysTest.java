package ryemast.firing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import ryemast.coordination.Coordination;
import ryemast.timetable.RecordContent;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.ScheduledJob;
import ryemast.timetable.VersionedRecord;

class KeysTest {

    private static final long NOMINAL = 1_796_083_200_000_000L;

    private static VersionedRecord read(String key, byte[] value) {
        return Keys.seen(new Coordination.Entry(key, value, 7));
    }

    @Test
    void whatIsWrittenIsReadAgainAndSmall() {
        var life = new ExecutionRecord(State.ENDED, "r1", 12, 100_000, true, NOMINAL + 1, NOMINAL + 2,
                How.FAILED, "it \"failed\"");
        var claim = new ExecutionRecord(State.CLAIMED, "dispatcher-1", 123_456, 0, false, NOMINAL, NOMINAL,
                How.NONE, "");
        for (RecordContent content : List.of(life, claim, new Watermark(NOMINAL, 3, 4))) {
            long nominal = content instanceof Watermark ? VersionedRecord.WATERMARK : NOMINAL;
            var key = Keys.key("weekly.pack", nominal);
            assertEquals(new VersionedRecord("weekly.pack", nominal, content, 7),
                    read(key, Keys.bytes(content)));
            assertTrue(Keys.bytes(content).length <= 180, Keys.bytes(content).length + " bytes");
        }
        assertEquals("fires/weekly.pack/20261201T000000Z", Keys.key("weekly.pack", NOMINAL));
    }

    @Test
    void whatCantBeReadIsLeftAloneAndAMarkIsNamed() {
        var bad = "{}".getBytes(StandardCharsets.UTF_8);
        assertNull(read("fires/e/20261201T000000Z", bad));
        assertNull(read("fires/e/tomorrow", bad));
        assertEquals(new VersionedRecord("e", VersionedRecord.WATERMARK, null, 7),
                read("fires/e/mark", new byte[] {1}));
    }

    private static Planned entry(String name) {
        return new ModelEntry(name, true, 1, ScheduledJob.Missed.SKIP, 1, ScheduledJob.Overlap.ALLOW, 1, 0,
                null, null);
    }

    @Test
    void namesFitIntoKeysAndJobs() {
        var name = "n".repeat(80);
        var entry = entry(name);
        assertEquals(1, new Plan(1, "d", List.of(entry)).entries().size());
        assertTrue(Firing.name(name, NOMINAL, Integer.MAX_VALUE).length() <= 128);
        var bad = entry("a/b");
        assertThrows(IllegalArgumentException.class, () -> new Plan(1, "d", List.of(bad)));
        assertThrows(IllegalArgumentException.class, () -> new Plan(0, "d", List.of(entry)));
    }
}
