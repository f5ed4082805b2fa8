package ryemast.health;

/**
 * One budget for all sends beyond a job's first one: retries after a failed attempt, and hedged attempts
 * (second copies of an outstanding one).
 *
 * <p>As in Finagle and gRPC's A6, first sends deposit and extra sends withdraw, so that extra sends are a
 * bounded part of the load whatever fails, and failures can't cause a retry storm. The cost of a hedge falls
 * with the confidence that the first attempt has failed: at a worker that is surely down it is worth as much
 * as a retry, and at one that may only be slow most hedges are wasted. A balance above the capacity decays
 * within seconds, and a small refill always comes in, so that the budget recovers after an outage.
 *
 * <p>The bound holds for the fleet, whatever its size: the balance that no send has earned, {@link
 * #INITIAL_BALANCE} at first and {@link #REFILL_PER_SECOND}, is divided evenly among the dispatchers, so that
 * all together have as much as a single one. A dispatcher may always save the cost of one retry, as a smaller
 * capacity would never allow any. The number of dispatchers is a setting: the part of a dead one stays unused
 * while it is dead.
 */
public final class RetryBudget {

    private static final double SECOND = 1e6;
    /** With 10% resets, retries are 11% of first sends; this leaves as much again for further failures. */
    private static final double DEPOSIT_PER_SEND = 0.22;
    private static final double EXCESS_DECAY_SECONDS = 10;
    /** Enough for all jobs of a few workers that fail together, even after a long time without sends. */
    private static final double INITIAL_BALANCE = 24;
    private static final double REFILL_PER_SECOND = 4;
    private static final double MIN_CONFIDENCE = 0.05;

    private final double baseHedgeCost;
    private final double refillPerSecond;
    /** The balance that does not decay. */
    private final double capacity;
    private double balance;
    private double spent;
    private long updatedAt;
    private boolean started;

    /** With many dispatchers, silence is mostly due to the others' jobs, so that hedges cost more. */
    RetryBudget(int dispatchers) {
        baseHedgeCost = Math.sqrt(dispatchers);
        balance = INITIAL_BALANCE / dispatchers;
        capacity = Math.max(1, balance);
        refillPerSecond = REFILL_PER_SECOND / dispatchers;
    }

    /** Total of all withdrawals so far. */
    public double spent() {
        return spent;
    }

    public void depositFirstSend(long now) {
        refill(now);
        balance += DEPOSIT_PER_SEND;
    }

    public boolean canRetry(long now) {
        refill(now);
        return balance >= 1;
    }

    public void chargeRetry(long now) {
        charge(1, now);
    }

    /** Whether a hedge may be sent; {@code confidence}: the probability that the first attempt has failed. */
    public boolean canHedge(double confidence, long now) {
        refill(now);
        return balance >= hedgeCost(confidence);
    }

    public void chargeHedge(double confidence, long now) {
        charge(hedgeCost(confidence), now);
    }

    private void charge(double cost, long now) {
        refill(now);
        spent += Math.min(balance, cost);
        balance = Math.max(0, balance - cost);
    }

    private double hedgeCost(double confidence) {
        return Math.min(INITIAL_BALANCE, baseHedgeCost / Math.max(MIN_CONFIDENCE, confidence));
    }

    private void refill(long now) {
        double seconds = started ? (now - updatedAt) / SECOND : 0;
        started = true;
        updatedAt = now;
        if (seconds > 0) {
            balance = balance > capacity
                    ? capacity + (balance - capacity) * Math.exp(-seconds / EXCESS_DECAY_SECONDS)
                    : Math.min(capacity, balance + refillPerSecond * seconds);
        }
    }
}
