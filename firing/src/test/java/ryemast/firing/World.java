package ryemast.firing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiFunction;
import ryemast.coordination.Step;
import ryemast.fleet.FleetView;
import ryemast.firing.Process.Replica;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.ScheduledJob;
import ryemast.timetable.Limits;

/** A fleet, its records and its faults in a played time, all drawn from one seed. */
final class World {

    static final long START = 7_000_000_000L;
    static final long WALL = 1_796_000_000_000_000L;
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;
    private static final long QUIET = 36 * SECOND;
    private static final long END = 90 * SECOND;
    /** After the last fault: leases lapse, and what was held by others is looked at again. */
    private static final long SETTLES = 24 * SECOND;
    private static final long LATE = 1_500 * MS;
    static final long BOUND = 30 * SECOND;
    private static final long HEARD = 8 * SECOND;
    /** An entry's mark is forgotten after more than all the clock's steps add up to. */
    static final Limits LIMITS = new Limits(10 * SECOND, 4, 16, 40, 3, 24 * HOUR);

    enum Kind { KILL, STOP, STOP_IN_TURN, CUT, LOSSY, SLOW, AWAY, WALL }

    private record Event(long at, long number, Runnable step) {
    }

    /** {@code on}: null: on all. */
    private record Fault(Kind kind, String on, long from, long to) {
    }

    final Random random;
    final Flaw flaw;
    final Books books = new Books(this);
    final Kv kv = new Kv(books);
    final long quietAt = QUIET;
    long now;
    boolean away;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.at != other.at
            ? Long.compare(one.at, other.at) : Long.compare(one.number, other.number));
    private final List<Replica> replicas = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();
    private final Map<Long, Map<String, ModelEntry>> timetables = new TreeMap<>();
    private Map<String, Watermark> marksAtQuiet = Map.of();
    private long lastEvent;
    private boolean replaced;
    private boolean hourly;

    World(long seed, Flaw flaw) {
        random = new Random(seed * 0x5DEECE66DL + 11);
        this.flaw = flaw;
    }

    void in(long delay, Runnable step) {
        events.add(new Event(now + Math.max(0, delay), lastEvent++, step));
    }

    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            var event = events.poll();
            now = Math.max(now, event.at);
            event.step.run();
        }
        now = Math.max(now, until);
    }

    World play() {
        plan();
        int size = 2 + random.nextInt(7);
        for (int i = 0; i < size; i++) {
            var replica = new Replica("r" + i, 1 + (random.nextDouble() - 0.5) * 0.015, null);
            replica.plan = plan(1, replica);
            replicas.add(replica);
            in(random.nextInt(2_000) * MS, () -> start(replica));
        }
        hourly = random.nextInt(5) == 0;
        for (int i = 3 + random.nextInt(10); i > 0; i--) {
            in(4 * SECOND + random.nextInt(30_000) * MS, this::strike);
        }
        if (random.nextBoolean()) {
            in(5 * SECOND + random.nextInt(25_000) * MS, this::replace);
        }
        in(QUIET, this::mend);
        runUntil(END);
        books.close();
        replicas.forEach(this::kill);
        return this;
    }

    private void plan() {
        int count = 3 + random.nextInt(7);
        var first = new TreeMap<String, ModelEntry>();
        var second = new TreeMap<String, ModelEntry>();
        long[] periods = {3, 5, 8, 13, 30};
        for (int i = 0; i < count; i++) {
            long period = periods[random.nextInt(periods.length)] * SECOND;
            long phase = random.nextInt(30) * SECOND;
            first.put("e" + i, draw("e" + i, period, phase));
            if (random.nextInt(4) > 0) {
                second.put("e" + i, random.nextBoolean() ? first.get("e" + i) : draw("e" + i, period, phase));
            }
        }
        second.put("f", draw("f", 5 * SECOND, 0));
        timetables.put(1L, first);
        timetables.put(2L, second);
    }

    private ModelEntry draw(String name, long period, long phase) {
        return new ModelEntry(name, random.nextBoolean(), (2 + random.nextInt(30)) * SECOND,
                ScheduledJob.Missed.values()[random.nextInt(3)], 1 + random.nextInt(3),
                ScheduledJob.Overlap.values()[random.nextInt(3)], period, phase, null, this);
    }

    private Plan plan(long revision, Replica replica) {
        return new Plan(revision, "digest" + revision, timetables.get(revision).values().stream()
                .map(each -> new ModelEntry(each.name(), each.runsOnce(), each.window(), each.missed(),
                        each.maxMissedRuns(), each.overlap(), each.period(), each.phase(), replica, this))
                .toList());
    }

    ModelEntry entry(String name) {
        var found = timetables.get(1L).get(name);
        return found == null ? timetables.get(2L).get(name) : found;
    }

    /** By the timetable that counts; one that it lacks, as it was. */
    ModelEntry current(String name) {
        var found = timetables.get(Math.max(1, revision(kv))).get(name);
        return found == null ? entry(name) : found;
    }

    private BiFunction<String, FleetView, String> owners() {
        long salt = flaw == Flaw.OWNER_BY_CHANCE ? random.nextLong() : 0;
        return (entry, view) -> view.members().stream().max((one, other) -> Long.compare(
                weight(entry, one, salt), weight(entry, other, salt))).orElse("");
    }

    private static long weight(String entry, String member, long salt) {
        long mixed = (entry.hashCode() * 31L + member.hashCode() + salt) * 0x9E3779B97F4A7C15L;
        return (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L >>> 1;
    }

    private void start(Replica replica) {
        replica.process = new Process(this, replica, owners());
    }

    private void kill(Replica replica) {
        if (replica.process != null) {
            replica.process.dead = true;
            replica.process.firing.close();
        }
    }

    private void strike() {
        var kind = Kind.values()[random.nextInt(Kind.values().length)];
        var replica = replicas.get(random.nextInt(replicas.size()));
        boolean all = kind == Kind.AWAY || kind == Kind.KILL && random.nextInt(6) == 0;
        long lasts = (long) (100 * MS * Math.pow(120, random.nextDouble()));
        faults.add(new Fault(kind, all ? null : replica.name, now, now + lasts));
        switch (kind) {
            case KILL -> (all ? replicas : List.of(replica)).forEach(each -> {
                kill(each);
                if (random.nextInt(4) > 0) {
                    in(random.nextInt(12_000) * MS, () -> restart(each));
                }
            });
            case STOP -> replica.stoppedUntil = now + lasts;
            case STOP_IN_TURN -> replica.stopInTurn = lasts;
            case CUT -> {
                replica.cut = true;
                in(lasts, () -> replica.cut = false);
            }
            case LOSSY -> {
                replica.lossy = true;
                in(lasts, () -> replica.lossy = false);
            }
            case SLOW -> {
                replica.slow = true;
                in(lasts, () -> replica.slow = false);
            }
            case AWAY -> {
                away = true;
                in(lasts, () -> away = false);
            }
            case WALL -> set(replica, replica.wallOff + (hourly ? (random.nextBoolean() ? HOUR : -HOUR)
                    : (random.nextInt(80_000) - 40_000) * MS));
            default -> throw new IllegalStateException(kind.name());
        }
    }

    private void set(Replica replica, long off) {
        replica.setAt = replica.wallOff == off ? replica.setAt : now;
        replica.wallOff = off;
    }

    /** Within half the bound, and for so long that all have heard of it who have heard of anything. */
    boolean tellsRight(String name) {
        var replica = replicas.get(Integer.parseInt(name.substring(1)));
        return Math.abs(replica.wallOff) < BOUND / 2 && now - replica.setAt > HEARD;
    }

    private void restart(Replica replica) {
        if (replica.process == null || replica.process.dead) {
            if (replaced && random.nextBoolean()) {
                replica.plan = plan(2, replica);
            }
            start(replica);
        }
    }

    private void replace() {
        replaced = true;
        for (var replica : replicas) {
            if (random.nextInt(10) < 7) {
                in(random.nextInt(5_000) * MS, () -> {
                    replica.plan = plan(2, replica);
                    if (replica.process != null && !replica.process.dead) {
                        replica.process.answer(0, () -> replica.process.firing.replace(replica.plan));
                    }
                });
            }
        }
    }

    /** From here on nothing is wrong any more; one replica at least lives and has the latest timetable. */
    private void mend() {
        away = false;
        for (var replica : replicas) {
            replica.cut = false;
            replica.lossy = false;
            replica.slow = false;
            set(replica, 0);
            replica.stopInTurn = 0;
            replica.stoppedUntil = Math.min(replica.stoppedUntil, now);
            boolean needed = replica == replicas.get(0);
            if (needed && replaced && replica.plan.revision() == 1) {
                replica.plan = plan(2, replica);
                kill(replica);
                faults.add(new Fault(Kind.KILL, replica.name, now, now));
            }
            if (needed || random.nextBoolean()) {
                restart(replica);
            }
        }
        in(SETTLES, () -> marksAtQuiet = new HashMap<>(books.marks));
    }

    boolean quiet() {
        return now > QUIET + SETTLES;
    }

    /** Fires due from then on, by the wall clock, must come in time. */
    long settledWall() {
        return WALL + QUIET + SETTLES;
    }

    boolean struck(String replica, long from, long to) {
        return faults.stream().anyMatch(each -> (each.on == null || each.on.equals(replica))
                && each.from <= to && (each.to >= from || each.kind == Kind.STOP_IN_TURN));
    }

    /** When a replica was killed last; 0: never. */
    long killedAt(String replica) {
        return faults.stream().filter(each -> each.kind == Kind.KILL && replica.equals(each.on))
                .mapToLong(each -> each.from).max().orElse(0);
    }

    /** What is owed when nothing has been wrong for long: each fire at its time. */
    List<String> owed() {
        var found = new ArrayList<String>();
        var current = timetables.get(revision(kv));
        for (var entry : current == null ? List.<ModelEntry>of() : current.values()) {
            var mark = marksAtQuiet.get(entry.name());
            if (mark == null) {
                found.add(entry.name() + " has no mark");
            }
            if (mark == null || entry.overlap() != ScheduledJob.Overlap.ALLOW) {
                continue;
            }
            long from = Math.max(settledWall(), mark.scheduledTime());
            for (long at = entry.next(from); at < WALL + now - 5 * SECOND; at = entry.next(at)) {
                var key = Keys.key(entry.name(), at);
                var fire = books.fires.get(key);
                long moment = ModelEntry.jittered(entry.name(), at);
                if (fire == null) {
                    found.add(key + " never came");
                } else if (WALL + fire.madeAt > moment + LATE || WALL + fire.madeAt < moment - LATE / 10) {
                    found.add(key + " came " + (WALL + fire.madeAt - moment) / MS + " ms after its moment");
                }
            }
        }
        return found;
    }

    static long revision(Kv kv) {
        var entry = kv.get(Firing.REVISION);
        return entry == null ? 0 : com.google.gson.JsonParser.parseString(new String(entry.value(),
                StandardCharsets.UTF_8)).getAsJsonObject().get("revision").getAsLong();
    }

    static boolean says(Step step, String words) {
        return step.changes().stream().anyMatch(each -> each.kind() == Step.Kind.PUT
                && new String(each.value(), StandardCharsets.UTF_8).contains(words));
    }

    /** The step as a program with the flaw would have said it. */
    Step flawed(Step step) {
        if (flaw == Flaw.NONE) {
            return step;
        }
        var found = new Step();
        for (var change : step.changes()) {
            var key = change.key();
            boolean isMark = key.endsWith("/mark");
            boolean ends = change.kind() == Step.Kind.PUT
                    && says(new Step().put(key, change.value(), 0), "\"ended\"");
            boolean anyVersion = switch (flaw) {
                case CLAIM_WITHOUT_COMPARE -> change.kind() == Step.Kind.PUT && key.startsWith(Keys.FIRES);
                case FENCE_NOT_REQUIRED -> key.startsWith(Keys.FENCES);
                case REVISION_NOT_REQUIRED -> key.equals(Firing.REVISION);
                case SECOND_END -> ends || key.startsWith(Keys.FENCES) && says(step, "\"ended\"");
                default -> false;
            };
            long version = anyVersion ? kv.version(key) : change.version();
            if (change.kind() == Step.Kind.REQUIRE || flaw == Flaw.CLAIM_WITHOUT_MARK && isMark
                    && version != 0 && change.kind() == Step.Kind.PUT) {
                found.require(key, version);
            } else if (change.kind() == Step.Kind.REMOVE) {
                found.remove(key, version);
            } else {
                found.put(key, change.value(), version);
            }
        }
        return found;
    }

    /** A mark is gone with the first fire that ends. */
    void dropMark(String entry) {
        if (flaw == Flaw.MARK_DROPPED_EARLY && kv.version(Keys.FIRES + entry + "/mark") != 0) {
            kv.apply(new Step().remove(Keys.FIRES + entry + "/mark",
                    kv.version(Keys.FIRES + entry + "/mark")), null);
        }
    }
}
