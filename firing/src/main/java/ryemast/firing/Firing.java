package ryemast.firing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import pipitladder.Dispatcher.Outcome;
import ryemast.coordination.Coordination;
import ryemast.coordination.Coordination.Reading;
import ryemast.coordination.Editions;
import ryemast.coordination.Step;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Recalled;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.core.Terminal;
import ryemast.core.Transaction;
import ryemast.fleet.FleetView;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.ScheduleAction;
import ryemast.timetable.CommitResult;
import ryemast.timetable.Scheduler;
import ryemast.timetable.Limits;
import ryemast.timetable.VersionedRecord;

/**
 * A timetable's front: carries out what {@link Scheduler} decides, and hands jobs to the exchange as any
 * client's. Stands between the exchange and the workers' side as well, and guarantees there that no attempt
 * of a fire's job is started unless the lease is good by the clock at that very moment, and the fence is the
 * one that the job was handed in under: a process that was stopped while a job waited inside, and wakes up
 * after its lease, sends nothing, nor does it once it is back in the fleet. Everybody else's attempts
 * pass by untouched. Owned by the loop.
 */
public final class Firing implements Region {

    private static final Logger LOG = Logger.getLogger(Firing.class.getName());

    /**
     * What is left out, in a trial that must fail: "lease" (it is not asked about before a job is sent),
     * "revision" (each goes by the one it has), what {@link Careless} leaves out of steps, or what the
     * entries leave out. Absent: nothing.
     */
    private static final String CARELESS = System.getProperty("ryemast.firing.careless", "");

    private static final String WHAT = "timetable";
    /** The record that each claim is made under. */
    static final String REVISION = Editions.revisionKey(WHAT);
    /** More records than that are taken apart beside the loop: 10,000 take it a tenth of a second. */
    private static final int MOST_AT_ONCE = 500;
    /** So often the lease and the clocks are looked at though nothing is due. */
    private static final long LOOK = 1_000_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Region workers;
    private final Coordination records;
    private final FleetSource fleet;
    private final LongSupplier wall;
    private final Scheduler fires;
    /** By the name of the job. */
    private final Map<String, Hand> hands = new HashMap<>();
    /** Null until {@link #begin}. */
    private Editions editions;
    private Runnable timer = () -> { };
    private boolean settling;
    private boolean closed;

    /**
     * @param workers  the workers' side, which jobs go to through this front
     * @param wall     the wall clock, Unix time in microseconds
     * @param owners   which of a view's members an entry belongs to; the same at every replica
     */
    public Firing(Loop loop, Exchange exchange, Region workers, Coordination records, FleetSource fleet,
            LongSupplier wall, BiFunction<String, FleetView, String> owners, Limits limits) {
        this.loop = loop;
        this.exchange = exchange;
        this.workers = workers;
        this.records = CARELESS.isEmpty() ? records : new Careless(records, CARELESS);
        this.fleet = fleet;
        this.wall = wall;
        fires = new Scheduler(limits, owners);
    }

    /** To be called once, on the loop. */
    public void begin(Plan plan) {
        editions = new Editions(loop, records, new InFleet(), WHAT, edition(plan), this::settleSoon);
        fires.setJobs(plan.entries());
        fleet.listen(this::settleSoon);
        settleSoon();
    }

    /** Another timetable from now on; what is claimed ends as it was claimed. On the loop. */
    public void replace(Plan plan) {
        fires.setJobs(plan.entries());
        editions.replace(edition(plan));
        settleSoon();
    }

    /** Nothing is claimed or handed in any more; what is out ends, and its end is recorded. On the loop. */
    public void drain() {
        fires.drain();
    }

    /** Whether nothing is out, and all ends are recorded. On the loop. */
    public boolean isQuiet() {
        return fires.isQuiet();
    }

    /** On the loop; the coordination is closed by whoever opened it. */
    public void close() {
        closed = true;
        timer.run();
        if (editions != null) {
            editions.end();
        }
    }

    Editions editions() {
        return editions;
    }

    private static Editions.Edition edition(Plan plan) {
        return new Editions.Edition(plan.revision(), plan.digest(), plan.entries().size() + " entries");
    }

    /** The place of this replica, as the records of the revision need it. */
    private final class InFleet implements Editions.Place {

        @Override
        public String self() {
            return fleet.view(loop.now()).self();
        }

        @Override
        public ryemast.coordination.Fence fence() {
            var held = fleet.fence();
            return held == null ? null : new ryemast.coordination.Fence(held.key(), held.version());
        }
    }

    /** In a step of its own, once, however many things make it due. */
    private void settleSoon() {
        if (!settling) {
            settling = true;
            loop.post(this::settle);
        }
    }

    private void settle() {
        settling = false;
        if (closed) {
            return;
        }
        timer.run();
        editions.settle();
        var view = view();
        var fence = fleet.fence();
        var able = CARELESS.equals("revision") ? view.members() : editions.able(view.members());
        fires.updateFleet(view, able, editions.version(), fence == null ? 0 : fence.version());
        fires.updateClocks(fleet.clocks());
        fires.evaluate(loop.now(), wall.getAsLong()).forEach(this::perform);
        timer = loop.at(Math.min(fires.nextDue(), loop.now() + LOOK), this::settleSoon);
    }

    private void perform(ScheduleAction deed) {
        if (deed instanceof ScheduleAction.Commit commit) {
            commit(commit);
        } else if (deed instanceof ScheduleAction.ReadRecords look) {
            look(look);
        } else if (deed instanceof ScheduleAction.Submit submit) {
            submit(submit);
        } else if (deed instanceof ScheduleAction.Withdraw withdraw) {
            withdraw(withdraw);
        } else if (deed instanceof ScheduleAction.Log log) {
            Note.log(LOG, log.warning() ? Level.WARNING : Level.INFO, null,
                    "timetable: {entry} {nominal}: {what}", "entry", log.jobName(), "nominal",
                    log.jobName().isEmpty() ? "" : Keys.nominal(log.scheduledTime()), "what", log.text());
        }
    }

    private void commit(ScheduleAction.Commit deed) {
        var step = new Step();
        var fence = fleet.fence();
        if (fence == null) {
            fires.onCommitted(deed.id(), CommitResult.NOT_DONE, List.of(), loop.now());
            settleSoon();
            return;
        }
        step.require(fence.key(), deed.fence());
        if (deed.revision() != 0) {
            step.require(REVISION, deed.revision());
        }
        int before = step.changes().size();
        for (var write : deed.writes()) {
            var key = Keys.key(write.jobName(), write.scheduledTime());
            if (write.content() == null) {
                step.remove(key, write.version());
            } else {
                step.put(key, Keys.bytes(write.content()), write.version());
            }
        }
        records.commit(step, result -> {
            var versions = result.fate() == Coordination.Fate.DONE
                    ? result.versions().subList(before, result.versions().size()) : List.<Long>of();
            fires.onCommitted(deed.id(), CommitResult.valueOf(result.fate().name()), versions, loop.now());
            settleSoon();
        });
    }

    /** Reads fires before fences: a fence that is newer than a fire's holder's is so for good. */
    private void look(ScheduleAction.ReadRecords deed) {
        var prefixes = deed.jobNames().isEmpty() ? List.of(Keys.FIRES)
                : deed.jobNames().stream().map(each -> Keys.FIRES + each + "/").toList();
        var found = new ArrayList<Reading>();
        for (var prefix : prefixes) {
            records.list(prefix, true, reading -> {
                found.add(reading);
                if (found.size() == prefixes.size()) {
                    records.list(Keys.FENCES, true, fences -> looked(deed, found, fences));
                }
            });
        }
    }

    private void looked(ScheduleAction.ReadRecords deed, List<Reading> found, Reading fences) {
        if (!fences.good() || !found.stream().allMatch(Reading::good)) {
            looked(deed, null, Map.of());
            return;
        }
        var versions = new HashMap<String, Long>();
        fences.entries().forEach(each -> versions.put(each.key().substring(Keys.FENCES.length()),
                each.version()));
        var ours = found.stream().flatMap(each -> each.entries().stream())
                .filter(each -> fires.isRelevant(Keys.entry(each.key()))).toList();
        if (ours.size() <= MOST_AT_ONCE) {
            looked(deed, Keys.seen(ours), versions);
            return;
        }
        var thread = new Thread(() -> {
            var seen = Keys.seen(ours);
            loop.post(() -> looked(deed, seen, versions));
        }, "timetable read");
        thread.setDaemon(true);
        thread.start();
    }

    private void looked(ScheduleAction.ReadRecords deed, Map<String, List<VersionedRecord>> seen,
            Map<String, Long> fences) {
        fires.onRead(deed.id(), seen, fences, loop.now());
        settleSoon();
    }

    /** Whether the lease is good by the clock now, not by the present turn's reading of it. */
    private boolean mayAct() {
        return CARELESS.equals("lease") || fleet.fence() != null && view().mayAct();
    }

    private FleetView view() {
        var view = fleet.view(loop.clock());
        return CARELESS.equals("lease") ? new FleetView(view.epoch(), view.members(), view.self(), true,
                view.mayActUntil(), view.currentAndRecent()) : view;
    }

    /** The name of a job: at most 128 ASCII characters, as {@link Plan#NAME} bounds the entry's. */
    static String name(String entry, long nominal, int turn) {
        return "fire-" + entry + "-" + Keys.nominal(nominal) + "-" + turn;
    }

    private void submit(ScheduleAction.Submit deed) {
        // Only planned ones are ever told to the fires.
        var planned = (Planned) deed.job();
        var hand = new Hand(planned, deed.scheduledTime(), deed.attempt());
        if (!mayAct()) {
            fires.onWithheld(planned.name(), deed.scheduledTime(), deed.attempt());
            settleSoon();
            return;
        }
        var name = name(planned.name(), deed.scheduledTime(), deed.attempt());
        var job = exchange.isFree(name) ? planned.job(name, deed.scheduledTime(), loop.now()) : null;
        if (job == null) {
            hand.refused(0, false);
            return;
        }
        hands.put(name, hand);
        hand.name = name;
        hand.fence = fleet.fence() == null ? 0 : fleet.fence().version();
        hand.transaction = exchange.submit(job, hand);
    }

    /** What must run once and may be running runs on; all else need not. */
    private void withdraw(ScheduleAction.Withdraw deed) {
        var hand = hands.get(name(deed.jobName(), deed.scheduledTime(), deed.attempt()));
        if (hand != null && hand.transaction != null && !(hand.attempted && hand.planned.runsOnce())) {
            hands.remove(hand.name);
            exchange.left(hand.transaction);
        }
    }

    @Override
    public void start(RoutedTask task) {
        var hand = hands.get(task.submission().txn());
        if (hand != null && !(mayAct() && hand.isOurs())) {
            Note.warning(LOG, "timetable: {job} is not sent, as the lease it was handed in under is over",
                    "job", hand.name);
            exchange.ended(task, Outcome.NOT_SENT);
            return;
        }
        if (hand != null) {
            hand.attempted = true;
        }
        workers.start(task);
    }

    @Override
    public void giveUp(RoutedTask task) {
        workers.giveUp(task);
    }

    @Override
    public boolean recall(RoutedTask task, Consumer<Recalled> answered) {
        return workers.recall(task, answered);
    }

    /** One hand-in of a fire's job. */
    private final class Hand implements Terminal {
        private final Planned planned;
        private final long nominal;
        private final int turn;
        private String name;
        private Transaction transaction;
        private long fence;
        private boolean attempted;

        Hand(Planned planned, long nominal, int turn) {
            this.planned = planned;
            this.nominal = nominal;
            this.turn = turn;
        }

        /** The fence is the one that it was handed in under. */
        boolean isOurs() {
            var now = fleet.fence();
            return CARELESS.equals("lease") || now != null && now.version() == fence;
        }

        @Override
        public void served(String result) {
            told(How.SERVED, 0);
        }

        @Override
        public void refused(long retryAfter, boolean mayHaveRun) {
            told(mayHaveRun ? How.FAILED : How.REFUSED, retryAfter);
        }

        @Override
        public void failed() {
            told(How.FAILED, 0);
        }

        private void told(How how, long retryAfter) {
            hands.remove(name);
            fires.onOutcome(planned.name(), nominal, turn, how, retryAfter);
            settleSoon();
        }
    }
}
