package ryemast.batch;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Observer;
import ryemast.core.Recalled;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.core.Submission;
import ryemast.net.Addresses;
import ryemast.pacing.FairQueue;
import ryemast.pacing.BatchConcurrencyLimit;
import ryemast.store.DurableStore;
import ryemast.store.StoreException;

/**
 * The batch front as a whole: taken up from the disk, listening, ending. Guarantees that the dispatcher
 * serves its clients whatever becomes of it: a store or a key that can't be used is told in the log, and
 * the front stays closed. What reads the disk at the start runs beside the loop.
 */
public final class BatchFront implements Region {

    private static final Logger LOG = Logger.getLogger(BatchFront.class.getName());
    private static final String FILE = "batch.mv";
    private static final long FIGURES = 60_000_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Region workers;
    private final BatchSettings settings;
    private final JobKinds kinds;
    private final double[] shares;
    private final boolean startsTold;
    private final Watch watch = new Watch();
    /** Null until what is on the disk has been read, and for ever if it can't be. */
    private DurableStore store;
    private Turns turns;
    private Ends ends;
    private Waits waits;
    private Keeper keeper;
    private BatchServer server;
    private Book book;
    private boolean draining;

    /**
     * @param workers     the workers' side, which batch jobs go to through this front
     * @param shares      by account: what part of the batch work each may have while others want some
     * @param startsTold  whether workers tell when a job has started
     */
    public BatchFront(Loop loop, Exchange exchange, Region workers, BatchSettings settings, JobKinds kinds,
            double[] shares, boolean startsTold) {
        this.loop = loop;
        this.exchange = exchange;
        this.workers = workers;
        this.settings = settings;
        this.kinds = kinds;
        this.shares = shares.clone();
        this.startsTold = startsTold;
    }

    /** Reads the disk and listens, beside the loop; to be called once. */
    public void begin() {
        var thread = new Thread(this::takeUp, "batch start");
        thread.setDaemon(true);
        thread.start();
    }

    private void takeUp() {
        long began = System.nanoTime();
        DurableStore opened = null;
        try {
            var tls = Tls.read(settings.keys());
            opened = DurableStore.open(settings.folder().resolve(FILE), new DurableStore.Kind(Records.PURPOSE,
                    Records.SCHEMA, settings.limits().storeBytes(), settings.limits().reserveBytes()));
            var found = Recovery.read(opened, kinds);
            var ready = opened;
            loop.post(() -> goOn(ready, found, tls, began));
        } catch (IOException | StoreException e) {
            closed(opened, e.getMessage(), null);
        } catch (RuntimeException e) {
            closed(opened, e.toString(), e);
        }
    }

    private static void closed(DurableStore opened, String why, RuntimeException bug) {
        Note.log(LOG, Level.SEVERE, bug, "batch submission stays closed, all else goes on: {why}", "why",
                why);
        if (opened != null) {
            opened.close();
        }
    }

    private void goOn(DurableStore opened, Recovery.Found found, Tls tls, long began) {
        store = opened;
        book = found.book();
        var bodies = new Bodies(loop, store);
        ends = new Ends(loop, store, book, this::over);
        turns = new Turns(loop, exchange, workers, store, book, bodies, ends, new FairQueue(shares),
                new BatchConcurrencyLimit(settings.limits().mostOut(), startsTold), settings.intentFirst());
        waits = new Waits(loop, (array, slot, then) -> keeper.info(array, slot, then));
        keeper = new Keeper(loop, store, book, turns, waits, bodies, settings.limits().retain());
        var requests = new Requests(loop, store, book, waits, keeper, settings.limits());
        server = new BatchServer(loop, requests, waits, kinds, settings.limits(), tls);
        exchange.observe(watch);
        found.cutOff().forEach(each -> ends.end(each.array(), each.slot(), Ends.End.failed(each.worker(),
                "it may have run at " + each.worker()
                        + " when the dispatcher was ended, and must not run twice",
                each.beganAt())));
        keeper.clear(found.orphans());
        found.doubles().forEach(keeper::drop);
        List.copyOf(book.sessions.values()).stream().filter(each -> each.closing).forEach(keeper::close);
        book.arrays.values().forEach(turns::ready);
        keeper.sweep();
        loop.at(loop.now() + FIGURES, this::tellFigures);
        Note.info(LOG,
                "batch: taken up in {ms} ms: {sessions} sessions, {arrays} arrays, {open} jobs that are"
                + " not over; {again} were out and go out again, {cut} may have run and end as failed",
                "ms", (System.nanoTime() - began) / 1_000_000, "sessions", book.sessions.size(),
                "arrays", book.arrays.size(), "open", book.open, "again", found.again(),
                "cut", found.cutOff().size());
        listen();
    }

    private void listen() {
        if (draining) {
            turns.stop();
            server.end();
            return;
        }
        var thread = new Thread(() -> {
            try {
                var address = server.listen(settings.listen());
                Note.info(LOG, "batch submission at {address}", "address", Addresses.text(address));
            } catch (IOException e) {
                Note.log(LOG, Level.SEVERE, null,
                        "batch submission stays closed, as {address} can't be had: {why}",
                        "address", Addresses.text(settings.listen()), "why", e.getMessage());
            }
        }, "batch listen");
        thread.setDaemon(true);
        thread.start();
    }

    private void over(JobArray array, int slot) {
        turns.ready(array);
        waits.over(array, slot);
        keeper.over(array);
    }

    /**
     * Reads keys and revocations anew; an {@link IOException} says which can't be used, and the old ones
     * stay.
     */
    public void reload() throws IOException {
        var tls = Tls.read(settings.keys());
        loop.post(() -> {
            if (server != null) {
                server.keys(tls);
            }
        });
    }

    /** Nothing new is taken or handed out; what is out ends. On the loop. */
    public void drain() {
        draining = true;
        if (turns != null) {
            turns.stop();
            server.end();
        }
    }

    /** Whether all that was out has ended, and is on the disk. On the loop. */
    public boolean isQuiet() {
        return turns == null || turns.out() == 0 && ends.quiet();
    }

    /** Ends connections and the store; after the loop. */
    public void close() {
        if (server != null) {
            server.stop();
        }
        if (store != null) {
            store.close();
        }
    }

    private void tellFigures() {
        var figures = store.figures();
        if (book.open > 0 || turns.out() > 0) {
            Note.info(LOG,
                    "batch: {open} jobs not over, {out} out of {limit} allowed, {done} done and {failed}"
                    + " failed since the start; {commits} commits, the longest {longest} ms, {mb} MB on disk,"
                    + " {unwritten} ends to write", "open", book.open, "out", turns.out(),
                    "limit", (int) turns.pace().limit(), "done", book.done, "failed", book.failed,
                    "commits", figures.commits(), "longest", figures.longestCommitMicros() / 1_000,
                    "mb", figures.fileBytes() / 1_000_000, "unwritten", ends.waiting());
        }
        loop.at(loop.now() + FIGURES, this::tellFigures);
    }

    @Override
    public void start(RoutedTask task) {
        if (turns == null) {
            workers.start(task);
        } else {
            turns.start(task);
        }
    }

    @Override
    public void giveUp(RoutedTask task) {
        if (turns == null) {
            workers.giveUp(task);
        } else {
            turns.giveUp(task);
        }
    }

    @Override
    public boolean recall(RoutedTask task, Consumer<Recalled> answered) {
        return turns == null ? workers.recall(task, answered) : turns.recall(task, answered);
    }

    /** Tells the pace how long jobs wait at their workers, and what clients were refused. */
    private final class Watch implements Observer {
        private final Map<Long, Seen> seen = new HashMap<>();

        private static final class Seen {
            private final boolean ours;
            private final long aim;
            private long sentAt;
            private int attempt = -1;

            Seen(boolean ours, long aim) {
                this.ours = ours;
                this.aim = aim;
            }
        }

        @Override
        public void taken(long number, Submission submission, long now) {
            boolean ours = turns.isOurs(submission.txn());
            seen.put(number, new Seen(ours, ours ? 0 : kinds.classes().get(submission.jobClass()).aim()));
        }

        @Override
        public void turnedAway(Submission submission, long now) {
            if (!turns.isOurs(submission.txn())) {
                turns.pace().clientRefused(now);
            }
        }

        @Override
        public void sent(long number, int attempt, String worker, long until, long now) {
            var one = seen.get(number);
            if (one != null) {
                one.sentAt = now;
                one.attempt = attempt;
            }
        }

        @Override
        public void accepted(long number, int attempt, long now) {
            // A worker that takes a job may let it wait: only the start counts.
        }

        @Override
        public void started(long number, int attempt, long now) {
            var one = seen.get(number);
            if (one != null && one.attempt == attempt) {
                turns.started(one.ours, now - one.sentAt, one.aim);
            }
        }

        @Override
        public void progressed(long number, int attempt, double share, long now) {
            // Nothing to learn from it here.
        }

        @Override
        public void ended(long number, int attempt, Outcome outcome, long now) {
            // What matters is the answer.
        }

        @Override
        public void answered(long number, Answer answer, long retryAfter, long now) {
            var one = seen.remove(number);
            if (one != null && !one.ours && answer == Answer.REFUSED) {
                turns.pace().clientRefused(now);
            }
        }

        @Override
        public void listed(ListKind kind, List<WorkerInfo> workers, long now) {
            // The module's business.
        }
    }
}
