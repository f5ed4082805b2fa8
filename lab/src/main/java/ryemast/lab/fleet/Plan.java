package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import ryemast.lab.fleet.Strike.Disk;
import ryemast.lab.fleet.StrikeKind.Struck;
import ryemast.lab.fleet.StrikeTable.Wanted;
import ryemast.lab.world.Chance;

/**
 * All that a trial does, drawn whole before its start: the same file and seed give the same plan, whatever
 * the run then looks like. No process is struck in two ways at once that exclude each other, as many as the
 * file says are always left alone, and all is taken back before the run's quiet end.
 *
 * @param atOnce   how many processes start with the site: those of the lowest numbers
 * @param strikes  in the order of time
 */
public record Plan(int atOnce, List<Strike> strikes) {

    private static final double MICROS = 1e6;
    /** A process that starts is taken for up after this; it takes less than one on a machine at rest. */
    static final long STARTS = 2_500_000;
    /** One that is told to end has ended by then (at the latest by SIGKILL). */
    static final long ENDS = 4_500_000;
    /** What one that stood still needs to catch up. */
    private static final long CATCHES_UP = 500_000;

    /**
     * What limits a plan.
     *
     * @param processes  how many there are
     * @param atOnce     how many start with the site
     * @param leastUp    how many are left alone at any time
     * @param end        when all must be taken back, in microseconds
     */
    record Limits(int processes, int atOnce, int leastUp, long end) {
    }

    static Plan draw(List<StrikeTable> tables, Limits limits, Chance chance) {
        var wanted = new ArrayList<Wanted>();
        for (var table : tables) {
            wanted.addAll(table.wanted(chance.stream("fleet " + table.key(), 0)));
        }
        wanted.sort(Comparator.comparingDouble(Wanted::at));
        var draw = new Draw(limits);
        wanted.forEach(draw::strike);
        draw.strikes.sort(Comparator.comparingLong(Strike::at));
        return new Plan(limits.atOnce, List.copyOf(draw.strikes));
    }

    /** How things stand at the time that the draw has come to. */
    private static final class Draw {
        private final Limits limits;
        private final List<Strike> strikes = new ArrayList<>();
        private final boolean[] up;
        private final long[] processFree;
        private final long[] linkFree;
        private final long[] clockFree;
        private final long[] peersFree;
        private long agentFree;
        private long timetableFree;

        Draw(Limits limits) {
            this.limits = limits;
            up = new boolean[limits.processes];
            processFree = new long[limits.processes];
            linkFree = new long[limits.processes];
            clockFree = new long[limits.processes];
            peersFree = new long[limits.processes];
            for (int i = 0; i < limits.atOnce; i++) {
                up[i] = true;
            }
        }

        void strike(Wanted one) {
            long at = Math.round(one.at() * MICROS);
            var random = one.random();
            var kind = one.kind();
            if (at >= limits.end - kind.aims()) {
                return;
            }
            if (kind.struck() == Struck.AGENT) {
                if (agentFree <= at) {
                    agentFree = add(one, at, Strike.AGENT).lasts() + at;
                }
                return;
            }
            var could = new ArrayList<Integer>();
            for (int i = 0; i < limits.processes; i++) {
                if (couldBe(kind, i, at)) {
                    could.add(i);
                }
            }
            int count = Math.min(one.table().count(could.size(), random), could.size());
            for (int i = 0; i < count; i++) {
                int target = could.remove(random.nextInt(could.size()));
                if (couldBe(kind, target, at)
                        && (!kind.disables() || wellBeside(target, at) >= limits.leastUp)) {
                    occupy(add(one, at, target));
                }
            }
        }

        private boolean couldBe(StrikeKind kind, int process, long at) {
            return switch (kind.struck()) {
                case PROCESS -> up[process] != (kind == StrikeKind.START) && processFree[process] <= at;
                case LINK -> up[process] && linkFree[process] <= at;
                case TIMETABLE -> up[process] && timetableFree <= at;
                case CLOCK -> clockFree[process] <= at;
                case DISK -> up[process] && processFree[process] <= at;
                case PEERS -> peersFree[process] <= at;
                case AGENT -> false;
            };
        }

        private boolean isWell(int process, long at) {
            return up[process] && processFree[process] <= at && linkFree[process] <= at;
        }

        private int wellBeside(int process, long at) {
            int count = 0;
            for (int i = 0; i < limits.processes; i++) {
                count += i != process && isWell(i, at) ? 1 : 0;
            }
            return count;
        }

        private Strike add(Wanted one, long at, int target) {
            var kind = one.kind();
            UniformRandomProvider random = one.random();
            long lasts = Math.round(one.table().lastsS(kind, random) * MICROS);
            var disk = one.table().disk(kind, random);
            long copiedAt = disk == Disk.OLD ? (long) (random.nextDouble() * at) : 0;
            var strike = new Strike(at, kind, target, Math.min(lasts, limits.end - kind.aims() - at),
                    one.table().size(kind, random), disk, copiedAt);
            strikes.add(strike);
            return strike;
        }

        private void occupy(Strike strike) {
            int process = strike.target();
            long until = strike.at() + strike.lasts();
            switch (strike.kind()) {
                case KILL -> processFree[process] = until + STARTS;
                case START -> {
                    up[process] = true;
                    processFree[process] = until + STARTS;
                }
                case STOP -> {
                    up[process] = false;
                    processFree[process] = until + ENDS;
                }
                case RESTART -> processFree[process] = until + ENDS + STARTS;
                case PAUSE, PAUSE_WAITING ->
                        processFree[process] = until + strike.kind().aims() + CATCHES_UP;
                case REVISE -> timetableFree = until;
                case DISK_FULL -> processFree[process] = until;
                case CLOCK_STEP, CLOCK_DRIFT -> clockFree[process] = until;
                case CUT, CUT_UP, CUT_DOWN, SLOW -> linkFree[process] = until;
                case PEERS_CUT, PEERS_CUT_UP, PEERS_CUT_DOWN, PEERS_SLOW, PEERS_LOST, PEERS_TWICE,
                        PEERS_AGAIN ->
                        peersFree[process] = until;
                default -> { }
            }
        }
    }
}
