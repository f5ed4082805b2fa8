package ryemast.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import pipitladder.Dispatcher;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptProgress;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.ClientGone;
import pipitladder.Dispatcher.DiscoveryLost;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.PeersTold;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.SetTimer;
import pipitladder.Dispatcher.Subscribe;
import pipitladder.Dispatcher.TimerDue;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerLived;
import pipitladder.Dispatcher.WorkerState;

/**
 * Stands between the fronts, the regions, the service table and the decision module; it decides nothing.
 * It owns the transactions and their routed tasks, numbers them for the module, and sees to it that each
 * transaction is answered once and each routed task ends once. All calls are made on the loop's thread.
 */
public final class Exchange {

    private static final Logger LOG = Logger.getLogger(Exchange.class.getName());
    /** So many names are remembered by default: at the busiest, those of a minute or more. */
    public static final int NAMES = 4096;

    private final Loop loop;
    private final Dispatcher module;
    private final int maxOpen;
    private final int maxAttempts;
    private final long grace;
    private Region region;
    private ServiceTable serviceTable;
    /** Null, as mostly: nobody looks on. */
    private Observer observer;
    /** Null, as mostly: no source of workers needs to know what calls show of them. */
    private Members vitals;
    private final Map<String, Transaction> byTxn = new HashMap<>();
    private final Map<Long, Transaction> byNumber = new HashMap<>();
    private final UsedNames usedNames;
    /** Every worker that was ever listed, and what the list says of it now. */
    private final Map<String, WorkerState> listedWorkers = new HashMap<>();
    private List<Event> gathered = new ArrayList<>();
    private final List<Action> actions = new ArrayList<>();
    private final Recalls recalls;
    private long lastNumber;
    private int open;
    /** No request may wait for longer than until then, as the program is about to end. */
    private long endBy = Long.MAX_VALUE;

    /**
     * @param maxOpen      how many transactions may be open; more are turned away before the module
     * @param maxAttempts  how many routed tasks one transaction may have
     * @param grace        how long after the deadline an answer still counts, in microseconds
     */
    public Exchange(Loop loop, Dispatcher module, int maxOpen, int maxAttempts, long grace) {
        this(loop, module, maxOpen, maxAttempts, grace, NAMES);
    }

    /** {@code names}: how many transactions' names are remembered, so that none is used twice. */
    public Exchange(Loop loop, Dispatcher module, int maxOpen, int maxAttempts, long grace, int names) {
        this.loop = loop;
        this.module = module;
        this.maxOpen = maxOpen;
        this.maxAttempts = maxAttempts;
        this.grace = grace;
        usedNames = new UsedNames(names);
        recalls = new Recalls(loop, (task, outcome) -> conclude(task, outcome, null));
        loop.settleWith(this::settle);
    }

    public void connect(Region toWorkers, ServiceTable table) {
        region = toWorkers;
        recalls.connect(toWorkers);
        serviceTable = table;
    }

    /** Lets somebody look on from now on, beside those who do already. */
    public void observe(Observer by) {
        observer = observer == null ? by : new BothObservers(observer, by);
    }

    /** From now on tells the members what calls show of workers. */
    public void tellVitals(Members to) {
        vitals = to;
    }

    /** From now on each request that is taken in is answered by then, whatever its client would wait for. */
    public void endBy(long time) {
        endBy = time;
    }

    /**
     * From now on an attempt of such a class whose end is uncertain ends only once its worker has answered
     * that it is to be dropped: its connection broke without an answer, and the break may have been seen on
     * this side alone, or the worker told an end that may be an earlier attempt's. For classes that may go
     * out again.
     */
    public void recallUncertain(IntPredicate classes) {
        recalls.awaitUncertain(classes);
    }

    /** How many transactions still wait for their answer. */
    public int open() {
        return open;
    }

    /**
     * Whether the name is free. Two open transactions under one name could not be told apart, and workers
     * turn away a name that they have had before, so that one used lately is not free either.
     */
    public boolean isFree(String txn) {
        return !isKept(txn) && !usedNames.contains(txn);
    }

    /** Whether the transaction of that name is still kept: it is not answered, or a routed task is out. */
    boolean isKept(String txn) {
        return byTxn.containsKey(txn);
    }

    /**
     * Takes in a transaction whose name {@link #isFree}. From here on its terminal is owed one answer; null
     * if it has got that at once, as too many are open.
     */
    public Transaction submit(Submission submission, Terminal terminal) {
        if (open >= maxOpen) {
            if (observer != null) {
                observer.turnedAway(submission, loop.now());
            }
            terminal.refused(0, false);
            return null;
        }
        var taken = submission.deadline() <= endBy ? submission : submission.withDeadline(endBy);
        return taken(new Transaction(++lastNumber, taken, terminal));
    }

    private Transaction taken(Transaction transaction) {
        var submission = transaction.submission;
        open++;
        byTxn.put(submission.txn(), transaction);
        usedNames.taken(submission.txn());
        byNumber.put(transaction.number, transaction);
        if (observer != null) {
            observer.taken(transaction.number, submission, loop.now());
        }
        // A turn later, as in this one the module may hear of the deadline for the first time, after a stall.
        transaction.backstop = loop.at(submission.deadline() + grace,
                () -> loop.post(() -> overdue(transaction)));
        gathered.add(new Request(transaction.number, submission.jobClass(), submission.tenant(),
                submission.slots(), submission.memory(), submission.costHint(),
                Math.max(0, submission.deadline() - loop.now())));
        return transaction;
    }

    /** The client has closed its connection. */
    public void left(Transaction transaction) {
        if (!transaction.answered) {
            told(transaction, Observer.Answer.LEFT, 0);
            finish(transaction);
            gathered.add(new ClientGone(transaction.number));
        }
    }

    /**
     * Whether an attempt may still be written to its worker. A connection takes time to come up, and
     * meanwhile the client may have left or been answered, or be out of sight, the time of the attempt may
     * have passed, or the worker may have begun to drain. Asked of the clock itself, as the turn's reading
     * may be old by now.
     */
    public boolean mayBegin(RoutedTask task) {
        return mayBeginOnce(task, Terminal.Presence.PRESENT);
    }

    /** Whether an attempt may begin soon: for a moment it is not known if its client is there. */
    public boolean mayBeginLater(RoutedTask task) {
        return mayBeginOnce(task, Terminal.Presence.UNKNOWN);
    }

    private boolean mayBeginOnce(RoutedTask task, Terminal.Presence client) {
        return !task.ended() && !task.transaction.answered
                && task.transaction.terminal.presence() == client
                && loop.clock() < Math.min(task.until, task.beginBy)
                && listedWorkers.get(task.worker) == WorkerState.READY;
    }

    /** The worker has taken the job. */
    public void accepted(RoutedTask task) {
        if (observer != null && !task.accepted()) {
            observer.accepted(task.transaction.number, task.number, loop.now());
        }
        if (vitals != null) {
            vitals.heard(task.worker);
        }
        task.accept();
    }

    /** A worker answered at {@code to} on a connection that had been open since {@code from}. */
    public void lived(String worker, long from, long to) {
        gathered.add(new WorkerLived(worker, from, to));
    }

    /** The region reports the end of a routed task; one that has ended already is passed over. */
    public void ended(RoutedTask task, Outcome outcome) {
        if (outcome != Outcome.RESET || !recalls.awaitsUncertain(task)) {
            conclude(task, outcome, null);
        }
    }

    /** A worker's word on a job. It may come before the 202, repeatedly, or for what is long over. */
    public void calledBack(CallBack call) {
        var attribution = CallBackAttribution.of(byTxn.get(call.txn()), call);
        if (attribution == null) {
            if (LOG.isLoggable(Level.FINE)) {
                Note.log(LOG, Level.FINE, null, "call-back for nothing that is open: {txn} {state}",
                        "txn", call.txn(), "state", call.state(), "worker", call.from());
            }
            return;
        }
        var task = attribution.attempt();
        if (vitals != null) {
            vitals.heard(task.worker);
        }
        if (!attribution.isCertain()) {
            mayHaveEnded(task, call.state());
            return;
        }
        switch (call.state()) {
            case STARTED -> started(task);
            case RUNNING -> {
                started(task);
                if (observer != null) {
                    observer.progressed(task.transaction.number, task.number, call.share(), loop.now());
                }
                gathered.add(new AttemptProgress(task.transaction.number, task.number, task.worker,
                        call.share()));
            }
            case DONE -> conclude(task, Outcome.SUCCESS, call.result());
            case FAILED -> conclude(task, Outcome.ERROR, null);
            case RETURNED -> conclude(task, Outcome.REJECTED, null);
            case LOST -> conclude(task, Outcome.RESET, null);
            default -> throw new IllegalStateException(call.state().name());
        }
    }

    /**
     * The worker has told an end that an earlier attempt there may have come to. Where a job may be repeated
     * its worker is asked to drop it, which settles it for both; else the attempt goes on.
     */
    private void mayHaveEnded(RoutedTask task, CallBack.State told) {
        boolean asked = recalls.awaitsUncertain(task);
        Note.info(LOG, "{txn}: {worker} tells {state}, maybe of an earlier attempt; attempt {attempt} {next}",
                "txn", task.submission().txn(), "worker", task.worker, "state", told,
                "attempt", task.number, "next", asked ? "ends once it is dropped there" : "goes on");
    }

    private void started(RoutedTask task) {
        if (!task.toldOfStart) {
            task.toldOfStart = true;
            if (observer != null) {
                observer.started(task.transaction.number, task.number, loop.now());
            }
            gathered.add(new AttemptStarted(task.transaction.number, task.number, task.worker));
        }
    }

    /** What the service table says; the module follows it before its next round. */
    public void listed(ListKind kind, List<WorkerInfo> workers) {
        if (kind.isWhole()) {
            listedWorkers.replaceAll((worker, state) -> WorkerState.GONE);
        }
        workers.forEach(worker -> listedWorkers.put(worker.id(), worker.state()));
        if (observer != null) {
            observer.listed(kind, workers, loop.now());
        }
        gathered.add(new WorkerList(kind, workers));
    }

    /** Discovery is not listened to any more; the module hears of it before its next round. */
    void discoveryLost(long heardAt) {
        gathered.add(new DiscoveryLost(heardAt));
    }

    /** Nothing need be known of these workers any more: they have been gone for long. */
    void forgotten(List<String> workers) {
        listedWorkers.keySet().removeAll(workers);
        gathered.add(new WorkerList(ListKind.FORGOTTEN, workers.stream()
                .map(id -> new WorkerInfo(id, WorkerState.GONE, 0, 0, 0, 1, 0)).toList()));
    }

    /** What peers tell of workers; the module takes it in before its next round. */
    public void told(PeersTold signals) {
        gathered.add(signals);
    }

    private void conclude(RoutedTask task, Outcome outcome, String result) {
        if (task.ended()) {
            return;
        }
        task.end(outcome);
        task.timeOut.run();
        if (vitals != null && outcome == Outcome.CONNECT_FAILED) {
            vitals.unreachable(task.worker);
        }
        var transaction = task.transaction;
        if (observer != null) {
            observer.ended(transaction.number, task.number, outcome, loop.now());
        }
        if (outcome == Outcome.SUCCESS && !transaction.answered) {
            answer(transaction, Observer.Answer.SERVED, 0, each -> each.terminal.served(result));
        }
        gathered.add(new AttemptEnded(transaction.number, task.number, task.worker, outcome,
                transaction.answered, null));
        forgetIfOver(transaction);
    }

    private void finish(Transaction transaction) {
        transaction.answered = true;
        transaction.submission = transaction.submission.withoutBody();
        transaction.backstop.run();
        open--;
        forgetIfOver(transaction);
    }

    private void answer(Transaction transaction, Observer.Answer what, long retryAfter,
            Consumer<Transaction> answer) {
        told(transaction, what, retryAfter);
        logUnserved(transaction, what);
        finish(transaction);
        Loop.guarded("an answer", () -> answer.accept(transaction));
    }

    /** Those that were never forwarded are counted by cause alone: they are many where room is short. */
    private static void logUnserved(Transaction transaction, Observer.Answer what) {
        if (what != Observer.Answer.SERVED && !transaction.tasks.isEmpty() && LOG.isLoggable(Level.INFO)) {
            Note.info(LOG, "{txn}: {answer} after attempts {attempts}", "txn", transaction.submission.txn(),
                    "answer", what, "attempts", transaction.attempts());
        }
    }

    private void told(Transaction transaction, Observer.Answer what, long retryAfter) {
        if (observer != null) {
            observer.answered(transaction.number, what, retryAfter, loop.now());
        }
    }

    private void forgetIfOver(Transaction transaction) {
        if (transaction.over()) {
            byTxn.remove(transaction.submission.txn(), transaction);
            byNumber.remove(transaction.number);
        }
    }

    /** Guards a client against an answer that the module forgot, as after a bug: it fails in time. */
    private void overdue(Transaction transaction) {
        if (!transaction.answered) {
            Note.log(LOG, Level.SEVERE, null, "no final answer for {txn} by its deadline",
                    "txn", transaction.submission.txn());
            failForModule(transaction);
        }
    }

    private void failForModule(Transaction transaction) {
        answer(transaction, Observer.Answer.FAILED, 0, each -> each.terminal.failed());
        gathered.add(new ClientGone(transaction.number));
    }

    /** Hands what was gathered to the module at one clock reading, then carries out its actions in order. */
    private boolean settle() {
        var events = gathered;
        gathered = new ArrayList<>();
        for (var event : events) {
            try {
                module.handle(loop.now(), event, actions::add);
            } catch (RuntimeException | StackOverflowError e) {
                Note.log(LOG, Level.SEVERE, e, "the module failed on {event}", "event", event);
                if (event instanceof Request request && byNumber.containsKey(request.id())) {
                    failForModule(byNumber.get(request.id()));
                }
            }
        }
        for (var action : actions) {
            Loop.guarded("an action", () -> carryOut(action));
        }
        actions.clear();
        return !gathered.isEmpty();
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(byNumber.get(send.request()), send);
        } else if (action instanceof SetTimer timer) {
            loop.at(timer.dueAt(), () -> gathered.add(new TimerDue(timer.name())));
        } else if (action instanceof Refuse refuse) {
            answer(refuse.request(), Observer.Answer.REFUSED, refuse.retryAfter(),
                    each -> each.terminal.refused(refuse.retryAfter(), each.mayHaveRun()));
        } else if (action instanceof Fail fail) {
            answer(fail.request(), Observer.Answer.FAILED, 0, each -> each.terminal.failed());
        } else if (action instanceof Cancel cancel) {
            cancel(byNumber.get(cancel.request()), cancel.attempt());
        } else if (action instanceof Subscribe) {
            serviceTable.watch();
        } else if (action instanceof Dispatcher.Log log) {
            LOG.info(log.text());
        } else {
            LOG.warning("not permitted here: " + action);
        }
    }

    private void answer(long number, Observer.Answer what, long retryAfter, Consumer<Transaction> answer) {
        var transaction = byNumber.get(number);
        if (transaction != null && !transaction.answered) {
            answer(transaction, what, retryAfter, answer);
        }
    }

    /** A time-out is cut at the client's deadline, so that the module can still answer in time. */
    private void send(Transaction transaction, Send send) {
        if (transaction == null) {
            Note.warning(LOG, "a send for a transaction that is over: {send}", "send", send,
                    "worker", send.worker());
            return;
        }
        long deadline = transaction.submission.deadline();
        long until = send.timeOut() > 0 ? Math.min(deadline, loop.now() + send.timeOut()) : deadline;
        var task = new RoutedTask(transaction, transaction.tasks.size(), send.worker(), until,
                send.beginBy());
        logFurtherAttempt(transaction, task);
        transaction.tasks.add(task);
        if (observer != null) {
            observer.sent(transaction.number, task.number, task.worker, until, loop.now());
        }
        boolean moot = transaction.answered || until <= loop.now() || task.number >= maxAttempts
                || !listedWorkers.containsKey(send.worker());
        task.timeOut = moot ? () -> { } : loop.at(until, () -> abandon(task, Outcome.TIMED_OUT));
        if (moot) {
            conclude(task, Outcome.NOT_SENT, null);
        } else {
            usedNames.sent(transaction.submission.txn());
            region.start(task);
        }
    }

    /** Why a job goes out again: how its attempts before ended, or that they are still out. */
    private static void logFurtherAttempt(Transaction transaction, RoutedTask next) {
        if (next.number > 0 && LOG.isLoggable(Level.INFO)) {
            Note.info(LOG, "{txn}: attempt {attempt} goes to {worker}; before: {attempts}",
                    "txn", transaction.submission.txn(), "attempt", next.number, "worker", next.worker,
                    "attempts", transaction.attempts());
        }
    }

    /**
     * An attempt that is cancelled ends only once its worker has answered that, or the way there would let
     * the next attempt overtake the word of the first one's end.
     */
    private void cancel(Transaction transaction, int number) {
        if (transaction != null && number >= 0 && number < transaction.tasks.size()) {
            var task = transaction.tasks.get(number);
            if (!recalls.awaitsCancelled(task)) {
                abandon(task, Outcome.CANCELLED);
            }
        }
    }

    private void abandon(RoutedTask task, Outcome outcome) {
        if (!task.ended()) {
            conclude(task, outcome, null);
            region.giveUp(task);
        }
    }
}
