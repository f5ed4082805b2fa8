package ryemast.lab.fit;

import java.util.ArrayList;
import pipitladder.Dispatcher.WorkerState;

/** How late discovery tells of starts: the one change whose own time it tells too. */
record DiscoveryTable(Seen seen) {

    private static final double SECOND = 1e6;

    Table table() {
        var table = new Table("[discovery]", "discovery");
        var late = new ArrayList<Double>();
        for (var box : seen.boxes()) {
            for (int i = 1; i < box.listings.size(); i++) {
                var now = box.listings.get(i);
                if (now.state() == WorkerState.READY && now.startedAt() > 0
                        && now.startedAt() != box.listings.get(i - 1).startedAt()) {
                    late.add((now.at() - now.startedAt()) / SECOND);
                }
            }
        }
        table.figure("add_s", Stats.median(late.stream().mapToDouble(Double::doubleValue).toArray(),
                "starts that were told"), 0, 86_400);
        table.remark("when boxes died or began to drain is not told, so that neither is how late it was "
                + "told");
        var weights = seen.boxes().stream().mapToDouble(box -> box.weight).distinct().count();
        var kinds = seen.boxes().stream().map(box -> box.kind).distinct().count();
        boolean rough = weights > kinds;
        table.text("weights", weights <= 1 && kinds > 1 ? "none" : rough ? "rough" : "nominal",
                weights + " different weights at " + kinds + " kinds of box");
        return table;
    }
}
