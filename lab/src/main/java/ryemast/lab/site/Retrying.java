package ryemast.lab.site;

import org.apache.commons.rng.UniformRandomProvider;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Effect;

/**
 * Whether a client tries again after a try that did not serve it, and when.
 *
 * <p>A job that may run twice is tried again after anything; one that must not ({@code SINGLE_SHOT}) only
 * where it is certain that it has not run: after a refusal, or when no dispatcher had taken it. Waits without
 * Retry-After are jittered by half about their mean, as clients that fail together would come back together
 * (Brooker, "Exponential Backoff and Jitter", 2015).
 */
final class Retrying {

    static final long NEVER = -1;

    /** How a try ended without serving its job. */
    enum Outcome { REFUSED, FAILED, NOT_TAKEN }

    /** Doubled so often a wait no longer grows: beyond that it is longer than any deadline. */
    private static final int DOUBLINGS = 30;

    private final Scenario.Clients clients;
    private final boolean advised;
    private final long longestAdvice;

    Retrying(Scenario scenario) {
        clients = scenario.clients();
        advised = scenario.rules().retryAfter();
        longestAdvice = scenario.rules().maxRetryAfter();
    }

    /** Whether this client heeds Retry-After. */
    boolean heeds(UniformRandomProvider draw) {
        return draw.nextDouble() < clients.honour() && advised;
    }

    /**
     * How long to wait before the next try, or {@link #NEVER}.
     *
     * @param tried       how many tries there were, the first one included
     * @param retryAfter  what the dispatcher advised, 0: nothing
     */
    long wait(Effect effect, Outcome outcome, int tried, long retryAfter, boolean heeds,
            UniformRandomProvider draw) {
        if (tried > clients.retries() || effect == Effect.SINGLE_SHOT && outcome == Outcome.FAILED) {
            return NEVER;
        }
        double jitter = 0.5 + draw.nextDouble();
        if (heeds && retryAfter > 0) {
            return Math.min(retryAfter, longestAdvice);
        }
        return switch (clients.backoff()) {
            case NONE -> 0;
            case FIXED -> (long) (clients.backoffTime() * jitter);
            case EXPONENTIAL ->
                (long) (clients.backoffTime() * jitter * Math.pow(2, Math.min(tried - 1, DOUBLINGS)));
        };
    }
}
