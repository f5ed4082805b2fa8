package ryemast;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import ryemast.core.Submission;
import ryemast.firing.Planned;
import ryemast.timetable.calendar.Entry;

/**
 * An entry of the entries file as it is fired: its calendar in microseconds, and the job of each fire, under
 * the module's numbers for class and tenant. Immutable.
 *
 * @param patience  how long a job may take from its hand-in, microseconds
 */
record PlannedEntry(Entry entry, int jobClass, int tenant, boolean runsOnce, long patience)
        implements Planned {

    private static final long SECOND = 1_000_000;
    /** In a trial that must fail: each process draws its jitter for itself. */
    private static final boolean BY_CHANCE =
            System.getProperty("ryemast.firing.careless", "").equals("jitter");

    private static Instant instant(long micros) {
        return Instant.ofEpochSecond(Math.floorDiv(micros, SECOND),
                TimeUnit.MICROSECONDS.toNanos(Math.floorMod(micros, SECOND)));
    }

    private static long micros(Instant at) {
        return at.getEpochSecond() * SECOND + TimeUnit.NANOSECONDS.toMicros(at.getNano());
    }

    @Override
    public String name() {
        return entry.name();
    }

    @Override
    public long window() {
        return TimeUnit.SECONDS.toMicros(entry.window().getSeconds());
    }

    @Override
    public Missed missed() {
        return Missed.valueOf(entry.missed().rule().name());
    }

    @Override
    public int maxMissedRuns() {
        return entry.missed().most();
    }

    @Override
    public Overlap overlap() {
        return Overlap.valueOf(entry.overlap().name());
    }

    @Override
    public long next(long after) {
        return entry.schedule().next(instant(after)).map(PlannedEntry::micros).orElse(NEVER);
    }

    @Override
    public long dueAt(long nominal) {
        long moment = micros(entry.schedule().moment(instant(nominal)));
        return BY_CHANCE ? nominal + (long) (Math.random() * 2 * (moment - nominal)) : moment;
    }

    @Override
    public Submission job(String txn, long nominal, long now) {
        return new Submission(txn, jobClass, tenant, 1, 0, 0, now + patience, entry.path(),
                bytes(entry.body()));
    }

    private static byte[] bytes(ByteBuffer body) {
        var bytes = new byte[body.remaining()];
        body.get(bytes);
        return bytes;
    }
}
