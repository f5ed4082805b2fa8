package ryemast.core;

import java.util.function.BiConsumer;
import java.util.function.IntPredicate;
import java.util.logging.Logger;
import pipitladder.Dispatcher.Outcome;

/**
 * Asks workers to drop attempts that end only once the worker has answered that, as its job may otherwise
 * still run while the next attempt begins. A worker that does not answer, or refuses connections, is asked
 * again until the attempt has ended otherwise: by the worker's word, by that of its machine, or at the
 * deadline. Owned by the {@link Exchange}.
 */
final class Recalls {

    private static final Logger LOG = Logger.getLogger(Recalls.class.getName());
    /** A worker that did not answer is asked again after so long, in microseconds. */
    private static final long FIRST_PAUSE = 250_000;
    /** How often that pause doubles at most. */
    private static final int MOST_DOUBLINGS = 2;

    private final Loop loop;
    private final BiConsumer<RoutedTask, Outcome> conclude;
    private Region region;
    /** The classes whose jobs may go out again and be asked back. */
    private IntPredicate recallable = jobClass -> false;

    /** {@code conclude}: told of an attempt whose worker has answered. */
    Recalls(Loop loop, BiConsumer<RoutedTask, Outcome> conclude) {
        this.loop = loop;
        this.conclude = conclude;
    }

    void connect(Region toWorkers) {
        region = toWorkers;
    }

    /** From now on attempts of these classes whose end is uncertain are recalled. */
    void awaitUncertain(IntPredicate classes) {
        recallable = classes;
    }

    /** Whether the attempt, which is cancelled, goes on until its worker has answered. */
    boolean awaitsCancelled(RoutedTask task) {
        return !task.transaction.answered && (task.recalled || recall(task, Outcome.CANCELLED));
    }

    /**
     * Whether the attempt, of which it is not known whether it has ended, ends once its worker has answered;
     * false: its worker can't be asked, or its class must not run again.
     */
    boolean awaitsUncertain(RoutedTask task) {
        return task.recalled || !task.transaction.answered && recallable.test(task.submission().jobClass())
                && recall(task, Outcome.RESET);
    }

    /** False if there is nobody to ask. */
    private boolean recall(RoutedTask task, Outcome outcome) {
        task.recalled = !task.ended() && region.recall(task, result -> recalled(task, outcome, result));
        return task.recalled;
    }

    private void recalled(RoutedTask task, Outcome outcome, Recalled result) {
        if (result == Recalled.ANSWERED) {
            conclude.accept(task, outcome);
        } else if (!task.ended()) {
            logUnanswered(task);
            loop.at(loop.now() + pause(task.failedRecalls), () -> recall(task, outcome));
            task.failedRecalls++;
        }
    }

    /** After so many calls before that were not answered; many attempts may wait for one worker. */
    private static long pause(int failures) {
        return FIRST_PAUSE << Math.min(MOST_DOUBLINGS, failures);
    }

    private static void logUnanswered(RoutedTask task) {
        if (task.failedRecalls == 0) {
            Note.info(LOG, "{txn}: {worker} could not be asked to drop attempt {attempt}; it is asked again"
                    + " until it answers or the deadline", "txn", task.submission().txn(),
                    "worker", task.worker, "attempt", task.number);
        }
    }
}
