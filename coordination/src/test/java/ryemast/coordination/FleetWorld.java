package ryemast.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import ryemast.core.Loop;
import ryemast.fleet.FleetView;
import ryemast.fleet.NameRegistration;
import ryemast.fleet.Lease;
import ryemast.fleet.LeaseTerms;
import ryemast.fleet.MemberRecord;

/**
 * Keepers over records in memory, in virtual time, each on a clock of its own, with faults from a seed; and
 * books that judge by what the records and the keepers' words show. Times are true microseconds.
 */
final class FleetWorld {

    /** What is wrong with the program, on purpose. */
    enum Planted { NOTHING, NO_DRIFT, FROM_THE_ANSWER, WALL_CLOCK, NO_FENCE, NO_COMPARE }

    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    static final LeaseTerms TERMS = LeaseTerms.DEFAULT;
    static final long FAULTS_END = 40 * SECOND;
    private static final long LONGEST = 9 * SECOND;

    private record Event(long at, long order, Runnable step) {
    }

    /** A process; its clock is fast or slow by up to the drift. */
    final class Process implements FleetKeeper.Listener {
        final String name;
        final String mark;
        final double rate;
        final long zero = random.nextInt(1_000_000) * SECOND;
        final Loop loop;
        final Link link = new Link(this);
        final FleetKeeper keeper;
        long wallStep;
        long nextTurn;
        boolean dead;
        boolean left;
        boolean stopped;
        boolean cut;
        int slow = 1;
        double loses;
        long late;
        NameTakenException taken;
        List<MemberRecord> listed = List.of();

        Process(String name) {
            this.name = name;
            mark = name + "#" + processes.size();
            rate = 1 + TERMS.drift() * (random.nextInt(3) == 0 ? 2 * random.nextDouble() - 1
                    : random.nextBoolean() ? 1 : -1);
            loop = new Loop(this::clock, 5 * MS);
            var terms = planted == Planted.NO_DRIFT ? new LeaseTerms(TERMS.duration(), 0) : TERMS;
            var lease = planted == Planted.FROM_THE_ANSWER ? new FromTheAnswer(terms) : new Lease(terms);
            keeper = new FleetKeeper(loop, link, new NameRegistration(name, mark, terms, lease), terms, this);
        }

        @Override
        public void listed(long askedAt, List<MemberRecord> members) {
            listed = members;
        }

        long clock() {
            return zero + (long) (now * rate) + wallStep;
        }

        /** What goes on by itself: turns when they are due, and work that needs the name. */
        void turn() {
            if (dead || stopped) {
                return;
            }
            while (loop.turn()) { }
            long wait = (long) Math.ceil((loop.nextDue() - clock()) / rate);
            turnAt(now + Math.max(1, Math.min(wait, SECOND)));
        }

        /** One turn is planned at a time, the soonest. */
        private void turnAt(long time) {
            if (nextTurn <= now || time < nextTurn) {
                nextTurn = time;
                at(time, () -> {
                    if (nextTurn == time) {
                        nextTurn = 0;
                        turn();
                    }
                });
            }
        }

        void post(Runnable step) {
            loop.post(step);
            turnAt(now);
        }

        void work() {
            if (dead || left) {
                return;
            }
            at(now + 20 * MS + random.nextInt(100_000), this::work);
            var fence = stopped ? null : keeper.fence();
            if (fence != null) {
                var step = new Step().put("work/" + name, "x", Coordination.ABSENT);
                // Between the look and the sending a process may be stopped for any time.
                long late = random.nextInt(40) == 0 ? random.nextInt(8_000) * MS : 0;
                at(now + late, () -> link.commit(planted == Planted.NO_FENCE ? step
                        : fence.guard(step), result -> { }));
            }
        }

        void stop(long time) {
            stopped = true;
            at(now + time, () -> {
                stopped = false;
                if (!dead) {
                    judge();
                    turn();
                }
            });
        }

        boolean runs() {
            return !dead && !stopped && !left;
        }

        @Override
        public void changed(FleetView view) {
        }

        @Override
        public void nameTaken(NameTakenException why) {
            taken = why;
        }
    }

    /** A fault: the lease is counted from when the answer came. */
    private static final class FromTheAnswer extends Lease {

        FromTheAnswer(LeaseTerms terms) {
            super(terms);
        }

        @Override
        public void done(long now, long at) {
            notDone(now);
            sending(now);
            super.done(now, at);
        }
    }

    /** A process's way to the records: slow, cut, with answers lost and reads that are old. */
    private final class Link implements Coordination {
        private static final long LIMIT = SECOND;
        private final Process of;

        Link(Process of) {
            this.of = of;
        }

        private long delay() {
            return (200 + random.nextInt(random.nextInt(8) == 0 ? 60_000 : 3_000)) * (long) of.slow;
        }

        /** {@code ask}: what is done where the records are, yielding the answer. */
        private <T> void call(Supplier<T> ask, T none, Consumer<T> then) {
            var open = new boolean[]{true};
            Consumer<T> once = answer -> {
                if (open[0]) {
                    open[0] = false;
                    of.post(() -> then.accept(answer));
                }
            };
            at(now + LIMIT, () -> once.accept(none));
            long there = delay();
            if (of.cut || random.nextDouble() < of.loses / 2) {
                return;
            }
            at(now + there, () -> {
                var answer = ask.get();
                if (!of.cut && random.nextDouble() >= of.loses) {
                    at(now + delay() + of.late, () -> once.accept(answer));
                }
            });
        }

        @Override
        public void read(String key, boolean certain, Consumer<Reading> then) {
            call(() -> {
                var entry = records.at(key);
                return new Reading(entry == null ? List.of() : List.of(entry), null);
            }, new Reading(null, "no answer"), then);
        }

        @Override
        public void list(String prefix, boolean certain, Consumer<Reading> then) {
            int back = certain || random.nextInt(10) > 0 ? 0 : random.nextInt(60);
            call(() -> new Reading(records.list(prefix, back), null), new Reading(null, "no answer"), then);
        }

        @Override
        public void commit(Step step, Consumer<Result> then) {
            if (random.nextDouble() < of.loses / 4) {
                of.post(() -> then.accept(new Result(Fate.NOT_DONE, List.of(), "refused")));
                return;
            }
            call(() -> applied(of, step), new Result(Fate.UNKNOWN, List.of(), "no answer"), then);
        }

        @Override
        public Runnable watch(String prefix, Watcher watcher) {
            Consumer<String> tell = key -> {
                if (key.startsWith(prefix) && !of.cut && !of.dead && random.nextInt(10) > 0) {
                    at(now + delay(), () -> of.post(() -> watcher.changed(records.list(prefix, 0))));
                }
            };
            records.onChange(tell);
            tell.accept(prefix);
            return () -> { };
        }

        @Override
        public void close() {
        }
    }

    final Random random;
    final Planted planted;
    final MemoryRecords records = new MemoryRecords();
    final List<Process> processes = new ArrayList<>();
    final Set<String> breaches = new TreeSet<>();
    private final Set<String> declared = new HashSet<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at)
            .thenComparingLong(Event::order));
    private boolean restored;
    private long order;
    long now;

    FleetWorld(long seed, Planted planted) {
        random = new Random(seed * 7919 + 1);
        this.planted = planted;
    }

    void at(long time, Runnable step) {
        events.add(new Event(time, order++, step));
    }

    Process start(String name) {
        var process = new Process(name);
        processes.add(process);
        process.keeper.start();
        process.turn();
        process.work();
        return process;
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            var event = events.remove();
            now = Math.max(now, event.at());
            event.step().run();
            judge();
        }
        now = end;
    }

    /** At no moment may two of one name act. */
    private void judge() {
        var acting = new HashSet<String>();
        for (var each : processes) {
            if (each.runs() && each.keeper.fence() != null && !acting.add(each.name)) {
                breaches.add("two act as " + each.name);
            }
        }
    }

    private Coordination.Result applied(Process by, Step step) {
        boolean declares = step.changes().stream().anyMatch(each -> each.kind() == Step.Kind.REMOVE
                && !each.key().equals("members/" + by.name));
        var result = records.commit(step, planted != Planted.NO_COMPARE || !declares);
        if (result.fate() != Coordination.Fate.DONE) {
            return result;
        }
        if (step.changes().get(0).key().startsWith("work/") && declared.contains(by.mark)) {
            breaches.add("a step of one that was declared gone");
        }
        if (step.changes().stream().anyMatch(each -> each.kind() == Step.Kind.PUT
                && each.key().startsWith("fences/"))) {
            fenced(declares);
        }
        return result;
    }

    /** Who has its name by the records; of one that was declared gone, the lease must be over. */
    private void fenced(boolean byDeclaring) {
        for (var each : processes) {
            var fence = FleetRecords.fence(records.at("fences/" + each.name));
            if (fence.process().equals(each.mark)) {
                declared.remove(each.mark);
            } else if (declared.add(each.mark)) {
                if (byDeclaring && !restored && each.runs() && each.keeper.fence() != null) {
                    breaches.add("declared gone within its lease");
                }
            }
        }
    }

    /** Strikes at random until {@link #FAULTS_END}; a restored backup and new processes are not mixed. */
    void strike(boolean restores) {
        var one = processes.get(random.nextInt(processes.size()));
        int kind = random.nextInt(restores ? 7 : 10);
        if (kind < 2) {
            one.stop(random.nextInt(8_000) * MS);
        } else if (kind < 4) {
            // Answers come late for a while, and then none.
            one.late = random.nextInt(900) * MS;
            at(now + random.nextInt(3_000) * MS, () -> one.cut = true);
            at(now + 3 * SECOND + random.nextInt(6_000) * MS, () -> one.cut = false);
        } else if (kind == 4) {
            one.slow = 1 + random.nextInt(40);
            one.loses = random.nextDouble() * 0.4;
            one.wallStep += planted != Planted.WALL_CLOCK ? 0
                    : (random.nextBoolean() ? 1 : -1) * 3_600 * SECOND;
        } else if (restores) {
            restored = true;
            records.restore(random.nextInt(300));
            fenced(false);
        } else if (kind < 7 && one.runs()) {
            one.dead = true;
            at(now + random.nextInt(6_000) * MS, () -> start(one.name));
        } else if (kind < 9 && one.runs()) {
            one.keeper.leave(() -> one.left = true);
            at(now + random.nextInt(6_000) * MS, () -> start(one.name));
        } else {
            start(one.name);
        }
        long next = now + 200 * MS + random.nextInt(4_000) * MS;
        if (next < FAULTS_END - LONGEST) {
            at(next, () -> strike(restores));
        }
    }

    void mend() {
        for (var each : processes) {
            each.slow = 1;
            each.loses = 0;
            each.late = 0;
            each.cut = false;
        }
    }

    /** Null when all that run agree on the members, and of each name just one may act. */
    String disagreement() {
        var names = processes.stream().filter(Process::runs).map(each -> each.name)
                .collect(Collectors.toCollection(TreeSet::new));
        for (var each : processes) {
            var view = each.keeper.view();
            if (each.runs() && !view.members().equals(List.copyOf(names))) {
                return each.mark + " believes in " + view.members() + ", there are " + names;
            }
        }
        long acting = processes.stream().filter(each -> each.runs() && each.keeper.fence() != null).count();
        return acting == names.size() ? null : acting + " act of " + names;
    }
}
