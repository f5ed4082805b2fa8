package ryemast.pacing;

import java.util.SplittableRandom;

/**
 * The schedule of one blocking query, as Consul's API documentation requires of clients: the index of each
 * answer is passed with the next call; an index that goes backwards, as after a restore or at another server,
 * is reset, so that the next call returns the present state at once; one that is not above 0 counts as 1; and
 * calls are limited in rate whatever the server does, by a token bucket. Failures are followed by exponential
 * backoff with full jitter (each pause between 0 and the bound, so that dispatchers which lost their server
 * together do not reconnect together). The next call goes to the next server in order where another one may
 * succeed; after {@link PollingPolicy#failbackAfter} the first server is used again. Where no other server
 * may help, pauses are longer, and between half the bound and the bound.
 *
 * <p>Exactly one call is outstanding at a time: {@link #startCall} at {@link #nextCallAt} or later, then
 * either {@link #answered} or {@link #failed}.
 */
public final class BlockingQuery {

    /**
     * A call to make now.
     *
     * @param server    number of the server, from 0
     * @param index     the index to wait on; 0: the server answers at once
     * @param maxWait   the longest time that the server may wait for a change
     * @param deadline  when the call has failed if there is no answer
     */
    public record Call(int server, long index, long maxWait, long deadline) {
    }

    /** What an answer means for the state that is watched. */
    public enum Answer {
        /** The state differs from the previous one. */
        CHANGED,
        /** Nothing has changed since the previous answer. */
        UNCHANGED,
        /** The index went backwards: the server's state does not continue the previous one. */
        INDEX_RESET
    }

    private static final int MAX_DOUBLINGS = 16;

    private final PollingPolicy policy;
    private final int serverCount;
    private final SplittableRandom random;
    private int server;
    private long failedOverAt = Long.MAX_VALUE;
    private long index;
    private boolean answeredOnce;
    private long nextCallAt;
    private int failures;
    /** Tokens used up as of {@link #tokensUpdatedAt}; one each {@link PollingPolicy#interval} is refilled. */
    private double usedTokens;
    private long tokensUpdatedAt;

    /** {@code seed}: of the jitter. */
    public BlockingQuery(PollingPolicy policy, int serverCount, long seed) {
        if (serverCount < 1) {
            throw new IllegalArgumentException("at least one server is required");
        }
        this.policy = policy;
        this.serverCount = serverCount;
        random = new SplittableRandom(seed);
    }

    /** The earliest time of the next call. */
    public long nextCallAt() {
        return nextCallAt;
    }

    /** Number of consecutive failures. */
    public int failures() {
        return failures;
    }

    public int server() {
        return server;
    }

    public Call startCall(long now) {
        if (server > 0 && now >= failedOverAt + policy.failbackAfter()) {
            switchServer(0, now);
        }
        long maxWait = index == 0 ? 0 : policy.maxWait();
        // Consul adds up to a sixteenth to the wait as jitter, to spread the calls of its clients.
        return new Call(server, index, maxWait, now + maxWait + maxWait / 16 + policy.answerSlack());
    }

    /** Whether an answer with this index contains nothing new. */
    public boolean isKnown(long newIndex) {
        return answeredOnce && Math.max(1, newIndex) == index;
    }

    /** To be called once the answer has been parsed; one that can't be is a failure ({@link #failed}). */
    public Answer answered(long now, long newIndex) {
        failures = 0;
        long received = Math.max(1, newIndex);
        var answer = answeredOnce && received < index ? Answer.INDEX_RESET
                : isKnown(newIndex) ? Answer.UNCHANGED : Answer.CHANGED;
        answeredOnce = true;
        index = answer == Answer.INDEX_RESET ? 0 : received;
        usedTokens = Math.max(0, usedTokens - (double) (now - tokensUpdatedAt) / policy.interval());
        tokensUpdatedAt = now;
        usedTokens = Math.min(policy.burst(), usedTokens + 1);
        nextCallAt = now + (long) (Math.max(0, usedTokens - (policy.burst() - 1)) * policy.interval());
        return answer;
    }

    /**
     * Drops the index, so that the next call returns the present state at once.
     */
    public void resetIndex() {
        index = 0;
    }

    public void failed(long now, CallFailure failure) {
        boolean slow = !failure.otherServerMayHelp;
        long bound = Math.min(slow ? 4 * policy.maxBackoff() : policy.maxBackoff(),
                (slow ? policy.slowBackoff() : policy.initialBackoff()) << Math.min(MAX_DOUBLINGS, failures));
        failures++;
        long min = slow ? bound / 2 : 0;
        nextCallAt = now + min + random.nextLong(Math.max(1, bound - min));
        if (failure.otherServerMayHelp && serverCount > 1) {
            switchServer((server + 1) % serverCount, now);
        }
    }

    /** An index is valid at one server only: the first call to another one is made without. */
    private void switchServer(int next, long now) {
        failedOverAt = next == 0 ? Long.MAX_VALUE : server == 0 ? now : failedOverAt;
        server = next;
        index = 0;
    }
}
