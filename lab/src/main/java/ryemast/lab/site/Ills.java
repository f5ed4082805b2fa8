package ryemast.lab.site;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;

/**
 * The faults that a box suffers from at present. Those of one kind compose: each strikes on its own, and
 * factors multiply.
 */
final class Ills {

    private final List<Fault> present = new ArrayList<>();
    private final UniformRandomProvider draw;

    Ills(UniformRandomProvider draw) {
        this.draw = draw;
    }

    void add(Fault fault) {
        present.add(fault);
    }

    void remove(Fault fault) {
        present.remove(fault);
    }

    boolean has(FaultKind kind) {
        for (var fault : present) {
            if (fault.kind() == kind) {
                return true;
            }
        }
        return false;
    }

    /** Whether some requests or jobs that come now will not be served. */
    boolean spoil() {
        for (var fault : present) {
            switch (fault.kind()) {
                case RESETS, NEVER_STARTS, NEVER_ENDS, ERRORS, LOST, TURNED_AWAY -> {
                    return true;
                }
                default -> { }
            }
        }
        return false;
    }

    /** Whether one of the kind strikes a request or job of this class; draws once for each that might. */
    boolean strikes(FaultKind kind, int jobClass) {
        boolean struck = false;
        for (var fault : present) {
            if (fault.kind() == kind && (fault.jobClass() < 0 || fault.jobClass() == jobClass)) {
                struck |= chance(fault.share());
            }
        }
        return struck;
    }

    /** True as often as the share says; a share of none or all draws nothing. */
    boolean chance(double share) {
        return share > 0 && (share >= 1 || draw.nextDouble() < share);
    }

    /** Whether the path to a dispatcher is cut. */
    boolean cutOff(int dispatcher) {
        for (var fault : present) {
            if (fault.kind() == FaultKind.CUT_OFF && fault.dispatcher() == dispatcher) {
                return true;
            }
        }
        return false;
    }

    double uniform() {
        return draw.nextDouble();
    }

    double slow() {
        double factor = 1;
        for (var fault : present) {
            if (fault.kind() == FaultKind.SLOW) {
                factor *= fault.size();
            }
        }
        return factor;
    }

    /** After how long a connection that rests is dropped, in microseconds. */
    long keptFor() {
        long kept = Long.MAX_VALUE;
        for (var fault : present) {
            if (fault.kind() == FaultKind.KEPT_DROPPED) {
                kept = Math.min(kept, (long) (fault.size() * 1_000));
            }
        }
        return kept;
    }
}
