package ryemast.firing;

import ryemast.core.Submission;

/** Every so many seconds, with a jitter of under a second. */
record ModelEntry(String name, boolean runsOnce, long window, Missed missed, int maxMissedRuns,
        Overlap overlap, long period, long phase, Process.Replica replica, World world) implements Planned {

    private static final long MS = 1_000;
    private static final int PATIENCE = 8_000;

    @Override
    public long next(long after) {
        return (Math.floorDiv(after - phase, period) + 1) * period + phase;
    }

    @Override
    public long dueAt(long nominal) {
        if (world.flaw == Flaw.JITTER_BY_CHANCE && replica != null) {
            long drawn = (nominal / MS + replica.name.hashCode() * 7_919L) * 0x9E3779B97F4A7C15L;
            return nominal + Math.floorMod(drawn >>> 20, 2_500L) * MS;
        }
        return jittered(name, nominal);
    }

    static long jittered(String name, long nominal) {
        return nominal + Math.floorMod(nominal / MS * 31 + name.hashCode(), 900L) * MS;
    }

    @Override
    public Submission job(String txn, long nominal, long now) {
        replica.process.making();
        return world.random.nextInt(20) == 0 ? null
                : new Submission(txn, 0, 0, 1, 0, 0, now + PATIENCE * MS, "/", new byte[0]);
    }
}
