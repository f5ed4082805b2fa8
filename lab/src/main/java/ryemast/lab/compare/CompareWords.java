package ryemast.lab.compare;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A comparison in words. */
public final class CompareWords {

    private CompareWords() {
    }

    /** The answer in one sentence. */
    public static String verdict(Compared compared) {
        var done = compared.done();
        var service = compared.differences().get(Metric.SERVICE);
        var verdict = done.verdict();
        int runs = done.rows().seeds().size();
        if (done.interrupted()) {
            return "Stopped after " + runs + " runs of each: nothing is settled.";
        }
        var sure = String.format(Locale.ROOT, "the difference A - B lies between %+.4f and %+.4f",
                verdict.low(),
                verdict.high());
        return switch (verdict.word()) {
            case A_IS_BETTER -> "A is better: after " + runs + " runs of each, " + sure + ".";
            case B_IS_BETTER -> "B is better: after " + runs + " runs of each, " + sure + ".";
            case ALIKE -> "They are alike: after " + runs + " runs of each, " + sure + ", which is within "
                    + compared.plan().margin() + ".";
            case UNDECIDED -> "Undecided after " + runs + " runs of each: " + sure
                    + (service.runs() < 2 ? "." : ", "
                    + "and A is better with a chance of " + percent(service.chance()) + ". "
                    + (verdict.more() < 0
                    ? "No number of runs below a million would settle it." : "About " + verdict.more()
                    + " more runs would probably settle it."));
        };
    }

    public static String percent(double part) {
        return part > 0.999 ? "over 99.9%" : part < 0.001 ? "under 0.1%"
                : String.format(Locale.ROOT, "%.1f%%", 100 * part);
    }

    public static String summary(Compared compared) {
        var lines = new ArrayList<String>();
        lines.add(compared.scenario() + ": " + compared.title());
        lines.add("A: " + compared.plan().a().spec() + " (" + compared.plan().a().words() + ")");
        lines.add("B: " + compared.plan().b().spec() + " (" + compared.plan().b().words() + ")");
        lines.add(verdict(compared));
        lines.add("");
        lines.add(String.format(Locale.ROOT, "  %-33s %10s %10s   %-33s %s", "", "A", "B", "A - B (95%)",
                "A better"));
        compared.differences().forEach((metric, paired) -> lines.add(line(compared, metric, paired)));
        long brokenA = broken(compared.paired(true));
        long brokenB = broken(compared.paired(false));
        if (brokenA + brokenB > 0) {
            lines.add("Rules broken: A " + brokenA + " times, B " + brokenB + " times.");
        }
        return String.join("\n", lines);
    }

    static long broken(List<JsonObject> rows) {
        return rows.stream().mapToLong(row -> row.get("rules_broken").getAsLong()).sum();
    }

    private static String line(Compared compared, Metric metric, Paired paired) {
        double a = Compared.spread(compared.paired(true), metric).mean();
        double b = Compared.spread(compared.paired(false), metric).mean();
        var difference = paired.runs() < 2 ? "" : figure(paired.mean(), true) + " ("
                + figure(paired.low(), true)
                + " to " + figure(paired.high(), true) + ")";
        return String.format(Locale.ROOT, "  %-33s %10s %10s   %-33s %s", metric.words(), figure(a, false),
                figure(b, false), difference, paired.runs() < 2 || paired.deviation() == 0 ? ""
                : percent(metric.better(paired)));
    }

    public static String figure(double value, boolean signed) {
        if (Double.isNaN(value)) {
            return "-";
        }
        var format = (signed ? "%+" : "%") + (Math.abs(value) >= 100 ? ",.0f" : Math.abs(value) >= 10 ? ".1f"
                : ".4f");
        return String.format(Locale.ROOT, format, value);
    }
}
