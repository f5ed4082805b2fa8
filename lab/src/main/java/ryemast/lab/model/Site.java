package ryemast.lab.model;

import java.util.List;
import java.util.Map;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.Catalogue;
import ryemast.lab.world.VirtualTime;

/** What a modelled dispatcher finds around itself; one for a run. */
record Site(Scenario scenario, VirtualTime time, ModelNet net, Map<String, Box> boxes, Catalogue catalogue,
        Lists lists, Truth truth, List<Host> hosts) {
}
