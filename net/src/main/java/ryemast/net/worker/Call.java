package ryemast.net.worker;

import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import pipitladder.Dispatcher.Outcome;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Note;
import ryemast.core.Recalled;
import ryemast.core.RoutedTask;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/** One message to a worker; without a task it is a cancel, whose answer says that the job is dropped. */
final class Call {

    private static final Logger LOG = Logger.getLogger(Call.class.getName());
    private static final int ERROR = 500;
    private static final long NOT_HELD = Long.MIN_VALUE;
    private static final String TURNED_AWAY = "x-turned-away";
    /** The headers of an answer that are read, in lower case. */
    static final Set<String> HEADERS = Set.of(TURNED_AWAY);

    private final Supplier<HttpMessage> message;
    private final Exchange exchange;
    private final RoutedTask task;
    private final long startedAt;
    /** Who is told what came of a cancel; null for an attempt. */
    private final Consumer<Recalled> heard;
    private final boolean mindsAnswers;
    private boolean begun;
    /** Since when it waits as its client may have left, on the loop's clock; {@link #NOT_HELD} for not. */
    private long heldSince = NOT_HELD;

    /** {@code message}: made once, when it is written. */
    Call(Exchange exchange, RoutedTask task, Supplier<HttpMessage> message, long startedAt) {
        this.exchange = exchange;
        this.task = task;
        this.message = message;
        this.startedAt = startedAt;
        heard = null;
        mindsAnswers = true;
    }

    /**
     * A cancel; {@code heard} is told once what came of it.
     *
     * @param mindsAnswers  whether another call's answer must not be taken for this one's
     */
    Call(HttpMessage cancel, Consumer<Recalled> heard, boolean mindsAnswers, long startedAt) {
        exchange = null;
        task = null;
        message = () -> cancel;
        this.heard = heard;
        this.mindsAnswers = mindsAnswers;
        this.startedAt = startedAt;
    }

    /** Whether its answer must not be mixed up with another one's. */
    boolean mindsAnswers() {
        return mindsAnswers;
    }

    /** Whether it may still be written; see {@link Exchange#mayBegin}. */
    boolean mayBegin() {
        return task == null || exchange.mayBegin(task);
    }

    /** Whether it is to be asked again soon; see {@link Exchange#mayBeginLater}. */
    boolean mayBeginLater() {
        return task != null && exchange.mayBeginLater(task);
    }

    /** It waits from here on, if it doesn't yet, as its client may have left. */
    void hold(long now) {
        heldSince = heldSince == NOT_HELD ? now : heldSince;
    }

    /** Says how long it waited for its client, if it did, and whether it goes out now. */
    void logHeld(long now, boolean goesOut) {
        if (heldSince != NOT_HELD) {
            Note.info(LOG, "{txn}: its attempt at {worker} waited {held_ms} ms as its client may have left,"
                    + " and {next}", "txn", txn(), "worker", worker(),
                    "held_ms", (now - heldSince) / Clock.MICROS_PER_MS,
                    "next", goesOut ? "goes out" : "does not go out");
        }
    }

    /** It must not be written any more: the attempt never reached the worker. */
    void neverBegan() {
        exchange.ended(task, Outcome.NOT_SENT);
    }

    HttpMessage message() {
        return message.get();
    }

    /** The worker and the name of the job that it is about; null for a cancel. */
    String worker() {
        return task == null ? null : task.worker();
    }

    String txn() {
        return task == null ? null : task.submission().txn();
    }

    /** Whether the task's answer is still to come on the connection that carries this. */
    boolean carries(RoutedTask other) {
        return task == other;
    }

    /** Whether any of it may have been written. */
    boolean hasBegun() {
        return begun;
    }

    void goesOut() {
        begun = true;
    }

    /** Whether its answer still matters to anybody. */
    boolean isAwaited() {
        return task == null || !task.ended();
    }

    /** Whether an answer that nobody waits for has been awaited for longer than {@code patience}. */
    boolean overdue(long now, long patience) {
        return (task == null || task.ended()) && now - startedAt > patience;
    }

    /**
     * The connection ended without an answer, or never came up; {@code written}: whether the last byte was
     * written, from when on the job may have run.
     */
    void broke(boolean written) {
        if (task != null) {
            if (!task.ended()) {
                Note.info(LOG, "{txn}: the connection to {worker} ended without an answer; {written}",
                        "txn", txn(), "worker", worker(), "written", !hasBegun() ? "nothing was written"
                        : written ? "the request was written" : "the request was not written whole");
            }
            exchange.ended(task, Outcomes.ofBreak(written));
        } else {
            heard.accept(Recalled.UNANSWERED);
        }
    }

    void answered(HttpHead head) {
        int status = head.status();
        if (task == null) {
            heard.accept(Outcomes.ofCancelAnswer(status));
            return;
        }
        boolean turnedAway = (status == 503 || status == 504) && "1".equals(head.header(TURNED_AWAY));
        if (status == Outcomes.TAKEN) {
            exchange.accepted(task);
            return;
        }
        if (!turnedAway && status != ERROR && !task.ended()) {
            Note.warning(LOG, "{worker} answered {status} to {txn}", "worker", task.worker(),
                    "status", status, "txn", task.submission().txn());
        }
        exchange.ended(task, Outcomes.ofAnswer(status, turnedAway));
    }
}
