package ryemast.lab.compare;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import ryemast.lab.books.Attempt;
import ryemast.lab.books.History;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.RunResult;
import ryemast.lab.books.ServiceMeasure;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.Simulated;
import ryemast.lab.scenario.Scenario;

/** One run of one arm: the row of {@code lab simulate} with what the report draws. */
final class Trial {

    /** Parts of the served jobs whose latency is kept, for the curve. */
    static final double[] PARTS = {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999};

    /** Boxes are kept one by one up to so many, and by kind always. */
    private static final int FEW_BOXES = 40;
    private static final double MS = 1e3;
    private static final int STRETCHES = 30;

    private Trial() {
    }

    /** Null if it was stopped. */
    static JsonObject run(Scenario scenario, Arm arm, BooleanSupplier stopped) {
        var books = new MemoryBooks();
        try (var opened = arm.opener().open(scenario)) {
            var site = new ModelSite(scenario, opened.policy(), opened.tuning(), books.tries(), books);
            var ending = site.run(stopped);
            if (ending == ModelSite.Ending.INTERRUPTED) {
                return null;
            }
            var result = RunResult.of(scenario, books, List.of(), false, null);
            var row = Simulated.row(scenario, result, ending, site.events());
            var history = books.read();
            var overTime = new JsonArray();
            for (double share : ServiceMeasure.overTime(scenario, history, width(scenario))) {
                overTime.add(Compared.known(share));
            }
            row.add("over_time", overTime);
            row.add("curve", curve(history));
            row.add("use", use(result, i -> result.byBox().get(i).kind()));
            if (result.byBox().size() <= FEW_BOXES) {
                // Ids are dealt out anew by each seed; a kind and a speed tell a box that is always there.
                row.add("use_of_boxes", use(result, i -> String.format(Locale.ROOT, "%s, speed %.2f",
                        result.byBox().get(i).kind(), scenario.boxes().get(i).speed())));
            }
            return row;
        }
    }

    /** A stretch of the plot over time. */
    static long width(Scenario scenario) {
        return Math.max(1, scenario.length() / STRETCHES);
    }

    private static JsonArray curve(History history) {
        var took = history.jobs().stream().filter(job -> job.servedAt() != Attempt.NEVER)
                .mapToDouble(job -> (job.servedAt() - job.job().askedAt()) / MS).sorted().toArray();
        var curve = new JsonArray();
        Arrays.stream(PARTS).forEach(part -> curve.add(took.length == 0 ? null
                : took[Math.min(took.length - 1, (int) (part * took.length))]));
        return curve;
    }

    private static JsonObject use(RunResult result, IntFunction<String> name) {
        Map<String, List<Double>> shares = new LinkedHashMap<>();
        for (int i = 0; i < result.byBox().size(); i++) {
            shares.computeIfAbsent(name.apply(i), k -> new ArrayList<>())
                    .add(result.byBox().get(i).busyShare());
        }
        var use = new JsonObject();
        shares.forEach((group, of) -> use.addProperty(group,
                of.stream().mapToDouble(Double::doubleValue).average().orElse(0)));
        return use;
    }
}
