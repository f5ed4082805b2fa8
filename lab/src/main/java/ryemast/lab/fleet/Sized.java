package ryemast.lab.fleet;

import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Dispatchers;
import ryemast.lab.scenario.ScenarioBuilder;

/** Scenarios of another length, or with another number of dispatchers. */
final class Sized {

    private Sized() {
    }

    /** Its first so many microseconds; faults after that are left out, and longer ones end with it. */
    static Scenario first(Scenario scenario, long length) {
        return ScenarioBuilder.from(scenario).length(length).faults(scenario.faults().stream()
                .filter(each -> each.at() < length).toList()).build();
    }

    /** Paths of dispatchers that there are no longer are not cut off. */
    static Scenario to(Scenario scenario, int dispatchers) {
        var usual = scenario.dispatchers();
        return ScenarioBuilder.from(scenario).dispatchers(new Dispatchers(dispatchers, usual.cores(),
                usual.memoryMb(), usual.sockets(), usual.notice())).faults(scenario.faults().stream()
                .filter(each -> each.dispatcher() < dispatchers).toList()).build();
    }
}
