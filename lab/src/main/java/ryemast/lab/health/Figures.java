package ryemast.lab.health;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import ryemast.health.Belief;
import ryemast.health.TrafficState;
import ryemast.lab.books.Attempt;
import ryemast.lab.books.History;
import ryemast.lab.books.JobStory;
import ryemast.lab.books.ServiceMeasure;
import ryemast.lab.books.TryStory.Outcome;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Effect;

/**
 * What one run of one case came to; immutable. Where several boxes are struck, times are those of the last of
 * them; of several dispatchers with views of their own, of the last of these.
 *
 * @param leftAfter       from the fault's start until traffic had left; {@link Traffic#NEVER}: it did not
 *                        while the fault lasted; -1: no box has a fault of its own
 * @param backAfter       from the fault's end, the box's start included, until it had its share again
 * @param lost            jobs that ended unserved after the first fault began, poisoned ones aside
 * @param lostRepeatable  those of them that might have been tried elsewhere
 * @param aside           box-seconds in which boxes that no fault strikes got under a fifth of what is fair
 * @param sendsPerServed  from the first fault's start on
 */
record Figures(long leftAfter, long backAfter, long asked, long lost, long lostRepeatable, double aside,
        double sendsPerServed, double service, Map<String, Map<String, Integer>> beliefs) {

    /** Calm before the first fault is measured from here on, when boxes' rates have been learned. */
    private static final long SETTLED = 1_000_000;
    /** No box is struck. */
    static final long NOBODY = -1;

    static Figures of(Scenario scenario, History history, Notes notes) {
        boolean views = scenario.faults().stream().anyMatch(fault -> fault.dispatcher() >= 0);
        int[] dispatchers = views ? IntStream.range(0, scenario.dispatchers().count()).toArray()
                : new int[] {-1};
        long left = NOBODY;
        long back = NOBODY;
        double aside = 0;
        for (int dispatcher : dispatchers) {
            var truth = new Truth(scenario, history, dispatcher);
            var traffic = traffic(scenario, history, notes, dispatcher);
            long calmFrom = truth.beganAt() + Math.min(SETTLED, (truth.from() - truth.beganAt()) / 2);
            long window = traffic.window(calmFrom, truth.from());
            double[] former = IntStream.range(0, scenario.boxes().size())
                    .mapToDouble(box -> traffic.share(box, calmFrom, truth.from())).toArray();
            for (int box : truth.struck()) {
                long struckAt = truth.struckAt(box);
                long wellFrom = truth.wellFrom(box);
                left = Math.max(left, traffic.leftAfter(box, former[box], struckAt,
                        Math.min(wellFrom, truth.until()), window));
                back = Math.max(back, wellFrom == Traffic.NEVER ? Traffic.NEVER
                        : traffic.backAfter(box, former[box], wellFrom, truth.until(), window));
            }
            var healthy = IntStream.range(0, former.length).filter(box -> !truth.struck().contains(box))
                    .boxed().toList();
            for (long at = truth.from(); at + window <= truth.until(); at += window) {
                if (!truth.stoodStill(at, at + window)) {
                    aside += traffic.asideSeconds(healthy, former, at, at + window, window);
                }
            }
        }
        long from = new Truth(scenario, history, -1).from();
        var over = history.jobs().stream().filter(job -> job.closedAt() >= from).toList();
        var lost = over.stream().filter(Figures::isLost).toList();
        long served = over.stream().filter(job -> job.servedAt() != Attempt.NEVER).count();
        long sends = notes.sent().stream().filter(sent -> sent.at() >= from).count();
        return new Figures(left, back, history.jobs().size(), lost.size(),
                lost.stream().filter(job -> scenario.classes().get(job.job().jobClass()).effect()
                        != Effect.SINGLE_SHOT).count(),
                aside, served == 0 ? Double.NaN : (double) sends / served,
                ServiceMeasure.of(scenario, history).service(), beliefs(scenario, history, notes));
    }

    private static boolean isLost(JobStory story) {
        return story.outcome() != Outcome.SERVED && story.outcome() != Outcome.LEFT
                && !story.job().poisoned();
    }

    private static Traffic traffic(Scenario scenario, History history, Notes notes, int dispatcher) {
        var asked = new ArrayList<Long>();
        history.jobs().stream().map(job -> job.tries().get(0)).filter(first -> !first.asked().isEmpty())
                .map(first -> first.asked().get(0))
                .filter(at -> dispatcher < 0 || at.dispatcher() == dispatcher)
                .forEach(at -> asked.add(at.at()));
        List<List<Long>> sent = new ArrayList<>();
        scenario.boxes().forEach(box -> sent.add(new ArrayList<>()));
        notes.sent().stream().filter(each -> dispatcher < 0 || each.dispatcher() == dispatcher)
                .forEach(each -> sent.get(each.box()).add(each.at()));
        return new Traffic(asked, sent);
    }

    /** How often what was believed of a box while something was true of it, since the first fault. */
    private static Map<String, Map<String, Integer>> beliefs(Scenario scenario, History history,
            Notes notes) {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        var truths = IntStream.range(0, scenario.dispatchers().count())
                .mapToObj(dispatcher -> new Truth(scenario, history, dispatcher)).toList();
        for (var glance : notes.glances()) {
            var truth = truths.get(glance.dispatcher());
            if (glance.at() < truth.from() || glance.at() > truth.until()) {
                continue;
            }
            for (var box : scenario.boxes()) {
                counts.computeIfAbsent(truth.of(box.index(), glance.at()), any -> new TreeMap<>())
                        .merge(word(glance.beliefs().get(box.index())), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** What is believed, with its cause; a box that gets full traffic is taken to be well. */
    private static String word(Belief belief) {
        if (belief == null || belief.state() == Belief.State.WELL
                && belief.trafficState() == TrafficState.FULL) {
            return Truth.WELL;
        }
        return switch (belief.state()) {
            case SILENT -> "silent";
            case WELL -> "suspect";
            case FLAKY, DOWN -> belief.state().name().toLowerCase(Locale.ROOT)
                    + (belief.reason() == null ? "" : ", " + belief.reason().name().toLowerCase(Locale.ROOT)
                    .replace('_', ' '));
        };
    }

    JsonObject json(long seed) {
        var row = new JsonObject();
        row.addProperty("seed", seed);
        add(row, "left_after_s", leftAfter);
        add(row, "back_after_s", backAfter);
        row.addProperty("asked", asked);
        row.addProperty("lost", lost);
        row.addProperty("lost_repeatable", lostRepeatable);
        row.addProperty("aside_box_s", aside);
        row.addProperty("sends_per_served", Double.isNaN(sendsPerServed) ? null : sendsPerServed);
        row.addProperty("service", service);
        var all = new JsonObject();
        beliefs.forEach((truth, believed) -> {
            var counts = new JsonObject();
            believed.forEach(counts::addProperty);
            all.add(truth, counts);
        });
        row.add("beliefs", all);
        return row;
    }

    /** Null: no box is struck; "never": it did not come to that. */
    private static void add(JsonObject row, String name, long after) {
        if (after == Traffic.NEVER) {
            row.addProperty(name, Median.NEVER);
        } else {
            row.addProperty(name, after == NOBODY ? null : (Double) ((double) after / Traffic.SECOND));
        }
    }
}
