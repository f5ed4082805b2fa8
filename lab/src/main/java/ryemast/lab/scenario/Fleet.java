package ryemast.lab.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.world.Chance;

/**
 * Draws the boxes of a run from the kinds of a scenario.
 *
 * <p>Boxes are numbered in a drawn order, so that neither a number nor an id tells a dispatcher anything of
 * kind or zone that its list of boxes doesn't; what is drawn for the n-th box of a kind depends on the kind's
 * name and n alone.
 */
final class Fleet {

    /** How far a rough weight is off, as the sigma of its logarithm. */
    private static final double ROUGH = 0.2;

    private Fleet() {
    }

    static List<BoxSpec> draw(List<KindPlan> kinds, List<String> zones, SitePlan.Weights weights, Chance
            chance) {
        var unplaced = new ArrayList<BoxSpec>();
        int cells = 0;
        for (int kind = 0; kind < kinds.size(); kind++) {
            var plan = kinds.get(kind);
            var pattern = plan.pattern().apply(chance, kind);
            int count = plan.count().count(chance);
            int cellSize = plan.cellSize().count(chance);
            int places = plan.zones().size();
            for (int i = 0; i < count; i++) {
                int zone = zones.indexOf(plan.zones().get(i % places));
                int cell = cells + i % places + places * (i / places / cellSize);
                unplaced.add(own(pattern, plan, i, zone, cell, weights, chance));
            }
            int perZone = (count + places - 1) / places;
            cells += places * ((perZone + cellSize - 1) / cellSize);
        }
        var order = order(unplaced.size(), chance);
        var boxes = new ArrayList<BoxSpec>();
        for (int i = 0; i < unplaced.size(); i++) {
            var box = unplaced.get(order.get(i));
            var id = String.format(Locale.ROOT, "box-%04d-%s", i, kinds.get(box.kind()).name());
            boxes.add(placed(box, i, id));
        }
        return List.copyOf(boxes);
    }

    /** Which of the boxes, counted kind by kind, stands at each place. */
    private static List<Integer> order(int count, Chance chance) {
        var order = new ArrayList<>(IntStream.range(0, count).boxed().toList());
        Collections.shuffle(order, new Random(chance.stream("scenario order", 0).nextLong()));
        return order;
    }

    /** The place of the n-th box of a kind, from 0; -1 if there are not so many. */
    static int place(List<BoxSpec> boxes, int kind, int n, Chance chance) {
        long before = boxes.stream().filter(box -> box.kind() < kind).count();
        long of = boxes.stream().filter(box -> box.kind() == kind).count();
        return n >= of ? -1 : order(boxes.size(), chance).indexOf((int) before + n);
    }

    private static BoxSpec own(BoxSpec b, KindPlan plan, int number, int zone, int cell,
            SitePlan.Weights weights, Chance chance) {
        var draw = chance.stream("scenario box " + plan.name(), number);
        var gaussian = ZigguratSampler.NormalizedGaussian.of(draw);
        double speedSigma = Math.sqrt(Math.log1p(Math.pow(plan.speedVariation().draw(chance), 2)));
        double drawn = b.speed() * Math.exp(speedSigma * gaussian.sample() - speedSigma * speedSigma / 2);
        double speed = plan.speeds() == null ? drawn : plan.speeds()[number];
        double size = b.cores() * b.speed();
        double weight = switch (weights) {
            case NONE -> 1;
            case NOMINAL -> size;
            case ROUGH -> size * Math.exp(ROUGH * gaussian.sample());
        };
        return new BoxSpec(0, "", b.kind(), zone, cell, b.cores(), speed, b.slots(), b.queue(),
                b.coldCapacity(), b.coldFor(), b.warmBy(), b.startsCold(), b.errorShare(), b.cancel(),
                b.dropsExpired(), b.handsBack(), Math.round(weight * 1000) / 1000.0, b.connections(),
                b.idleLimit(), b.handshake(), b.handshakeWork());
    }

    static BoxSpec placed(BoxSpec b, int index, String id) {
        return new BoxSpec(index, id, b.kind(), b.zone(), b.cell(), b.cores(), b.speed(), b.slots(),
                b.queue(),
                b.coldCapacity(), b.coldFor(), b.warmBy(), b.startsCold(), b.errorShare(), b.cancel(),
                b.dropsExpired(), b.handsBack(), b.weight(), b.connections(), b.idleLimit(), b.handshake(),
                b.handshakeWork());
    }

    /** Jobs a second that keep all cores of a fleet busy; a job has its slots' cores while it runs. */
    static double jobsPerSecond(List<BoxSpec> boxes, List<Scenario.JobClass> classes) {
        double capacity = boxes.stream().mapToDouble(BoxSpec::capacity).sum();
        double work = classes.stream().mapToDouble(each -> each.share() * each.meanWork() *
                each.slots()).sum();
        return capacity * Section.SECOND / work;
    }
}
