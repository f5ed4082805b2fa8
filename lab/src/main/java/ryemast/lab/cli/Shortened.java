package ryemast.lab.cli;

import java.util.List;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;

/** A scenario over another length than its own. */
final class Shortened {

    private Shortened() {
    }

    /** Ends, or goes on, at another time; what would go wrong after the end is left out. */
    static Scenario cut(Scenario whole, long length) {
        return with(whole, length, whole.faults().stream().filter(fault -> fault.at() < length).toList());
    }

    /** The same story told faster or more slowly: everything that goes wrong still does. */
    static Scenario scaled(Scenario whole, long length) {
        double factor = (double) length / whole.length();
        return with(whole, length, whole.faults().stream().map(fault -> new Fault(fault.kind(),
                Math.round(fault.at() * factor), Math.round(fault.lasts() * factor), fault.targets(),
                fault.jobClass(), fault.share(), fault.size(), fault.sizeTo(),
                Math.round(fault.every() * factor), fault.dispatcher())).toList());
    }

    private static Scenario with(Scenario s, long length, List<Fault> faults) {
        return new Scenario(s.name(), s.title(), s.seed(), length, s.resolution(), s.zones(), s.kinds(),
                s.boxes(), s.classes(), s.tenants(), s.load(), s.clients(), s.dispatchers(), s.discovery(),
                s.telling(), s.rules(), s.goal(), faults, s.model());
    }
}
