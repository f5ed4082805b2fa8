package ryemast.pacing;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Deficit round robin over tenants (Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round
 * Robin", SIGCOMM 1995), and plain round robin over the flows of a tenant, so that an array of a hundred
 * thousand jobs does not block a later array of three. Guarantees that a tenant with queued jobs gets its
 * weighted share of the work, measured in the jobs' expected cost, to within one quantum and one job, however
 * much the others have queued; and that {@link #next} takes amortised constant time, since the quantum grows
 * with the most expensive job seen, so that some tenant can send after each full round.
 *
 * <p>Flows are known by number only: the caller keeps their jobs and supplies the cost of the next one. A
 * flow is either active or not; one without a job to send for now is removed by {@link #deactivate} and added
 * again by {@link #activate}.
 */
public final class FairQueue {

    /** In microseconds of work; of jobs smaller than this several are sent in one turn. */
    private static final double MIN_QUANTUM = 1_000_000;

    private final double[] weights;
    private final double[] deficits;
    /** A tenant's active flows, in round-robin order. */
    private final Map<Integer, Deque<Long>> flows = new HashMap<>();
    private final Map<Long, Integer> tenantOf = new HashMap<>();
    /** Tenants with an active flow, in round-robin order. */
    private final Deque<Integer> activeTenants = new ArrayDeque<>();
    private double quantum = MIN_QUANTUM;

    /** {@code weights}: by tenant, each above 0; the shares of the work while all tenants are active. */
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

    /** Marks a flow as having jobs to send; one that is active already keeps its place. */
    public void activate(long flow, int tenant) {
        if (tenantOf.putIfAbsent(flow, tenant) != null) {
            return;
        }
        var tenantFlows = flows.computeIfAbsent(tenant, key -> new ArrayDeque<>());
        if (tenantFlows.isEmpty()) {
            activeTenants.addLast(tenant);
        }
        tenantFlows.addLast(flow);
    }

    /** Removes a flow that has no jobs to send for now. */
    public void deactivate(long flow) {
        var tenant = tenantOf.remove(flow);
        if (tenant == null) {
            return;
        }
        var tenantFlows = flows.get(tenant);
        tenantFlows.remove(flow);
        if (tenantFlows.isEmpty()) {
            activeTenants.remove(tenant);
            // An idle tenant accumulates no deficit.
            deficits[tenant] = 0;
        }
    }

    /** Whether no flow is active. */
    public boolean isEmpty() {
        return activeTenants.isEmpty();
    }

    /** The cost of a flow's next job, in microseconds of expected work, above 0. */
    public interface CostFunction {
        double nextCost(long flow);
    }

    /**
     * The flow whose next job is to be sent now; it moves to the end of its tenant's flows, and the tenant is
     * charged the job's cost. To be called only if a flow is active.
     */
    public long next(CostFunction costs) {
        while (true) {
            int tenant = activeTenants.getFirst();
            var tenantFlows = flows.get(tenant);
            long flow = tenantFlows.getFirst();
            double cost = costs.nextCost(flow);
            quantum = Math.max(quantum, cost);
            if (deficits[tenant] >= cost) {
                deficits[tenant] -= cost;
                tenantFlows.addLast(tenantFlows.removeFirst());
                return flow;
            }
            // The turn ends: the tenant keeps its remaining deficit, and the next tenant follows.
            activeTenants.addLast(activeTenants.removeFirst());
            deficits[tenant] += quantum * weights[tenant];
        }
    }

    /** A job was not sent after all: its cost is credited to its tenant again. */
    public void refund(int tenant, double cost) {
        if (flows.containsKey(tenant) && !flows.get(tenant).isEmpty()) {
            deficits[tenant] += cost;
        }
    }
}
