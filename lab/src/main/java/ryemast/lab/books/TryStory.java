package ryemast.lab.books;

import java.util.List;

/**
 * All that is known of one try, put together from the books.
 *
 * @param asked     each time that its last byte was written to a dispatcher, in order; mostly once
 * @param answer    the first whole answer, null if there was none
 * @param answers   how many whole answers there were
 * @param leftAt    when the client went away, {@link Attempt#NEVER} if it didn't
 * @param brokeAt   when the connection ended without a whole answer, {@link Attempt#NEVER} if it didn't
 * @param sent      of a try that broke: whether it had left whole
 * @param attempts  at boxes, in the order of their first bytes
 */
public record TryStory(Try sentTry, List<Asked> asked, Answer answer, int answers, long leftAt, long brokeAt,
        boolean sent, List<Attempt> attempts) {

    /** Where a try was written to, and when. */
    public record Asked(int dispatcher, long at, long body) {
    }

    /** What a client was told; {@code result} by {@link Fingerprint}. */
    public record Answer(long at, int status, int retryAfterMs, long result) {
    }

    /** How a try ended, as its client saw it. */
    public enum Outcome {
        SERVED, REFUSED,
        /** Answered in any other way, or the connection was not to be had or ended without an answer. */
        FAILED,
        /** The client went away before its time was up. */
        LEFT,
        /** Its time went by, or the run ended, without an answer. */
        UNANSWERED
    }

    /** A client that goes away so shortly before its time is up has waited until then. */
    private static final long TIME_IS_UP = 1_000;

    public String txn() {
        return sentTry.txn();
    }

    public Job job() {
        return sentTry.job();
    }

    public Outcome outcome() {
        if (answer != null) {
            return switch (answer.status()) {
                case 200 -> Outcome.SERVED;
                case 429, 503 -> Outcome.REFUSED;
                default -> Outcome.FAILED;
            };
        }
        if (leftAt != Attempt.NEVER) {
            return leftAt >= sentTry.until() - TIME_IS_UP ? Outcome.UNANSWERED : Outcome.LEFT;
        }
        return brokeAt != Attempt.NEVER ? Outcome.FAILED : Outcome.UNANSWERED;
    }

    /** When it ended, {@link Attempt#NEVER} if it is still open. */
    public long endedAt() {
        return answer != null ? answer.at() : Math.min(leftAt, brokeAt);
    }

    /** The last time that it was written to a dispatcher. */
    public Asked lastAsked() {
        return asked.isEmpty() ? null : asked.get(asked.size() - 1);
    }

    /** The attempt whose result the client was given, null if no box made that result. */
    public Attempt servedBy() {
        if (outcome() != Outcome.SERVED) {
            return null;
        }
        for (Attempt attempt : attempts) {
            if (attempt.done() && attempt.result() == answer.result()) {
                return attempt;
            }
        }
        return null;
    }
}
