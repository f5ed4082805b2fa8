package ryemast.firing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.coordination.Coordination;
import ryemast.coordination.Step;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.ScheduledJob;

/** Judges by the records and by what reached the worker, not by what any replica believes. */
final class Books {

    /** A fire over its whole life. */
    static final class Fire {
        final String entry;
        final long nominal;
        final long madeAt;
        ExecutionRecord life;
        long changedAt;
        long sentAt;
        int ends;
        int ran;

        Fire(String entry, long nominal, long madeAt) {
            this.entry = entry;
            this.nominal = nominal;
            this.madeAt = madeAt;
        }
    }

    private final World world;
    final List<String> breaches = new ArrayList<>();
    final Map<String, Fire> fires = new TreeMap<>();
    final Map<String, Watermark> marks = new HashMap<>();
    final Map<String, Integer> ends = new TreeMap<>();
    /** From the kill of a holder to another's claim, milliseconds. */
    final List<Long> takeovers = new ArrayList<>();

    Books(World world) {
        this.world = world;
    }

    void breach(String what) {
        breaches.add(world.now / 1_000 + " ms: " + what);
    }

    void changed(Step step, Process by) {
        for (var change : step.changes()) {
            if (!change.key().startsWith(Keys.FIRES)) {
                continue;
            }
            var entry = Keys.entry(change.key());
            if (change.kind() == Step.Kind.REMOVE) {
                removed(change.key());
            } else if (change.kind() == Step.Kind.PUT) {
                var seen = Keys.seen(new Coordination.Entry(change.key(), change.value(), 1));
                if (seen.content() instanceof Watermark mark) {
                    marked(entry, mark, step, by);
                } else {
                    changed(change.key(), entry, seen.scheduledTime(), (ExecutionRecord) seen.content(), by);
                }
            }
        }
    }

    private void removed(String key) {
        var fire = fires.get(key);
        if (fire != null && fire.ends == 0) {
            breach(key + " was removed before its end");
        }
    }

    private void changed(String key, String entry, long nominal, ExecutionRecord life, Process by) {
        var fire = fires.get(key);
        boolean claimed = life.state() == State.CLAIMED && life.attempt() == 0;
        if (fire == null) {
            fire = new Fire(entry, nominal, world.now);
            fires.put(key, fire);
            if (World.revision(world.kv) > by.replica.plan.revision()) {
                breach(key + " was claimed by an old revision");
            }
        } else if (claimed && fire.life.state() == State.CLAIMED || fire.ends > 0 && claimed) {
            breach(key + " was claimed anew");
        }
        if (life.fence() != world.kv.version("fences/" + life.holder())) {
            breach(key + " was changed under an old fence");
        }
        if (!life.holder().equals(by.replica.name)) {
            breach(key + " was changed in another's name");
        }
        if (fire.ends > 0) {
            breach(key + " was changed after its end");
        }
        if (life.state() == State.SENT) {
            fire.sentAt = world.now;
        }
        if (life.state() == State.ENDED || life.state() == State.UNKNOWN) {
            fire.ends++;
            ended(key, fire, life);
            world.dropMark(entry);
        }
        long killed = fire.life == null || life.attempt() - fire.life.attempt() < 50_000 ? 0
                : world.killedAt(fire.life.holder());
        if (killed > fire.changedAt) {
            takeovers.add((world.now - killed) / 1_000);
        }
        fire.life = life;
        fire.changedAt = world.now;
    }

    private void ended(String key, Fire fire, ExecutionRecord life) {
        ends.merge(life.state() == State.UNKNOWN ? "UNKNOWN" : life.outcome().name(), 1, Integer::sum);
        boolean hasRun = fire.ran > 0;
        if (life.outcome() == How.SERVED && !hasRun || life.outcome() == How.LATE && hasRun
                || life.outcome() == How.REFUSED && hasRun) {
            breach(key + " ended as " + life.outcome() + " and ran " + fire.ran + " times");
        }
        if (life.state() == State.UNKNOWN && life.runsOnce()
                && !world.struck(fire.life.holder(), fire.sentAt - 10_000_000, world.now)) {
            breach(key + " is unknown for no reason");
        }
    }

    /** Every nominal time is claimed, or counted as missed or skipped. */
    private void marked(String entry, Watermark mark, Step step, Process by) {
        var before = marks.put(entry, mark);
        var key = Keys.key(entry, mark.scheduledTime());
        if (before == null) {
            return;
        }
        // One that is not overruled may be that far off from a right one, which may be off by half itself.
        if (by.clocksAgree() && mark.scheduledTime() > World.WALL + world.now + World.BOUND * 3 / 2
                + 2_000_000) {
            breach(entry + "'s mark went ahead of what most clocks say");
        }
        if (mark.scheduledTime() <= before.scheduledTime()) {
            breach(entry + "'s mark went back");
            return;
        }
        boolean claims = step.changes().stream().anyMatch(each -> each.key().equals(key)
                && each.version() == Coordination.ABSENT && each.kind() == Step.Kind.PUT);
        long passed = mark.missed() - before.missed() + mark.skipped() - before.skipped();
        long count = 0;
        var planned = world.entry(entry);
        for (long at = planned.next(before.scheduledTime()); at <= mark.scheduledTime(); at =
                planned.next(at)) {
            count++;
        }
        if (count != passed + (claims ? 1 : 0)) {
            breach(entry + ": " + count + " fires, " + passed + " of them passed over, claimed: " + claims);
        }
        if (world.quiet() && world.current(entry).overlap() == ScheduledJob.Overlap.ALLOW
                && mark.missed() > before.missed()
                && planned.dueAt(before.scheduledTime()) > world.settledWall()) {
            breach(entry + " missed " + (mark.missed() - before.missed()) + " though nothing was wrong");
        }
    }

    void started(Process by, String txn, boolean runs) {
        var parts = txn.split("-");
        var key = Keys.FIRES + parts[1] + "/" + parts[2];
        var fire = fires.get(key);
        var fence = by.fence();
        if (fence == null || fence.version() != world.kv.version(fence.key())) {
            breach(txn + " was sent by " + by.replica.name + " after its lease");
        }
        if (fire == null) {
            breach(txn + " was sent before any record");
            return;
        }
        if (fire.life.runsOnce()) {
            var recorded = new String(world.kv.get(key) == null ? new byte[0] : world.kv.get(key).value(),
                    StandardCharsets.UTF_8);
            if (fire.life.state() != State.SENT || fire.life.attempt() != Integer.parseInt(parts[3])) {
                breach(txn + " was sent though the record says " + recorded);
            }
        }
        fire.ran += runs ? 1 : 0;
        if (fire.life.runsOnce() && fire.ran > 1) {
            breach(txn + " ran twice");
        }
    }

    /** When all is over. */
    void close() {
        for (var each : fires.entrySet()) {
            var fire = each.getValue();
            if (fire.ends == 0 && world.now - Math.max(fire.changedAt, world.quietAt) > 40_000_000) {
                breach(each.getKey() + " has no end: " + fire.life);
            }
        }
        world.owed().forEach(this::breach);
    }
}
