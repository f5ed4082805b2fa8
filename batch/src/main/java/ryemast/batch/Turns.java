package ryemast.batch;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Logger;
import pipitladder.Dispatcher.Outcome;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Recalled;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.core.Submission;
import ryemast.core.Terminal;
import ryemast.core.Transaction;
import ryemast.pacing.FairQueue;
import ryemast.pacing.BatchConcurrencyLimit;
import ryemast.recovery.RecoveryPolicy;
import ryemast.recovery.RecoveryPolicy.NextStep;
import ryemast.store.Changes;
import ryemast.store.DurableStore;
import ryemast.wire.Words.State;

/**
 * Hands batch jobs to the exchange, as {@link FairQueue} and {@link BatchConcurrencyLimit} say, and does with
 * each what {@link RecoveryPolicy} says once its turn is over. Stands between the exchange and the workers'
 * side, and guarantees there that no byte of a batch job's attempt leaves before the intent to send it is on
 * the disk; everybody else's attempts pass by untouched. An intent that can't be written, or takes too long,
 * ends the attempt as not sent, so that no worker is blamed for the disk. Owned by the loop.
 */
final class Turns implements Region {

    private static final Logger LOG = Logger.getLogger(Turns.class.getName());
    /** So long an attempt waits for the disk: for longer, and the worker would be thought silent. */
    private static final long DISK_PATIENCE = 200_000;
    /** What a job costs in its tenant's turn if nobody has said. */
    private static final double USUAL_COST = 1_000_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Region workers;
    private final DurableStore store;
    private final Book book;
    private final Bodies bodies;
    private final Ends ends;
    private final FairQueue fair;
    private final BatchConcurrencyLimit pace;
    private final boolean intentFirst;
    private final Map<String, Turn> byName = new HashMap<>();
    private final Map<Long, Turn> byKey = new HashMap<>();
    /** Attempts whose intent is on its way to the disk. */
    private final Set<RoutedTask> pending = new HashSet<>();
    private boolean pumping;
    private boolean stopped;
    private long wakeAt;
    private long intents;

    Turns(Loop loop, Exchange exchange, Region workers, DurableStore store, Book book, Bodies bodies,
            Ends ends,
            FairQueue fair, BatchConcurrencyLimit pace, boolean intentFirst) {
        this.loop = loop;
        this.exchange = exchange;
        this.workers = workers;
        this.store = store;
        this.book = book;
        this.bodies = bodies;
        this.ends = ends;
        this.fair = fair;
        this.pace = pace;
        this.intentFirst = intentFirst;
    }

    /** Whether a transaction of that name is a batch job's. */
    boolean isOurs(String txn) {
        return byName.containsKey(txn);
    }

    BatchConcurrencyLimit pace() {
        return pace;
    }

    long intents() {
        return intents;
    }

    /** The array may have something to hand out. */
    void ready(JobArray array) {
        if (array.startAt > loop.now()) {
            loop.at(array.startAt, () -> ready(array));
            return;
        }
        if (array.hasNext()) {
            fair.activate(array.number, array.session.tenant);
            pumpSoon();
        }
    }

    /** Nothing new goes out from now on. */
    void stop() {
        stopped = true;
    }

    /** Jobs that are out. */
    int out() {
        return byKey.size();
    }

    /** In the next turn of the loop, once, however many things make it due. */
    void pumpSoon() {
        if (!pumping) {
            pumping = true;
            loop.post(this::pump);
        }
    }

    private void pump() {
        pumping = false;
        while (!stopped && !fair.isEmpty() && pace.available(loop.now()) > 0) {
            long line = fair.next(this::cost);
            var array = book.arrays.get(line);
            if (array == null || !array.hasNext()) {
                // Its jobs were held or terminated meanwhile.
                fair.deactivate(line);
                continue;
            }
            int slot = array.take();
            if (!array.hasNext()) {
                fair.deactivate(array.number);
            }
            begin(new Turn(array, slot));
        }
        long notBefore = pace.notBefore();
        if (!stopped && !fair.isEmpty() && notBefore > loop.now() && notBefore > wakeAt) {
            wakeAt = notBefore;
            loop.at(notBefore, this::pumpSoon);
        }
    }

    private double cost(long line) {
        var array = book.arrays.get(line);
        if (array == null || !array.hasNext()) {
            return USUAL_COST;
        }
        long hint = array.template(array.peek()).hint();
        return hint == 0 ? USUAL_COST : hint;
    }

    private void begin(Turn turn) {
        pace.sent();
        byKey.put(turn.array.key(turn.slot), turn);
        bodies.of(turn.array, turn.slot, turn::handIn);
    }

    /**
     * Ends a job at its submitter's wish. One that is out and must run once goes on, as nothing can be
     * known of it otherwise; that one's own end counts. True if the job has ended, or will be told as
     * ended.
     */
    boolean terminate(JobArray array, int slot) {
        var turn = byKey.get(array.key(slot));
        if (turn != null) {
            return turn.terminate();
        }
        var state = array.state(slot);
        if (state == State.QUEUED || state == State.HELD) {
            array.keepBack(slot);
            ends.end(array, slot, Ends.End.failed("", "terminated before it ran", 0));
            return true;
        }
        return false;
    }

    /** The array has nothing to hand out any more, for whatever reason. */
    void gone(JobArray array) {
        fair.deactivate(array.number);
    }

    /**
     * A worker has told that a job has started, so long after it was sent; {@code aim}: a client's job's, 0
     * for ours.
     */
    void started(boolean ours, long waited, long aim) {
        if (ours) {
            pace.started(loop.now(), waited);
            pumpSoon();
        } else {
            pace.clientStarted(loop.now(), waited, aim);
        }
    }

    @Override
    public void start(RoutedTask task) {
        var turn = byName.get(task.submission().txn());
        if (turn == null) {
            workers.start(task);
            return;
        }
        turn.worker = task.worker();
        turn.intended = true;
        intents++;
        var array = turn.array;
        var intent = new Records.Job(State.RUNNING, array.turn(turn.slot), array.failures(turn.slot), true,
                false,
                task.worker(), "", Ends.End.NOTHING, turn.beganAt, 0);
        var changes = Records.job(new Changes(), array.key(turn.slot), intent);
        if (!intentFirst) {
            workers.start(task);
            return;
        }
        pending.add(task);
        store.write(changes, failed -> loop.post(() -> intended(task, failed)));
        loop.at(loop.now() + DISK_PATIENCE, () -> tooLong(task));
    }

    private void intended(RoutedTask task, IOException failed) {
        if (!pending.remove(task) || task.ended()) {
            return;
        }
        if (failed == null) {
            workers.start(task);
        } else {
            Note.warning(LOG, "a batch job is not sent, as that can't be written: {why}",
                    "why", failed.getMessage());
            exchange.ended(task, Outcome.NOT_SENT);
        }
    }

    private void tooLong(RoutedTask task) {
        if (pending.remove(task) && !task.ended()) {
            exchange.ended(task, Outcome.NOT_SENT);
        }
    }

    @Override
    public void giveUp(RoutedTask task) {
        if (!pending.remove(task)) {
            workers.giveUp(task);
        }
    }

    @Override
    public boolean recall(RoutedTask task, Consumer<Recalled> answered) {
        return !pending.contains(task) && workers.recall(task, answered);
    }

    /** One pass of a job through the decision module. */
    private final class Turn implements Terminal {
        private final JobArray array;
        private final int slot;
        private final Template template;
        private final boolean runsOnce;
        private final long beganAt = loop.now();
        private Transaction transaction;
        private String name;
        private String worker = "";
        /** An attempt may have left. */
        private boolean intended;
        private boolean terminated;
        private boolean over;

        Turn(JobArray array, int slot) {
            this.array = array;
            this.slot = slot;
            template = array.template(slot);
            runsOnce = book.kinds.runsOnce(template.jobClass());
        }

        void handIn(byte[] body) {
            if (over) {
                return;
            }
            if (body == null) {
                // The disk may be read again later; a job without its body must not go out.
                finish(false);
                putBack(false, RecoveryPolicy.backoff(1));
                return;
            }
            name = array.name(slot);
            byName.put(name, this);
            var submission = new Submission(name, template.jobClass(), array.session.tenant, template.slots(),
                    template.memory(), template.hint(), loop.now() + template.patience(),
                    template.target(array.index(slot)), body);
            transaction = exchange.submit(submission, this);
        }

        @Override
        public void served(String result) {
            finish(true);
            ends.end(array, slot, Ends.End.done(worker, result == null ? Ends.End.NOTHING
                    : result.getBytes(StandardCharsets.UTF_8), beganAt));
        }

        @Override
        public void refused(long retryAfter, boolean mayHaveRun) {
            if (runsOnce && mayHaveRun) {
                failed();
                return;
            }
            finish(false);
            pace.refused(loop.now(), retryAfter);
            if (terminated) {
                ends.end(array, slot, Ends.End.failed("", "terminated before it ran", beganAt));
                return;
            }
            if (runsOnce && intended) {
                // What was turned away has not run: after a kill the disk must not say that it may have.
                array.named(slot);
                store.write(Records.job(new Changes(), array.key(slot), new Records.Job(State.QUEUED,
                        array.turn(slot), array.failures(slot), false, false, "", "", Ends.End.NOTHING, 0,
                                0)),
                        failed -> { });
                putBackNamed(false, 0);
            } else {
                putBack(false, 0);
            }
        }

        @Override
        public void failed() {
            finish(false);
            int failures = array.failures(slot) + 1;
            var next = RecoveryPolicy.nextStep(RecoveryPolicy.DispatchOutcome.FAILED, runsOnce, failures,
                    template.failures());
            if (next == NextStep.RESUBMIT && !terminated) {
                putBack(true, RecoveryPolicy.backoff(failures));
            } else {
                ends.end(array, slot, Ends.End.failed(worker, terminated ? "terminated while it ran"
                        : runsOnce ? "it failed or was lost, and must not run twice"
                        : "it failed " + failures + " times", beganAt));
            }
        }

        boolean terminate() {
            terminated = true;
            if (runsOnce && transaction != null) {
                return false;
            }
            boolean began = transaction != null;
            if (began) {
                exchange.left(transaction);
            }
            finish(false);
            ends.end(array, slot, Ends.End.failed(worker,
                    began ? "terminated while it ran" : "terminated before it ran", beganAt));
            return true;
        }

        private void finish(boolean served) {
            over = true;
            if (name != null) {
                byName.remove(name);
            }
            byKey.remove(array.key(slot));
            pace.ended(served);
            pumpSoon();
        }

        private void putBack(boolean failed, long pause) {
            array.named(slot);
            putBackNamed(failed, pause);
        }

        private void putBackNamed(boolean failed, long pause) {
            array.putBack(slot, failed);
            if (pause == 0) {
                array.comeBack(slot);
                ready(array);
            } else {
                loop.at(loop.now() + pause, () -> {
                    array.comeBack(slot);
                    ready(array);
                });
            }
        }
    }
}
