package ryemast.pacing;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Whose turn it is: deficit round robin over tenants (Shreedhar and Varghese, "Efficient Fair Queuing using
 * Deficit Round Robin", SIGCOMM 1995), and within a tenant plain turns over its lines, so that an array of a
 * hundred thousand jobs does not stand before a later array of three. Guarantees that a tenant with something
 * to do gets its weight's share of the work handed out, measured in the jobs' expected cost, to within one
 * quantum and one job, whatever the others hold; and that {@link #next} takes amortised constant time, since
 * the quantum grows with the dearest job seen: a turn that passes by everybody pays somebody.
 *
 * <p>It knows lines by number only: what a line holds, and what its next job costs, its user says when it is
 * served. A line is either waiting here or not; one that has nothing to hand out for the moment is taken out
 * by {@link #leave} and comes back by {@link #join}.
 */
public final class FairQueue {

    /** In microseconds of work; smaller jobs than this are served several to a turn. */
    private static final double LEAST_QUANTUM = 1_000_000;

    private final double[] weights;
    private final double[] deficits;
    /** A tenant's lines in the order of their turns. */
    private final Map<Integer, Deque<Long>> lines = new HashMap<>();
    private final Map<Long, Integer> tenantOf = new HashMap<>();
    /** Tenants that have a line, in the order of their turns. */
    private final Deque<Integer> turns = new ArrayDeque<>();
    private double quantum = LEAST_QUANTUM;

    /** {@code weights}: by tenant, each above 0; what share of the work each may have when all want some. */
    public FairQueue(double... weights) {
        if (weights.length == 0 || Arrays.stream(weights).anyMatch(each -> !(each > 0))) {
            throw new IllegalArgumentException("weights must be above 0: " + Arrays.toString(weights));
        }
        this.weights = weights.clone();
        double mean = Arrays.stream(weights).average().orElse(1);
        for (int i = 0; i < weights.length; i++) {
            this.weights[i] = weights[i] / mean;
        }
        deficits = new double[weights.length];
    }

    /** The line has something to hand out from now on; one that waits already is left where it is. */
    public void join(long line, int tenant) {
        if (tenantOf.putIfAbsent(line, tenant) != null) {
            return;
        }
        var own = lines.computeIfAbsent(tenant, key -> new ArrayDeque<>());
        if (own.isEmpty()) {
            turns.addLast(tenant);
        }
        own.addLast(line);
    }

    /** The line has nothing to hand out, at least for now. */
    public void leave(long line) {
        var tenant = tenantOf.remove(line);
        if (tenant == null) {
            return;
        }
        var own = lines.get(tenant);
        own.remove(line);
        if (own.isEmpty()) {
            turns.remove(tenant);
            // A tenant that has nothing to do saves nothing up.
            deficits[tenant] = 0;
        }
    }

    /** Whether any line waits. */
    public boolean isEmpty() {
        return turns.isEmpty();
    }

    /** What the next job of a line costs, in microseconds of expected work, above 0. */
    public interface Costs {
        double of(long line);
    }

    /**
     * The line whose next job is to go out now; it goes to the end of its tenant's lines, and its tenant has
     * paid for the job. To be called only if there is one.
     */
    public long next(Costs costs) {
        while (true) {
            int tenant = turns.getFirst();
            var own = lines.get(tenant);
            long line = own.getFirst();
            double cost = costs.of(line);
            quantum = Math.max(quantum, cost);
            if (deficits[tenant] >= cost) {
                deficits[tenant] -= cost;
                own.addLast(own.removeFirst());
                return line;
            }
            // Its turn is over: what it could not spend it keeps, and the next one has its turn.
            turns.addLast(turns.removeFirst());
            deficits[tenant] += quantum * weights[tenant];
        }
    }

    /** The job that was handed out did not go: its tenant gets back what it paid. */
    public void refund(int tenant, double cost) {
        if (lines.containsKey(tenant) && !lines.get(tenant).isEmpty()) {
            deficits[tenant] += cost;
        }
    }
}
