package ryemast.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;
import ryemast.core.Submission;

class RecorderTest {

    private static final long BEGAN = 1_764_590_000_000_000L;
    private static final WorkerInfo ONE = new WorkerInfo("s-one", WorkerState.READY, 0, 1, 2, 2.5, 77);
    private static final WorkerInfo TWO = new WorkerInfo("s-two", WorkerState.DRAINING, 1, 0, 3, 4, 0);

    @TempDir
    private Path folder;

    private Recorder recorder(int places, long partBytes, long totalBytes, Parts.Disk disk) {
        return new Recorder(new Recorder.Limits(folder, partBytes, totalBytes, places), "n3", "0.9",
                "{\"areas\":[]}", BEGAN, disk);
    }

    private Recorder recorder() {
        return recorder(64, 1 << 20, 1 << 21, Parts.Disk.REAL);
    }

    private static void job(Recorder to, long number, long at) {
        to.taken(number, new Submission("txn-" + number, 1, 2, 1, 0, 5_000, at + 480_000, "/api/secret",
                "a body".getBytes(StandardCharsets.US_ASCII)), at);
        to.sent(number, 0, "s-one", at + 480_000, at + 10);
        to.accepted(number, 0, at + 20);
        to.started(number, 0, at + 30);
        to.progressed(number, 0, 0.25, at + 40);
        to.ended(number, 0, Outcome.SUCCESS, at + 50);
        to.answered(number, Answer.SERVED, 0, at + 50);
    }

    private List<Entry> read(List<String> warnings) throws IOException {
        var entries = new ArrayList<Entry>();
        warnings.addAll(RecordingReader.read(folder, entries::add).warnings());
        return entries;
    }

    private Path only() throws IOException {
        try (var all = Files.list(folder)) {
            var files = all.toList();
            assertEquals(1, files.size());
            return files.get(0);
        }
    }

    @Test
    void whatIsRecordedIsReadBack() throws IOException {
        var recorder = recorder();
        recorder.listed(ListKind.COMPLETE, List.of(ONE, TWO), BEGAN);
        job(recorder, 1, BEGAN + 100);
        recorder.turnedAway(new Submission("t", 0, 1, 2.5, 3, 0, BEGAN + 900, "/", new byte[0]), BEGAN + 400);
        recorder.drain();
        recorder.answered(9, Answer.REFUSED, 250_000, BEGAN + 500);
        recorder.close();
        var warnings = new ArrayList<String>();
        var entries = read(warnings);
        assertEquals(List.of(), warnings);
        var header = (Entry.Header) entries.get(0);
        assertEquals("n3 0.9 {\"areas\":[]} 1", header.dispatcher() + " " + header.program() + " "
                + header.settings() + " " + header.part());
        var list = (Entry.Listed) entries.get(1);
        assertEquals(ListKind.COMPLETE, list.kind());
        var one = list.workers().get(0);
        assertEquals(new Entry.Worker(0, one.nameHash(), WorkerState.READY, 0, 1, 2, 2.5, 77), one);
        assertEquals(WorkerState.DRAINING, list.workers().get(1).state());
        var taken = (Entry.Taken) entries.get(2);
        assertEquals(new Entry.Taken(BEGAN + 100, 1, taken.nameHash(), 1, 2, 1, 0, 5_000, 480_000), taken);
        assertEquals(List.of(new Entry.Sent(BEGAN + 110, 1, 0, 0, 479_990),
                new Entry.Accepted(BEGAN + 120, 1, 0),
                new Entry.Started(BEGAN + 130, 1, 0), new Entry.Progressed(BEGAN + 140, 1, 0, 0.25),
                new Entry.Ended(BEGAN + 150, 1, 0, Outcome.SUCCESS),
                new Entry.Answered(BEGAN + 150, 1, Answer.SERVED, 0)), entries.subList(3, 9));
        var away = (Entry.TurnedAway) entries.get(9);
        assertEquals("2.5 3.0 500", away.slots() + " " + away.memory() + " " + away.timeLeft());
        assertEquals(List.of(new Entry.Answered(BEGAN + 500, 9, Answer.REFUSED, 250_000),
                new Entry.Stopped(BEGAN + 500)), entries.subList(10, 12));
        var bytes = new String(Files.readAllBytes(only()), StandardCharsets.ISO_8859_1);
        for (var secret : List.of("txn-1", "s-one", "secret", "a body")) {
            assertTrue(!bytes.contains(secret), secret);
        }
    }

    @Test
    void aNameHashesAlikeWithinARecordingAndOtherwiseInTheNext() throws IOException {
        var hashes = new ArrayList<Long>();
        for (int i = 0; i < 2; i++) {
            var recorder = recorder();
            job(recorder, 1, BEGAN);
            job(recorder, 1, BEGAN + 100);
            recorder.close();
            for (var each : read(new ArrayList<>())) {
                if (each instanceof Entry.Taken taken) {
                    hashes.add(taken.nameHash());
                }
            }
            Files.delete(only());
        }
        assertEquals(hashes.get(0), hashes.get(1));
        assertEquals(hashes.get(2), hashes.get(3));
        assertTrue(!hashes.get(0).equals(hashes.get(2)));
    }

    /** Frame by frame, a file cut at any byte gives what is whole up to there and says that it was cut. */
    @Test
    void aFileCutAnywhereIsReadUpToItsLastWholeFrame() throws IOException {
        var recorder = recorder();
        var ends = new ArrayList<Long>();
        for (int i = 1; i <= 4; i++) {
            job(recorder, i, BEGAN + i * 1_000);
            recorder.drain();
            ends.add(Files.size(only()));
        }
        recorder.close();
        var file = only();
        var whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            var warnings = new ArrayList<String>();
            var entries = read(warnings);
            long jobs = entries.stream().filter(each -> each instanceof Entry.Answered).count();
            int length = cut;
            assertEquals(ends.stream().filter(end -> end <= length).count(), jobs, "cut at " + cut);
            assertTrue(!warnings.isEmpty(), "cut at " + cut);
        }
    }

    @Test
    void aDamagedFrameEndsWhatIsBelieved() throws IOException {
        var recorder = recorder();
        job(recorder, 1, BEGAN);
        recorder.drain();
        long first = Files.size(only());
        job(recorder, 2, BEGAN + 1_000);
        recorder.close();
        var whole = Files.readAllBytes(only());
        whole[(int) first + Layout.FRAME_HEAD + 3] ^= 1;
        Files.write(only(), whole);
        var warnings = new ArrayList<String>();
        assertEquals(1, read(warnings).stream().filter(each -> each instanceof Entry.Answered).count());
        assertTrue(warnings.get(0).endsWith("damaged at byte " + first + "; read up to there"),
                warnings.get(0));
    }

    @Test
    void whatIsNoRecordingIsRefused() throws IOException {
        assertThrows(IOException.class, () -> RecordingReader.read(folder, entry -> { }));
        var other = Files.writeString(folder.resolve("x.rec"), "something else entirely");
        assertTrue(assertThrows(IOException.class, () -> RecordingReader.read(other, entry -> { }))
                .getMessage().contains("is no recording"));
    }

    @Test
    void whatFindsNoPlaceIsCountedAndTheCountRecorded() throws IOException {
        var recorder = recorder(8, 1 << 20, 1 << 21, Parts.Disk.REAL);
        for (int i = 0; i < 20; i++) {
            recorder.answered(i, Answer.FAILED, 0, BEGAN + i);
        }
        recorder.drain();
        recorder.answered(20, Answer.FAILED, 0, BEGAN + 20);
        recorder.close();
        var entries = read(new ArrayList<>());
        assertEquals(9, entries.stream().filter(each -> each instanceof Entry.Answered).count());
        assertEquals(List.of(new Entry.Dropped(BEGAN + 7, 12)),
                entries.stream().filter(each -> each instanceof Entry.Dropped).toList());
    }

    /** A disk on which only so many bytes fit. */
    private static Parts.Disk small(int bytes) {
        var left = new int[] {bytes};
        return file -> {
            OutputStream real = Files.newOutputStream(file);
            return new FilterOutputStream(real) {
                @Override
                public void write(byte[] content, int from, int length) throws IOException {
                    int fits = Math.min(length, left[0]);
                    out.write(content, from, fits);
                    left[0] -= fits;
                    if (fits < length) {
                        throw new IOException("No space left on device");
                    }
                }
            };
        };
    }

    @Test
    void aFullDiskEndsTheRecordingAndNothingElse() throws IOException {
        var recorder = recorder(64, 1 << 20, 1 << 21, small(600));
        for (int i = 1; i <= 30; i++) {
            job(recorder, i, BEGAN + i * 1_000);
            recorder.drain();
        }
        assertTrue(recorder.over());
        recorder.close();
        var warnings = new ArrayList<String>();
        long jobs = read(warnings).stream().filter(each -> each instanceof Entry.Answered).count();
        assertTrue(jobs >= 3 && jobs < 30, jobs + " jobs");
        assertTrue(warnings.get(0).contains("cut short"), warnings.toString());
    }

    @Test
    void filesGrowSoFarAndTheOldestGo() throws IOException {
        var recorder = recorder(64, 1_000, 4_000, Parts.Disk.REAL);
        recorder.listed(ListKind.COMPLETE, List.of(ONE, TWO), BEGAN);
        recorder.listed(ListKind.CHANGES, List.of(new WorkerInfo("s-two", WorkerState.GONE, 1, 0, 3, 4, 0)),
                BEGAN);
        for (int i = 1; i <= 200; i++) {
            job(recorder, i, BEGAN + i * 1_000);
            recorder.drain();
        }
        recorder.close();
        long total = 0;
        try (var all = Files.list(folder)) {
            for (var file : all.toList()) {
                assertTrue(Files.size(file) < 1_200, file + " " + Files.size(file));
                total += Files.size(file);
            }
        }
        assertTrue(total <= 4_200, total + " bytes");
        var entries = read(new ArrayList<>());
        assertTrue(((Entry.Header) entries.get(0)).part() > 10);
        assertEquals(List.of(0), ((Entry.Listed) entries.get(1)).workers().stream().map(Entry.Worker::number)
                .toList());
        assertEquals(200, entries.stream().filter(each -> each instanceof Entry.Answered)
                .mapToLong(each -> ((Entry.Answered) each).job()).max().orElse(0));
    }
}
