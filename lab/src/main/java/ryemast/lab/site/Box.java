package ryemast.lab.site;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import ryemast.lab.books.Books;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.Reply;
import ryemast.lab.books.Fingerprint;
import ryemast.lab.books.Tries;
import ryemast.lab.books.Try;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.Scenario.Rules;
import ryemast.lab.scenario.Scenario.Telling;
import ryemast.lab.site.News.Manner;
import ryemast.lab.site.Task.Fate;
import ryemast.lab.world.Chance;
import ryemast.lab.world.Timeline;

/**
 * One puzzle box: its process's life and its door; what comes in is judged here and, once taken, done by
 * {@link Floor}. Whatever happens is written to the books at the time it happens.
 *
 * <p>Where the platform's protocol leaves room, a box does this:
 * <ul>
 * <li>A request is answered 400 if no client has sent its id, or if the box holds an attempt under that id
 *     which nobody has given up: a box gets one attempt of a request at a time. No id: 404.
 * <li>A box that drains turns away whatever reaches it, whether or not it hands back what waits.
 * <li>A connection that ends before the request on it was seen (in its handshake) gives that request up.
 * <li>A request that a RESETS fault strikes, or that comes over a connection that was dropped while it
 *     rested, has arrived and does not run; nothing proves that to its sender.
 * <li>Work that reaches a cold box counts towards its fall with each request that arrives, taken or not.
 * <li>A process that has died: the machine's agent says {@code lost} a moment later of each job it held. A
 *     machine that has vanished says nothing; what comes over open connections is met with silence, and
 *     these are reset once it is back.
 * <li>A box that has fallen over stays down whatever is done to it.
 * </ul>
 */
public final class Box implements Machine {

    /** How long the machine's agent takes to see that the process has died, in microseconds. */
    static final long AGENT_NOTICE = 100_000;

    private final BoxSpec spec;
    private final Rules rules;
    private final double meanJob;
    private final Timeline time;
    private final Tries tries;
    private final Books books;
    private final Ills ills;
    private final Work work;
    private final Floor floor;
    private final Contacts contacts;
    private final Flood flood;
    private final Reporter process;
    private final Reporter agent;
    private final List<Consumer<Door>> doorListeners = new ArrayList<>();
    private final List<Consumer<News>> newsListeners = new ArrayList<>();
    private final List<Runnable> whenIdle = new ArrayList<>();
    private Door door = Door.REFUSES;
    private BoxState state = BoxState.DOWN;
    private News news;
    private int life;

    /** {@code meanJob}: the work of a mean job of the site. */
    public Box(BoxSpec spec, Telling telling, Rules rules, double meanJob, Timeline time, Chance chance,
            Tries tries, Books books, Mouth mouth) {
        this.spec = spec;
        this.rules = rules;
        this.meanJob = meanJob;
        this.time = time;
        this.tries = tries;
        this.books = books;
        ills = new Ills(chance.stream("box", spec.index()));
        work = new Work(spec, time);
        floor = new Floor(spec, telling, time, books, work, this::rested);
        contacts = new Contacts(spec, time);
        flood = new Flood(rules.fallWindow());
        Mouth heard = (dispatcher, json, answered) -> say(mouth, dispatcher, json, answered);
        process = new Reporter(spec.id(), telling, time, heard, this::rested);
        agent = new Reporter(spec.id(), telling, time, heard, () -> { });
    }

    /** What this box makes of a job, so that a reader of an answer can tell who made it, and for whom. */
    public static String result(String txn, String box) {
        return txn + " solved by " + box;
    }

    /** It is there when the run begins: cold if so stated, else warm since long ago. */
    public void begin() {
        up(spec.startsCold(), Manner.KNOWN);
    }

    public BoxSpec spec() {
        return spec;
    }

    public BoxState state() {
        return state;
    }

    /** Work in a microsecond as of now: 0 when it is down. */
    public double capacity() {
        return state == BoxState.READY || state == BoxState.DRAINING ? work.capacity() : 0;
    }

    /**
     * How a box really is.
     *
     * @param capacity  work in a microsecond with all cores busy; 0 when it is down, or machine and process
     *                  are not to be reached
     * @param lane      work in a microsecond that one job gets at most
     * @param work      that of the jobs it holds and has still to do
     * @param held      jobs that it holds, waiting or running
     * @param free      slots that are free
     * @param room      jobs that may still wait
     * @param ill       whether some jobs that reach it now will never be served there
     */
    public record Present(BoxState state, double capacity, double lane, double work, int held, double free,
            int room, boolean ill) {
    }

    /** What no dispatcher can see. */
    public Present present() {
        return new Present(state, capacity(), capacity() / Math.min(spec.cores(), spec.slots()), floor.left(),
                floor.held(), floor.free(), floor.room(), ills.spoil());
    }

    @Override
    public int index() {
        return spec.index();
    }

    @Override
    public Door door() {
        return door;
    }

    @Override
    public boolean isCutOff(int dispatcher) {
        return ills.cutOff(dispatcher);
    }

    /** What is said into a path that is cut has no answer, as long as one is waited for. */
    private void say(Mouth mouth, int dispatcher, String json, IntConsumer answered) {
        if (isCutOff(dispatcher)) {
            time.at(time.now() + Patience.CALL_BACK, () -> answered.accept(0));
        } else {
            mouth.post(dispatcher, json, answered);
        }
    }

    @Override
    public void onDoor(Consumer<Door> listener) {
        doorListeners.add(listener);
    }

    @Override
    public boolean opened(Visit visit) {
        if (door != Door.OPEN || !contacts.open(visit)) {
            return false;
        }
        if (spec.handshakeWork() > 0) {
            work.add(spec.handshakeWork(), () -> { });
        }
        return true;
    }

    @Override
    public void ended(Visit visit) {
        var contact = contacts.forget(visit);
        var parcel = contact == null ? null : contact.takeUnseen();
        if (parcel != null) {
            books.givenUp(spec.index(), parcel.dispatcher(), parcel.txn(), time.now());
            replied(parcel, Reply.NONE);
        }
    }

    @Override
    public void take(Visit visit, Parcel parcel) {
        books.arrived(spec.index(), parcel.dispatcher(), parcel.txn(), parcel.firstByteAt(), parcel.at(),
                Fingerprint.of(parcel.body()));
        var contact = contacts.find(visit);
        if (door == Door.SILENT) {
            replied(parcel, Reply.NONE);
            return;
        }
        if (contact == null) {
            reset(visit, parcel);
            return;
        }
        var sent = parcel.txn() == null ? null : tries.find(parcel.txn());
        if (sent != null && pushedOver(sent)) {
            replied(parcel, Reply.RESET);
            fall();
            return;
        }
        if (contact.rested() >= ills.keptFor()
                || ills.strikes(FaultKind.RESETS, sent == null ? -1 : sent.job().jobClass())) {
            reset(visit, parcel);
            return;
        }
        contact.show(parcel, () -> {
            see(visit, parcel, sent);
            contact.answered();
        });
    }

    @Override
    public void cancel(int dispatcher, String txn) {
        if (door == Door.OPEN) {
            books.givenUp(spec.index(), dispatcher, txn, time.now());
            floor.cancel(txn);
        }
    }

    /** Takes no more, hands back what waits if it does that, and finishes the rest. */
    public void drain() {
        if (state != BoxState.READY) {
            return;
        }
        become(BoxState.DRAINING, Manner.TOLD);
        if (spec.handsBack()) {
            floor.handBack();
        }
    }

    /** Runs a step once it has neither a job nor anything left to say; a box that is down is idle. */
    public void whenIdle(Runnable step) {
        whenIdle.add(step);
        rested();
    }

    /** The process ends in order, and says so to discovery; what it still had is lost. */
    public void stop() {
        die(BoxState.DOWN, Manner.TOLD, false);
    }

    /** The process dies, or, where the machine had vanished, the machine is back without it. */
    public void crash() {
        die(BoxState.DOWN, Manner.UNTOLD, true);
    }

    /** The machine is gone, and nothing is said. */
    public void vanish() {
        if (state == BoxState.FELL_OVER || door == Door.SILENT) {
            return;
        }
        if (state != BoxState.DOWN) {
            become(BoxState.DOWN, Manner.UNTOLD);
        }
        life++;
        process.hush();
        agent.hush();
        floor.lose();
        work.clear();
        contacts.freeze().forEach(contact -> unseen(contact, Reply.NONE));
        open(Door.SILENT);
        rested();
    }

    /** A process that was down starts anew, cold. */
    public void start() {
        if (state != BoxState.DOWN) {
            return;
        }
        contacts.forgetAll().forEach(contact -> contact.visit.reset());
        up(true, Manner.STARTED);
    }

    /** Suffers from this from now on. */
    void suffer(Fault fault) {
        ills.add(fault);
        changed(fault);
    }

    /** It is over. Jobs that it left hanging are cleared away once no other fault of the kind is there. */
    void recover(Fault fault) {
        ills.remove(fault);
        changed(fault);
        if (ills.has(fault.kind())) {
            return;
        }
        if (fault.kind() == FaultKind.NEVER_STARTS) {
            floor.clear(Task.Stage.STUCK);
        } else if (fault.kind() == FaultKind.NEVER_ENDS) {
            floor.clear(Task.Stage.HUNG);
        }
    }

    /** Tells of each change that discovery may learn of. */
    void onNews(Consumer<News> listener) {
        newsListeners.add(listener);
    }

    /** What there was to be known last; null before it has begun. */
    News news() {
        return news;
    }

    private void see(Visit visit, Parcel parcel, Try sent) {
        if (parcel.txn() == null || sent == null || floor.holds(parcel.txn())) {
            replied(parcel, Reply.UNUSABLE);
            visit.answer(parcel.txn() == null ? 404 : 400);
            return;
        }
        var job = sent.job();
        if (state == BoxState.DRAINING || ills.strikes(FaultKind.TURNED_AWAY, job.jobClass())
                || !floor.roomFor(job.slots())) {
            replied(parcel, Reply.TURNED_AWAY);
            visit.turnAway();
            return;
        }
        replied(parcel, Reply.TAKEN);
        visit.accept();
        var fate = fate(sent);
        double until = fate == Fate.LOST ? job.work() * ills.uniform() : job.work();
        long expiresAt = parcel.waits() > 0 ? parcel.at() + parcel.waits() : Long.MAX_VALUE;
        floor.take(new Task(parcel.txn(), parcel.dispatcher(), job, fate, until, expiresAt,
                process.of(parcel.dispatcher(), parcel.txn())));
    }

    private Fate fate(Try sent) {
        int jobClass = sent.job().jobClass();
        if (ills.strikes(FaultKind.NEVER_STARTS, jobClass)) {
            return Fate.NEVER_STARTS;
        }
        if (ills.strikes(FaultKind.NEVER_ENDS, jobClass)) {
            return Fate.NEVER_ENDS;
        }
        if (ills.strikes(FaultKind.LOST, jobClass)) {
            return Fate.LOST;
        }
        boolean error = ills.strikes(FaultKind.ERRORS, jobClass) | ills.chance(spec.errorShare());
        return error || sent.job().poisoned() ? Fate.FAILED : Fate.DONE;
    }

    private boolean pushedOver(Try sent) {
        double part = work.part();
        return part < 1 && flood.after(time.now(), sent.job().work())
                > rules.fallsAt(spec.capacity() * part * rules.fallWindow(), meanJob);
    }

    private void fall() {
        die(BoxState.FELL_OVER, Manner.UNTOLD, true);
    }

    private void up(boolean cold, Manner manner) {
        int now = ++life;
        long startedAt = cold ? time.now() : 0;
        flood.dry();
        work.begin(cold ? new Warmth(spec.coldCapacity(), spec.coldFor(), spec.warmBy())
                : new Warmth(1, 0, spec.warmBy()));
        news = new News(spec.index(), BoxState.READY, startedAt, manner);
        become(BoxState.READY, manner);
        open(Door.OPEN);
        if (cold) {
            time.at(time.now() + spec.coldFor(), () -> {
                if (life == now) {
                    written();
                }
            });
        }
    }

    private void die(BoxState after, Manner manner, boolean agentSees) {
        if (state == BoxState.FELL_OVER || state == BoxState.DOWN && door != Door.SILENT) {
            return;
        }
        if (state != BoxState.DOWN) {
            become(after, manner);
        }
        life++;
        process.hush();
        open(Door.REFUSES);
        var lost = floor.lose();
        work.clear();
        for (var contact : contacts.forgetAll()) {
            unseen(contact, Reply.RESET);
            contact.visit.reset();
        }
        if (agentSees && !lost.isEmpty()) {
            time.at(time.now() + AGENT_NOTICE, () -> {
                if (door != Door.SILENT) {
                    lost.forEach(task -> agent.of(task.dispatcher, task.txn).ended("lost"));
                }
            });
        }
        rested();
    }

    private void become(BoxState next, Manner manner) {
        state = next;
        written();
        var known = next == BoxState.FELL_OVER ? BoxState.DOWN : next;
        news = new News(spec.index(), known, news.startedAt(), manner);
        newsListeners.forEach(listener -> listener.accept(news));
    }

    private void written() {
        books.box(spec.index(), time.now(), state, capacity());
    }

    private void open(Door next) {
        if (door != next) {
            door = next;
            doorListeners.forEach(listener -> listener.accept(next));
        }
    }

    private void changed(Fault fault) {
        if (fault.kind() == FaultKind.SLOW) {
            work.slow(ills.slow());
            written();
        } else if (fault.kind() == FaultKind.CUT_OFF) {
            doorListeners.forEach(listener -> listener.accept(door));
        }
    }

    private void reset(Visit visit, Parcel parcel) {
        contacts.forget(visit);
        replied(parcel, Reply.RESET);
        visit.reset();
    }

    private void unseen(Contacts.Contact contact, Reply reply) {
        var parcel = contact.takeUnseen();
        if (parcel != null) {
            replied(parcel, reply);
        }
    }

    private void replied(Parcel parcel, Reply reply) {
        books.replied(spec.index(), parcel.dispatcher(), parcel.txn(), time.now(), reply);
    }

    /** Steps that wait for a rest come after whatever led to it, on a clean stack. */
    private void rested() {
        if (!whenIdle.isEmpty() && floor.isIdle() && process.isQuiet()) {
            var steps = List.copyOf(whenIdle);
            whenIdle.clear();
            steps.forEach(step -> time.at(time.now(), step));
        }
    }
}
