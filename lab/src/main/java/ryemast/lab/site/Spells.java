package ryemast.lab.site;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;

/** The spells of a scenario's timetable. Until it is told when the run begins, there is none. */
public final class Spells implements Heavy {

    private final List<Fault> heavy;
    private final List<Fault> poisoned;
    private long beganAt = Long.MAX_VALUE;

    public Spells(List<Fault> faults) {
        heavy = faults.stream().filter(fault -> fault.kind() == FaultKind.HEAVY).toList();
        poisoned = faults.stream().filter(fault -> fault.kind() == FaultKind.POISONED).toList();
    }

    /** The run begins: what the timetable says counts from here. */
    public void begin(long at) {
        beganAt = at;
    }

    /** Two draws for each spell of the timetable, whether or not it is on. */
    @Override
    public double factor(int jobClass, long now, UniformRandomProvider draw) {
        double factor = 1;
        for (var fault : heavy) {
            double luck = draw.nextDouble();
            double range = Math.max(0, fault.sizeTo() - fault.size());
            double size = fault.size() + draw.nextDouble() * range;
            if (luck < fault.share() && strikes(fault, jobClass, now)) {
                factor *= size;
            }
        }
        return factor;
    }

    /** One draw for each spell. */
    @Override
    public boolean poisoned(int jobClass, long now, UniformRandomProvider draw) {
        boolean struck = false;
        for (var fault : poisoned) {
            struck |= draw.nextDouble() < fault.share() && strikes(fault, jobClass, now);
        }
        return struck;
    }

    private boolean strikes(Fault fault, int jobClass, long now) {
        return (fault.jobClass() < 0 || fault.jobClass() == jobClass) && beganAt <= now
                && now - beganAt >= fault.at() && now - beganAt < fault.at() + fault.lasts();
    }
}
