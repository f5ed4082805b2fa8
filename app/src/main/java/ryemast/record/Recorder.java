package ryemast.record;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.Logger;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;
import ryemast.core.Note;
import ryemast.core.Observer;
import ryemast.core.Submission;
import ryemast.record.Ring.Place;

/**
 * Records what an exchange does, without ever making it wait: the loop fills a place of a {@link Ring}, some
 * tens of nanoseconds, and a thread of its own empties the ring ten times a second onto the disk. What finds
 * no place is counted and the count recorded. Whatever goes wrong with the disk ends the recording, with one
 * warning; the dispatcher goes on. It holds no job's body and no more memory than its ring and one frame.
 *
 * <p>The writer is not woken by the loop, as that would cost each turn a system call; so the last tenth of a
 * second is lost where the program is killed.
 */
public final class Recorder implements Observer, AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Recorder.class.getName());
    private static final long PAUSE = TimeUnit.MILLISECONDS.toNanos(100);
    /** A frame is written out at this size, whatever else there is. */
    private static final int FRAME = 64 << 10;
    /** Looking how long a frame is costs more than a record does. */
    private static final int LOOK = 64;
    /** A program that ends waits no longer for its disk. */
    private static final long LAST_WAIT = TimeUnit.SECONDS.toMillis(1);
    private static final int ID_BYTES = 4;
    private static final long MICROS_PER_MS = 1000;

    /**
     * Where and how much.
     *
     * @param places  how many things may wait for the disk
     */
    public record Limits(Path folder, long partBytes, long totalBytes, int places) {
    }

    private final Ring ring;
    private final AtomicLong lost = new AtomicLong();
    private final Encoder encoder = new Encoder();
    private final Parts parts;
    private final Entry.Header header;
    private final Thread writer = new Thread(this::write, "recorder");
    private long lostTold;
    private int sinceLook;
    private long lastAt;
    private volatile boolean ending;
    private volatile boolean over;

    /** {@code settings}: as the platform gave them, JSON; {@code now}: on the loop's clock. */
    public Recorder(Limits limits, String dispatcher, String program, String settings, long now) {
        this(limits, dispatcher, program, settings, now, Parts.Disk.REAL);
    }

    Recorder(Limits limits, String dispatcher, String program, String settings, long now, Parts.Disk disk) {
        var id = new byte[ID_BYTES];
        new SecureRandom().nextBytes(id);
        var named = HexFormat.of().formatHex(id);
        ring = new Ring(limits.places());
        header = new Entry.Header(now, Layout.FORMAT, named, 0, dispatcher, program, settings);
        parts = new Parts(disk, limits.folder(), dispatcher, named, now / MICROS_PER_MS, limits.partBytes(),
                limits.totalBytes());
        lastAt = now;
        writer.setDaemon(true);
    }

    /** Records by a thread of its own from now on; without it, {@link #drain} is to be called. */
    public Recorder start() {
        writer.start();
        return this;
    }

    /** Whether it has ended, by a fault of the disk or in order. */
    public boolean over() {
        return over;
    }

    private void write() {
        while (!ending && !over) {
            LockSupport.parkNanos(PAUSE);
            drain();
        }
    }

    /** Writes out all that waits; by one thread only. */
    public void drain() {
        if (over) {
            // Goes on emptying nothing: the loop's next claim finds the ring full and counts, at no cost.
            return;
        }
        try {
            for (var place = ring.peek(); place != null; place = ring.peek()) {
                begin(place.at);
                lastAt = place.at;
                encoder.write(place);
                ring.release();
                if (++sinceLook >= LOOK) {
                    sinceLook = 0;
                    if (encoder.length() >= FRAME) {
                        flush();
                    }
                }
            }
            tellLost();
            flush();
        } catch (IOException | RuntimeException e) {
            stop(e);
        }
    }

    /** Each file begins with who wrote it and what it must know of before. */
    private void begin(long at) throws IOException {
        if (parts.full()) {
            flush();
            parts.next();
            encoder.header(new Entry.Header(at, header.format(), header.recording(), parts.part(),
                    header.dispatcher(), header.program(), header.settings()));
            flush();
        }
    }

    private void tellLost() throws IOException {
        long all = lost.get();
        if (all > lostTold) {
            begin(lastAt);
            encoder.dropped(lastAt, all - lostTold);
            lostTold = all;
        }
    }

    private void flush() throws IOException {
        int length = encoder.length();
        if (length > 0) {
            parts.write(encoder.bytes(), length);
            encoder.clear();
        }
    }

    private void stop(Exception cause) {
        over = true;
        Note.log(LOG, Level.WARNING, null, "recording has stopped, serving goes on: {file}: {cause}",
                "file", parts.file(), "cause", cause);
        try {
            parts.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "the recording's last file", e);
        }
    }

    /** Ends the recording in order, or gives up after a second if the disk does not take it. */
    @Override
    public void close() {
        ending = true;
        LockSupport.unpark(writer);
        try {
            writer.join(LAST_WAIT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (writer.isAlive()) {
            LOG.warning("the recording's end is not written: the disk takes too long");
            return;
        }
        drain();
        if (over) {
            return;
        }
        try {
            begin(lastAt);
            encoder.stopped(lastAt);
            flush();
            parts.close();
            over = true;
        } catch (IOException | RuntimeException e) {
            stop(e);
        }
    }

    private Place place(Kind type, long job, int attempt, long now) {
        var place = over ? null : ring.claim();
        if (place == null) {
            lost.lazySet(lost.getPlain() + 1);
            return null;
        }
        place.type = type;
        place.job = job;
        place.attempt = attempt;
        place.at = now;
        return place;
    }

    @Override
    public void taken(long number, Submission submission, long now) {
        job(place(Kind.TAKEN, number, 0, now), submission, now);
    }

    @Override
    public void turnedAway(Submission submission, long now) {
        job(place(Kind.TURNED_AWAY, 0, 0, now), submission, now);
    }

    private void job(Place place, Submission job, long now) {
        if (place != null) {
            // Field by field, as the whole would keep the body in memory.
            place.what = job.txn();
            place.one = job.jobClass();
            place.other = job.tenant();
            place.slots = job.slots();
            place.memory = job.memory();
            place.first = job.costHint();
            place.second = job.deadline() - now;
            ring.publish();
        }
    }

    @Override
    public void sent(long number, int attempt, String worker, long until, long now) {
        var place = place(Kind.SENT, number, attempt, now);
        if (place != null) {
            place.what = worker;
            place.first = until - now;
            ring.publish();
        }
    }

    @Override
    public void accepted(long number, int attempt, long now) {
        if (place(Kind.ACCEPTED, number, attempt, now) != null) {
            ring.publish();
        }
    }

    @Override
    public void started(long number, int attempt, long now) {
        if (place(Kind.STARTED, number, attempt, now) != null) {
            ring.publish();
        }
    }

    @Override
    public void progressed(long number, int attempt, double share, long now) {
        var place = place(Kind.PROGRESSED, number, attempt, now);
        if (place != null) {
            place.slots = share;
            ring.publish();
        }
    }

    @Override
    public void ended(long number, int attempt, Outcome outcome, long now) {
        var place = place(Kind.ENDED, number, attempt, now);
        if (place != null) {
            place.one = outcome.ordinal();
            ring.publish();
        }
    }

    @Override
    public void answered(long number, Answer answer, long retryAfter, long now) {
        var place = place(Kind.ANSWERED, number, 0, now);
        if (place != null) {
            place.one = answer.ordinal();
            place.first = retryAfter;
            ring.publish();
        }
    }

    @Override
    public void listed(ListKind kind, List<WorkerInfo> workers, long now) {
        var place = place(Kind.LISTED, 0, 0, now);
        if (place != null) {
            place.one = kind.ordinal();
            place.what = workers;
            ring.publish();
        }
    }
}
