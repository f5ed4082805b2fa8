package ryemast.lab.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import ryemast.lab.fleet.Findings.Found;

/**
 * What a trial came to.
 *
 * @param doubts  why its figures, or its breaches, may be the emulator's own doing; empty: they are not
 */
public record FleetResult(FleetBooks books, Findings findings, List<String> doubts, boolean interrupted) {

    private static final double SECOND = 1e6;

    public List<Found> breaches() {
        return findings.breaches();
    }

    /** Whether it was played whole and no rule was broken. */
    public boolean fine() {
        return breaches().isEmpty() && !interrupted;
    }

    /** What plays it again. */
    public String again() {
        var trial = books.trial();
        return "./ryemast lab fleet " + trial.call() + " --seed " + trial.seed() + " --processes "
                + trial.scenario().dispatchers().count() + " --seconds "
                + trial.scenario().length() / SECOND;
    }

    public JsonObject json() {
        var trial = books.trial();
        var all = new JsonObject();
        all.addProperty("trial", trial.scenario().name());
        all.addProperty("seed", trial.seed());
        all.addProperty("processes", trial.scenario().dispatchers().count());
        var faults = new JsonArray();
        for (var each : books.struck()) {
            var fault = new JsonObject();
            fault.addProperty("at", each.strike().at() / SECOND);
            fault.addProperty("kind", each.strike().kind().word());
            fault.addProperty("target", each.strike().targetName());
            fault.addProperty("for_s", each.strike().lasts() / SECOND);
            fault.addProperty("size", each.strike().size());
            faults.add(fault);
        }
        all.add("faults", faults);
        all.add("breaches", json(breaches()));
        all.add("in_doubt", json(findings.inDoubt()));
        findings.figures().entrySet().forEach(each -> all.add(each.getKey(), each.getValue()));
        all.addProperty("interrupted", interrupted);
        var doubtful = new JsonArray();
        doubts.forEach(doubtful::add);
        all.add("doubts", doubtful);
        all.addProperty("again", again());
        return all;
    }

    private JsonArray json(List<Found> found) {
        var array = new JsonArray();
        for (var each : found) {
            var one = new JsonObject();
            one.addProperty("rule", each.rule());
            one.addProperty("at", at(each));
            one.addProperty("what", each.what());
            array.add(one);
        }
        return array;
    }

    /** Since the books' begin, in seconds. */
    private double at(Found breach) {
        return (Math.min(breach.at(), books.history().endedAt()) - books.history().beganAt()) / SECOND;
    }

    /** One line for each breach. */
    public List<String> lines() {
        return breaches().stream().map(each -> String.format(Locale.ROOT, "%.3f s: %s: %s", at(each),
                each.rule(), each.what())).toList();
    }
}
