package ryemast.lab.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.world.Chance;

/**
 * Which boxes or dispatchers a fault strikes: so many, or such a share, drawn from those of a kind and zone.
 *
 * @param boxes        null: not said
 * @param share        null: not said
 * @param ofKind       -1: any
 * @param inZone       -1: any
 * @param dispatchers  how many
 * @param named        these and no others; empty: not said
 */
record Aim(Range boxes, Range share, int ofKind, int inZone, boolean all, Range dispatchers,
        List<Nth> named) {

    private static final List<String> HOW_MANY = List.of("boxes", "share", "all", "box");

    /** The n-th box of a kind, from 0. */
    record Nth(int kind, int n) {
    }

    static Aim read(Section in, List<KindPlan> kinds, List<String> zones, int leastDispatchers) {
        var said = new ArrayList<String>();
        for (var key : HOW_MANY) {
            if (in.given(key)) {
                said.add(key);
            }
        }
        if (said.size() > 1) {
            in.complain(said.get(1), said.get(0) + " is given already; expected one of boxes, share, all and "
                    + "box");
        }
        var kindNames = kinds.stream().map(KindPlan::name).toList();
        int ofKind = index(in, "of_kind", kindNames, "kind");
        int inZone = index(in, "in_zone", zones, "zone");
        var boxes = in.count("boxes", 1, 1, 10_000);
        long there = kinds.stream().filter(each -> ofKind < 0 || each == kinds.get(ofKind))
                .filter(each -> inZone < 0 || each.zones().contains(zones.get(inZone)))
                .mapToLong(each -> (long) each.count().high()).sum();
        if (in.given("boxes") && boxes.low() > there) {
            in.complain("boxes", "is " + (long) boxes.low() + "; expected at most the " + there
                    + " that there are");
        } else if (there == 0 && (ofKind >= 0 || inZone >= 0)) {
            in.complain(inZone >= 0 ? "in_zone" : "of_kind",
                    "means no box that there is; expected a kind and a zone "
                    + "that some box has");
        }
        var share = in.number("share", 1, 0.0001, 1);
        boolean all = in.flag("all", false);
        var dispatchers = in.count("dispatchers", 1, 1, 256);
        if (in.given("dispatchers") && dispatchers.low() > leastDispatchers) {
            in.complain("dispatchers", "is " + (long) dispatchers.low() + "; expected at most the "
                    + leastDispatchers + " that there are");
        }
        return new Aim(said.contains("boxes") ? boxes : null, said.contains("share") ? share : null, ofKind,
                inZone, all, dispatchers, named(in, kinds));
    }

    /** As in {@code "quick 3"}, the third of that kind. */
    private static List<Nth> named(Section in, List<KindPlan> kinds) {
        var found = new ArrayList<Nth>();
        for (var each : in.given("box") ? in.texts("box", List.of(), List.of()) : List.<String>of()) {
            var parts = each.split(" ");
            int kind = kinds.stream().map(KindPlan::name).toList().indexOf(parts[0]);
            int n = parts.length == 2 && parts[1].matches("[1-9][0-9]{0,4}") ? Integer.parseInt(parts[1]) : 0;
            if (kind < 0 || n < 1 || n > kinds.get(kind).count().low()) {
                in.complain("box", "is \"" + each + "\"; expected a kind and a number, as in \""
                        + (kinds.isEmpty() ? "quick" : kinds.get(0).name()) + " 1\" for its first box");
            } else {
                found.add(new Nth(kind, n - 1));
            }
        }
        return List.copyOf(found);
    }

    private static int index(Section in, String key, List<String> names, String what) {
        if (!in.given(key)) {
            return -1;
        }
        var found = in.texts(key, List.of(), names);
        if (found.size() > 1) {
            in.complain(key, "is a list; expected the name of one " + what);
        }
        return found.isEmpty() ? -1 : names.indexOf(found.get(0));
    }

    /** {@code fallBack}: all of them where the scenario says nothing of which, else one. */
    List<Integer> drawBoxes(List<BoxSpec> fleet, boolean fallBack, Chance chance, String key, long number) {
        if (!named.isEmpty()) {
            return named.stream().map(each -> Fleet.place(fleet, each.kind, each.n, chance)).toList();
        }
        var those = fleet.stream().filter(each -> ofKind < 0 || each.kind() == ofKind)
                .filter(each -> inZone < 0 || each.zone() == inZone).map(BoxSpec::index).toList();
        int wanted;
        if (boxes != null) {
            wanted = (int) boxes.draw(chance, number);
        } else if (share != null) {
            wanted = Math.max(1, (int) Math.round(share.draw(chance, number) * those.size()));
        } else {
            wanted = all || fallBack || ofKind >= 0 || inZone >= 0 ? those.size() : 1;
        }
        return some(those, wanted, chance, key, number);
    }

    List<Integer> drawDispatchers(int count, Chance chance, String key, long number) {
        return some(IntStream.range(0, count).boxed().toList(), (int) dispatchers.draw(chance, number),
                chance, key, number);
    }

    private static List<Integer> some(List<Integer> those, int wanted, Chance chance, String key,
            long number) {
        var shuffled = new ArrayList<>(those);
        Collections.shuffle(shuffled, new Random(chance.stream("scenario " + key + " struck",
                number).nextLong()));
        return List.copyOf(shuffled.subList(0, Math.min(wanted, shuffled.size())));
    }
}
