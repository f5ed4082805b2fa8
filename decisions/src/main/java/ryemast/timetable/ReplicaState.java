package ryemast.timetable;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ryemast.fleet.FleetView;

/**
 * State of one replica: times, lease, fencing token, the executions it holds and the actions to carry out.
 */
final class ReplicaState {

    final Limits limits;
    final EvaluationQueue queue = new EvaluationQueue();
    /**
     * Submissions under the current fencing token of jobs that must run at most once, until their ends are
     * known.
     */
    private final Set<List<Object>> submittedAttempts = new HashSet<>();
    List<ScheduleAction> actions = new ArrayList<>();
    FleetView view = new FleetView(-1, List.of(), "", false, 0);
    /** The version of the own fencing token; 0: none. */
    long fence;
    /** Another replica has advanced the fencing token: nothing can be changed until there is a new one. */
    boolean fenced;
    /** The version of the record of the schedule's revision. */
    long revision;
    boolean draining;
    int held;
    /** Logical clock that grows with each read and each change, to order them. */
    long order;
    long now;
    long wall;

    ReplicaState(Limits limits) {
        this.limits = limits;
    }

    boolean isHeldHere(Execution execution) {
        return execution.isHeldBy(view.self(), fence);
    }

    /** Whether this replica may claim and take over; if not, the job is evaluated again once it may. */
    boolean mayClaim(TrackedJob job) {
        if (view.mayAct() && !draining) {
            return true;
        }
        queue.awaitLease(job);
        return false;
    }

    /**
     * Whether one more execution may be held; if not, the job is evaluated again once one has been released.
     */
    boolean hasCapacity(TrackedJob job) {
        if (held < limits.maxHeld()) {
            return true;
        }
        queue.awaitCapacity(job);
        return false;
    }

    void hold(Execution execution) {
        if (!execution.held) {
            execution.held = true;
            held++;
        }
    }

    void release(Execution execution) {
        if (execution.held) {
            execution.held = false;
            held--;
            queue.capacityFreed();
        }
    }

    void warn(Execution execution, String what) {
        actions.add(new ScheduleAction.Log(true, execution.job.name, execution.scheduledTime, what));
    }

    private static List<Object> key(Execution execution, int attempt) {
        return List.of(execution.job.name, execution.scheduledTime, attempt);
    }

    void markSubmitted(Execution execution) {
        submittedAttempts.add(key(execution, execution.attempt));
    }

    void unmarkSubmitted(Execution execution) {
        submittedAttempts.remove(key(execution, execution.attempt));
    }

    /** Whether this process submitted the attempt that the record names. */
    boolean wasSubmitted(Execution execution) {
        return submittedAttempts.contains(key(execution, execution.record.attempt()));
    }

    /** Removes what is kept of an execution that has ended. */
    void onEnded(Execution execution) {
        submittedAttempts.removeIf(each -> each.get(0).equals(execution.job.name)
                && each.get(1).equals(execution.scheduledTime));
        release(execution);
    }

    /** Sets a new fencing token; SENT records made under the old one are never submitted from. */
    void setFence(long version) {
        fence = version;
        fenced = false;
        submittedAttempts.clear();
    }
}
