package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.History;
import ryemast.lab.fleet.FleetBooks.Struck;
import ryemast.lab.fleet.ProxyLink.Way;

/**
 * Mends the books of what discovery told: they have it when it was written, but between it and the process
 * there is a link. What was swallowed there was not told, and what was slowed came later. And where the
 * machine let a process wait, its time stands as it does while it is stopped.
 */
final class Heard {

    private Heard() {
    }

    static History of(History written, Ground ground, Starved starved, List<Struck> struck,
            int processes) {
        var arrived = new HashMap<Integer, List<History.Listing>>();
        written.listings().forEach((box, listings) -> arrived.put(box, arrived(listings, ground)));
        Map<Integer, List<long[]>> deaf = new HashMap<>();
        for (int i = 0; i < processes; i++) {
            int process = i;
            deaf.put(i, struck.stream().filter(each -> each.strike().kind().deafens() && each.hits(process))
                    .map(each -> new long[] {each.at(), each.untilAt()}).toList());
        }
        var stood = new TreeMap<Integer, List<History.DispatcherAt>>();
        written.dispatchers().forEach((process, states) ->
                stood.put(process, standing(states, starved.spans(process))));
        return written.heard(arrived, stood, deaf);
    }

    /** With spans in which the machine let it wait, but for those that touch anything else that befell it. */
    private static List<History.DispatcherAt> standing(List<History.DispatcherAt> states,
            List<long[]> spans) {
        var all = new ArrayList<>(states);
        for (var span : spans) {
            var before = states.stream().filter(each -> each.at() <= span[0]).reduce((a, b) -> b);
            boolean alone = states.stream().noneMatch(each -> each.at() > span[0] && each.at() <= span[1]);
            if (alone && before.isPresent() && runs(before.get().state())) {
                all.add(new History.DispatcherAt(span[0], DispatcherState.PAUSED));
                all.add(new History.DispatcherAt(span[1], DispatcherState.RESUMED));
            }
        }
        all.sort(Comparator.comparingLong(History.DispatcherAt::at));
        return all;
    }

    private static boolean runs(DispatcherState state) {
        return switch (state) {
            case STARTED, READY, TOLD_TO_END, RESUMED -> true;
            case KILLED, PAUSED, DIED, ENDED -> false;
        };
    }

    private static List<History.Listing> arrived(List<History.Listing> listings, Ground ground) {
        var found = new ArrayList<History.Listing>();
        for (var each : listings) {
            if (each.listable()) {
                found.add(each);
                continue;
            }
            long at = ground.links(each.dispatcher()).stream()
                    .mapToLong(link -> link.passedAt(Way.DOWN, each.at())).max().orElse(each.at());
            if (at != ProxyLink.NEVER) {
                found.add(new History.Listing(each.dispatcher(), at, each.state(), each.startedAt()));
            }
        }
        found.sort(Comparator.comparingLong(History.Listing::at));
        return found;
    }
}
