package ryemast.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.fleet.FenceRecord;
import ryemast.fleet.FleetView;
import ryemast.fleet.NameRegistration;
import ryemast.fleet.LeaseTerms;
import ryemast.fleet.MemberClock;
import ryemast.fleet.MemberRecord;
import ryemast.fleet.Outcome;
import ryemast.fleet.Roster;

/**
 * Keeps this process in its fleet: registers its name, beats, reads the others' heartbeats, declares gone who
 * stands still, and tells who is in the fleet by now. What is decided is decided in {@link NameRegistration}
 * and {@link Roster}; here it is read and sent.
 *
 * <p>Heartbeats are listed at intervals, not watched: each changes three times a lease, and a watch would
 * bring all of them to all members at each change. Watched are the fences, which change when somebody joins,
 * leaves or is declared gone; that a watch may fall silent costs one interval.
 *
 * <p>Owned by the loop. Times are those of its clock, read anew at each look, so that a process that was
 * stopped knows before anything else that its lease is over.
 */
public final class FleetKeeper implements AutoCloseable {

    /** Hears on the loop. */
    public interface Listener {

        /** The members have changed, or whether this process may act, or whom the cautious count. */
        void changed(FleetView view);

        /**
         * The members as a list had them that was asked for at a time on the loop's clock, which is no older
         * than that if {@link #listCertainly} was called.
         */
        default void listed(long askedAt, List<MemberRecord> members) {
        }

        /** Two live processes claim this one's name, and this one does not have it. It is logged already. */
        default void nameTaken(NameTakenException why) {
        }
    }

    /** A fence of a name that was not used for so long is removed; what refers to it is gone long before. */
    static final long FENCE_KEPT = 24 * 3_600_000_000L;
    private static final long SWEEP_EVERY = 3_600_000_000L;
    private static final Logger LOG = Logger.getLogger(FleetKeeper.class.getName());

    private record Seen(FenceRecord fence, long since) {
    }

    private record Told(long version, MemberClock clock) {
    }

    private final Loop loop;
    private final Coordination records;
    private final LeaseTerms terms;
    private final Listener listener;
    private final NameRegistration holding;
    private final Roster roster;
    private final Map<String, Seen> fences = new HashMap<>();
    private final Map<String, Told> clocks = new HashMap<>();
    private LongSupplier wall = () -> 0;
    private Supplier<Map<String, Integer>> wants = () -> null;
    private Runnable timer = () -> { };
    private Runnable unwatch = () -> { };
    private Runnable afterLeaving;
    private FleetView told;
    private boolean listing;
    private boolean certainly = true;
    private boolean always;
    private long listDue;
    private long sweepDue;
    private boolean blind;
    private boolean closed;

    /**
     * @param name     of this process in the fleet; of the characters A-Z a-z 0-9 . _ -
     * @param process  drawn at random by each process, to tell two of one name apart
     */
    public FleetKeeper(Loop loop, Coordination records, String name, String process, LeaseTerms terms,
            Listener listener) {
        this(loop, records, new NameRegistration(name, process, terms), terms, listener);
    }

    FleetKeeper(Loop loop, Coordination records, NameRegistration holding, LeaseTerms terms,
            Listener listener) {
        Step.checkKey(FleetRecords.MEMBERS + holding.name());
        if (holding.name().contains("/") || holding.process().isEmpty()) {
            throw new IllegalArgumentException("name '" + holding.name() + "', process '" + holding.process()
                    + "': a name holds no /, and a process's mark is not empty");
        }
        this.loop = loop;
        this.records = records;
        this.holding = holding;
        this.terms = terms;
        this.listener = listener;
        roster = new Roster(holding, terms);
    }

    /** From the next beat on the others are told this clock as well; no lease rests on it. */
    public void tell(LongSupplier wallClock) {
        wall = wallClock;
    }

    /** From the next beat on the others are told this as well ({@link MemberRecord#demand}). */
    public void want(Supplier<Map<String, Integer>> wanted) {
        wants = wanted;
    }

    /** The other members' wall clocks, of those that tell theirs. */
    public List<MemberClock> clocks() {
        return clocks.values().stream().map(Told::clock).toList();
    }

    /** Counted from the request, so that a stop of this process before the answer makes nothing older. */
    private void clocksAre(long asked, List<MemberRecord> all) {
        clocks.keySet().retainAll(all.stream().map(MemberRecord::name).toList());
        for (var each : all) {
            var last = clocks.get(each.name());
            if (each.wallTime() != 0 && !each.name().equals(holding.name())
                    && (last == null || each.version() > last.version)) {
                clocks.put(each.name(), new Told(each.version(),
                        new MemberClock(each.name(), each.wallTime(), asked)));
            }
        }
    }

    /** Each list is to be no older than when it was asked for, which costs Consul's servers a round. */
    public void listCertainly() {
        always = true;
    }

    /** Registers and begins to watch; called once. */
    public void start() {
        long now = loop.clock();
        listDue = now;
        sweepDue = now + SWEEP_EVERY;
        unwatch = records.watch(FleetRecords.FENCES, new Coordination.Watcher() {
            @Override
            public void changed(List<Coordination.Entry> all) {
                fencesAre(all);
            }

            @Override
            public void blind(String why) {
                // The lists at intervals tell.
            }
        });
        go();
    }

    /** Who is in the fleet and whether this process may act, at this very moment. */
    public FleetView view() {
        return roster.view(loop.clock());
    }

    /** What each step in this process's name has to require; null: it may not act now. */
    public Fence fence() {
        return holding.mayAct(loop.clock()) ? new Fence(fenceKey(holding.name()), holding.fence().version())
                : null;
    }

    /**
     * What each step has to require that only records what was done while this process could act; null: the
     * name is another's, for all that is known. Whether it may act is for {@link #view()} to say.
     */
    public Fence held() {
        return holding.isHeld() ? new Fence(fenceKey(holding.name()), holding.fence().version()) : null;
    }

    /** The number under which this process has its name; 0: never had it. */
    public long incarnation() {
        return holding.incarnation();
    }

    /**
     * Gives the name up, so that others take over at once; from now on this process may not act. {@code then}
     * comes within a lease's length and one call.
     */
    public void leave(Runnable then) {
        afterLeaving = then;
        holding.leave(loop.clock());
        go();
    }

    @Override
    public void close() {
        closed = true;
        timer.run();
        unwatch.run();
    }

    private void go() {
        if (closed) {
            return;
        }
        timer.run();
        long now = loop.clock();
        var doing = holding.nextOperation(now);
        if (doing != null) {
            carryOut(doing);
        }
        if (!listing && now >= listDue && !holding.hasLeft()) {
            list();
        }
        roster.membersToRemove(now).forEach(this::declare);
        if (now >= sweepDue) {
            sweepDue = now + SWEEP_EVERY;
            sweep(now);
        }
        tellOfName();
        tell(now);
        if (holding.hasLeft() && afterLeaving != null) {
            var then = afterLeaving;
            afterLeaving = null;
            then.run();
        }
        if (!closed) {
            long due = Math.min(holding.nextDue(), Math.min(roster.nextDue(now), sweepDue));
            due = listing || holding.hasLeft() ? due : Math.min(due, listDue);
            timer = loop.at(Math.max(now, due), this::go);
        }
    }

    private void carryOut(NameRegistration.Operation doing) {
        var member = FleetRecords.MEMBERS + holding.name();
        var fence = fenceKey(holding.name());
        long at = holding.fence().version();
        switch (doing) {
            case READ -> readOwn(fence, member);
            case REGISTER -> commit(new Step().put(fence, FleetRecords.text(holding.acquiredFence()), at)
                    .put(member, beat(), holding.heartbeat().version()), 0, 1);
            case HEARTBEAT -> commit(new Step().put(member, beat(),
                    holding.heartbeat().version()).require(fence, at), 1, 0);
            case LEAVE -> commit(new Step().remove(member, holding.heartbeat().version())
                    .put(fence, FleetRecords.text(holding.releasedFence(at)), at), 1, 0);
        }
    }

    private String beat() {
        return FleetRecords.text(holding.heartbeat().withClockAndDemand(wall.getAsLong(), wants.get()));
    }

    private void readOwn(String fence, String member) {
        records.read(fence, true, one -> {
            if (!one.good()) {
                holding.onReadFailed(loop.clock());
                go();
                return;
            }
            records.read(member, true, other -> {
                if (other.good()) {
                    holding.onRead(loop.clock(), FleetRecords.fence(one.only()),
                            other.only() == null ? null : FleetRecords.member(other.only()));
                } else {
                    holding.onReadFailed(loop.clock());
                }
                go();
            });
        });
    }

    /** {@code fenceAs}, {@code memberAs}: the places of both records among the step's. */
    private void commit(Step step, int fenceAs, int memberAs) {
        records.commit(step, result -> {
            boolean done = result.fate() == Coordination.Fate.DONE;
            holding.onOutcome(loop.clock(), outcome(result), done ? result.versions().get(fenceAs) : 0,
                    done ? result.versions().get(memberAs) : 0);
            go();
        });
    }

    private static Outcome outcome(Coordination.Result result) {
        return switch (result.fate()) {
            case DONE -> Outcome.DONE;
            case CONFLICT -> Outcome.CONFLICT;
            case NOT_DONE -> Outcome.NOT_DONE;
            case UNKNOWN -> Outcome.UNKNOWN;
        };
    }

    private void list() {
        listing = true;
        boolean certain = certainly || always;
        certainly = false;
        long askedAt = loop.clock();
        listDue = askedAt + terms.heartbeatInterval();
        records.list(FleetRecords.MEMBERS, certain, reading -> {
            listing = false;
            long now = loop.clock();
            if (reading.good()) {
                var all = new ArrayList<MemberRecord>();
                reading.entries().forEach(each -> all.add(FleetRecords.member(each)));
                if (roster.observe(now, all, certain)) {
                    clocksAre(askedAt, all);
                    listener.listed(askedAt, all);
                } else {
                    listNow();
                }
            } else if (!blind) {
                Note.warning(LOG, "the fleet's members can't be read: {why}. Those read last are kept;"
                        + " this process may act until its lease ends. See to the coordination service",
                        "why", reading.why());
            }
            blind = !reading.good();
            go();
        });
    }

    private void listNow() {
        certainly = true;
        listDue = loop.clock();
    }

    private void declare(Roster.ExpiredMember gone) {
        var name = gone.lastRecord().name();
        var key = fenceKey(name);
        Consumer<String> failed = why -> {
            roster.onRemovalFailed(loop.clock(), gone);
            listNow();
            go();
        };
        records.read(key, true, reading -> {
            if (!reading.good()) {
                failed.accept(reading.why());
                return;
            }
            var read = FleetRecords.fence(reading.only());
            var raised = gone.raisedFence(read, roster.highestIncarnation(name));
            // Removed at the version that stood still: if it was written since, nothing of this happens.
            var step = new Step().remove(FleetRecords.MEMBERS + name, gone.lastRecord().version())
                    .put(key, FleetRecords.text(raised), read.version());
            records.commit(step, result -> {
                if (result.fate() != Coordination.Fate.DONE) {
                    failed.accept(result.why());
                    return;
                }
                Note.warning(LOG, "{member} is gone from the fleet: its heartbeat (incarnation {incarnation})"
                        + " stood still for longer than its lease lasts. Others take over",
                        "member", name, "incarnation", gone.lastRecord().incarnation());
                roster.onRemoved(loop.clock(), gone, raised.incarnation());
                go();
            });
        });
    }

    private void fencesAre(List<Coordination.Entry> all) {
        long now = loop.clock();
        var before = new HashMap<>(fences);
        fences.clear();
        for (var each : all) {
            var name = each.key().substring(FleetRecords.FENCES.length());
            var old = before.get(name);
            var fence = FleetRecords.fence(each);
            fences.put(name, old != null && old.fence().version() == fence.version() ? old
                    : new Seen(fence, now));
        }
        listNow();
        go();
    }

    /** By the first member alone, a few at a time: these are many only where names are not used again. */
    private void sweep(long now) {
        var view = roster.view(now);
        if (view.index() != 0 || !view.mayAct()) {
            return;
        }
        fences.entrySet().stream().filter(each -> now >= each.getValue().since() + FENCE_KEPT
                && !view.members().contains(each.getKey())).limit(Coordination.MOST_IN_A_STEP / 2)
                .forEach(each -> records.commit(new Step()
                        .remove(fenceKey(each.getKey()), each.getValue().fence().version())
                        .require(FleetRecords.MEMBERS + each.getKey(), Coordination.ABSENT), result -> { }));
    }

    private void tellOfName() {
        var news = holding.event();
        if (news == NameRegistration.Event.NONE) {
            return;
        }
        var fence = holding.fence();
        var key = fenceKey(holding.name());
        var why = news == NameRegistration.Event.STEPPED_DOWN
                ? NameTakenException.older(holding.name(), key, holding.process(), fence.process())
                : NameTakenException.younger(holding.name(), key, holding.process(), fence.process(),
                        fence.takeovers());
        Note.log(LOG, Level.SEVERE, null, "{why}", "why", why.getMessage());
        listener.nameTaken(why);
    }

    private void tell(long now) {
        var view = roster.view(now);
        boolean news = told == null || told.epoch() != view.epoch() || told.mayAct() != view.mayAct()
                || !told.currentAndRecent().equals(view.currentAndRecent());
        told = view;
        if (news) {
            listener.changed(view);
        }
    }

    private static String fenceKey(String name) {
        return FleetRecords.FENCES + name;
    }
}
