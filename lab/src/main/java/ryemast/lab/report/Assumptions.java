package ryemast.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ryemast.lab.compare.Compared;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.FaultKind;

/** What a comparison takes for granted, in words: the site, the measure, the runs and the statistics. */
record Assumptions(Compared compared, Scenario scenario) {

    private static final double MICROS_PER_S = 1e6;
    private static final double MICROS_PER_MS = 1e3;

    String html() {
        var out = new StringBuilder("<section><h2>What was assumed</h2>\n");
        list(out, "The site, as seed " + scenario.seed()
                + " draws it; other seeds draw other values within the "
                + "scenario's ranges", site());
        list(out, "The measure", measure());
        list(out, "The runs", runs());
        list(out, "How it was reckoned", method());
        return out.append("</section>\n").toString();
    }

    private static void list(StringBuilder out, String title, List<String> lines) {
        out.append("<h3>").append(Page.text(title)).append("</h3><ul>\n");
        lines.forEach(each -> out.append("<li>").append(Page.text(each)).append("</li>\n"));
        out.append("</ul>\n");
    }

    private List<String> site() {
        var lines = new ArrayList<String>();
        for (int kind = 0; kind < scenario.kinds().size(); kind++) {
            int one = kind;
            var boxes = scenario.boxes().stream().filter(box -> box.kind() == one).toList();
            if (!boxes.isEmpty()) {
                lines.add(boxes.size() + " boxes of " + scenario.kinds().get(kind) + ": " + boxes.get(0)
                        .cores()
                        + " cores, " + boxes.get(0).slots() + " slots, a queue of " + boxes.get(0).queue()
                        + ", speeds " + format(boxes.stream().mapToDouble(BoxSpec::speed).min().orElse(0))
                        + " to "
                        + format(boxes.stream().mapToDouble(BoxSpec::speed).max().orElse(0)));
            }
        }
        var load = scenario.load();
        lines.add(load.replay() != null ? load.replay().jobs().size() + " recorded jobs, at their times"
                : load.ratePerSecond() > 0 ? format(load.ratePerSecond()) + " jobs a second, "
                + load.shape().name().toLowerCase(Locale.ROOT) : load.connections()
                + " clients in a closed loop");
        lines.add("Hints: " + load.hints().name().toLowerCase(Locale.ROOT)
                + (load.hints() == Scenario.Hints.ROUGH
                ? ", off by a factor of " + format(Math.exp(load.hintSigma())) + " on average" : ""));
        for (var each : scenario.classes()) {
            lines.add("Class " + each.name() + ": " + format(100 * each.share()) + "% of jobs, "
                    + format(each.meanWork() / MICROS_PER_MS) + " ms of work on average, "
                    + each.spread().name().toLowerCase(Locale.ROOT) + "; in time within "
                    + format(each.aim() / MICROS_PER_MS) + " ms plus " + format(each.stretch())
                    + " times its work, deadline " + format(each.deadline() / MICROS_PER_MS) + " ms");
        }
        lines.add(scenario.dispatchers().count() + " dispatchers; a message takes "
                + format(scenario.model().oneWay() / MICROS_PER_MS) + " ms one way");
        lines.add(scenario.faults().isEmpty() ? "Nothing goes wrong" : "What goes wrong (so many times): "
                + scenario.faults().stream()
                .collect(Collectors.groupingBy(fault -> fault.kind(), TreeMap::new, Collectors.counting()))
                .entrySet().stream().map(each -> each.getValue() + " x " + word(each.getKey()))
                .collect(Collectors.joining(", ")));
        return lines;
    }

    private static String word(FaultKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private List<String> measure() {
        var goal = scenario.goal();
        return List.of("Worth answered in time over worth asked for: " + format(goal.whole())
                + " of the whole run, "
                + format(goal.worstWindow()) + " of its worst " + format(goal.window() / MICROS_PER_S)
                + " s, "
                + format(goal.worstClass()) + " of its worst class, " + format(goal.worstTenant())
                + " of its worst account within its share",
                "Less " + format(goal.lateFail()) + " times the worth that failed late and "
                + format(goal.waste())
                + " times the work that served nobody");
    }

    private List<String> runs() {
        var plan = compared.plan();
        return List.of(compared.done().rows().seeds().size() + " runs of each, seeds from " + plan.first()
                + " on, of "
                + plan.runs() + " at most; each " + format(scenario.length() / MICROS_PER_S) + " s of jobs",
                "Both arms meet the same site, jobs, hints, faults and discovery, drawn from the seed by "
                + "entity, so "
                + "that what one arm does leaves the other's draws alone",
                "The dispatchers' own exchange and decision code runs, in virtual time; boxes, clients, "
                + "discovery and "
                + "the network are models of their documented behaviour, not measurements of real machines",
                "Not modelled: the processor time of dispatchers, unless the scenario's [model] says what a "
                + "turn costs; "
                + "what a box does beyond its cores, slots, queue and warmth");
    }

    private List<String> method() {
        return List.of("The difference is taken run by run; its intervals are Student's t and the "
                + "studentized bootstrap, the "
                + "wider end of the two on each side",
                "Looked at " + compared.done().look() + " of up to " + compared.done().looks()
                + " times; the answer "
                + "above is by an interval that allows for that (group-sequential, error spent in proportion "
                + "to runs), "
                + "so that of comparisons of two equal choices at most 5% raise a false alarm",
                "Differences in service below " + compared.plan().margin() + " count as none",
                "Runs differ in sites and jobs as the scenario's ranges do: what is sure here is sure for "
                + "sites like "
                + "these, not for one that is unlike them");
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e9
                ? String.format(Locale.ROOT, "%,d", (long) value)
                : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%,.0f" : "%.3g", value);
    }
}
