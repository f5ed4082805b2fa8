package ryemast.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;

/**
 * Counts attempts by outcome and answers by kind, and logs what was counted every {@link #PERIOD}, where
 * anything was. Owned by the loop.
 */
public final class AttemptCounts implements Observer {

    /** From one line to the next, in microseconds. */
    static final long PERIOD = 10_000_000;
    private static final Logger LOG = Logger.getLogger(AttemptCounts.class.getName());

    private final Loop loop;
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private final Map<Answer, Long> answers = new EnumMap<>(Answer.class);
    private long sent;
    private long furtherSent;
    private long turnedAway;

    /** Begins to count. */
    public AttemptCounts(Loop loop) {
        this.loop = loop;
        loop.at(loop.now() + PERIOD, this::log);
    }

    private void log() {
        loop.at(loop.now() + PERIOD, this::log);
        if (sent > 0 || turnedAway > 0 || !outcomes.isEmpty() || !answers.isEmpty()) {
            Note.info(LOG, "in the last 10 s: {sent} attempts sent, {further} of them not a job's first;"
                    + " ended {outcomes}; answers {answers}; {turned_away} requests over the limit",
                    "sent", sent, "further", furtherSent, "outcomes", outcomes.toString(),
                    "answers", answers.toString(), "turned_away", turnedAway);
        }
        outcomes.clear();
        answers.clear();
        sent = 0;
        furtherSent = 0;
        turnedAway = 0;
    }

    @Override
    public void taken(long number, Submission submission, long now) {
        // Counted by its answer.
    }

    @Override
    public void turnedAway(Submission submission, long now) {
        turnedAway++;
    }

    @Override
    public void sent(long number, int attempt, String worker, long until, long now) {
        sent++;
        furtherSent += attempt > 0 ? 1 : 0;
    }

    @Override
    public void accepted(long number, int attempt, long now) {
        // Counted by its end.
    }

    @Override
    public void started(long number, int attempt, long now) {
        // Counted by its end.
    }

    @Override
    public void progressed(long number, int attempt, double share, long now) {
        // Counted by its end.
    }

    @Override
    public void ended(long number, int attempt, Outcome outcome, long now) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    @Override
    public void answered(long number, Answer answer, long retryAfter, long now) {
        answers.merge(answer, 1L, Long::sum);
    }

    @Override
    public void listed(ListKind kind, List<WorkerInfo> workers, long now) {
        // Logged where it is read.
    }
}
