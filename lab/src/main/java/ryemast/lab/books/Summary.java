package ryemast.lab.books;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a run came to, for somebody who was not there: at most {@link #MOST_LINES} lines of plain words, the
 * worst news first. Colour only repeats what the words say.
 */
public final class Summary {

    public static final int MOST_LINES = 30;

    private static final int BAR = 24;
    private static final int GROUPS = 4;
    private static final int BREACHES = 4;
    private static final int LOG_LINES = 5;
    private static final int WIDEST = 110;
    private static final String RED = "\u001b[31m";
    private static final String GREEN = "\u001b[32m";
    private static final String YELLOW = "\u001b[33m";
    private static final String PLAIN = "\u001b[0m";

    private final RunResult run;
    private final boolean colour;
    private final List<String> lines = new ArrayList<>();

    private Summary(RunResult run, boolean colour) {
        this.run = run;
        this.colour = colour;
    }

    public static void print(RunResult run, PrintStream out, boolean colour) {
        lines(run, colour).forEach(out::println);
        out.flush();
    }

    static List<String> lines(RunResult run, boolean colour) {
        Summary summary = new Summary(run, colour);
        summary.head();
        summary.dead();
        summary.rules();
        summary.outcomes();
        summary.service();
        summary.groups("class", run.byClass());
        summary.groups("tenant", run.byTenant());
        summary.boxes();
        summary.dispatchers();
        return summary.lines;
    }

    private void head() {
        add("", "%s, seed %d: %,d jobs in %.1f s%s", run.scenario(), run.seed(), run.asked(), run.seconds(),
                run.interrupted() ? ", INTERRUPTED before its end" : "");
        if (!run.counts()) {
            add(RED, "THIS RUN DOES NOT COUNT: %s.", String.join("; ", run.doubts()));
        }
        if (run.note() != null && !run.note().isBlank()) {
            add(YELLOW, "Note: %s", run.note());
        }
    }

    private void dead() {
        List<RunResult.DispatcherRow> died = run.dispatchers().stream()
                .filter(RunResult.DispatcherRow::died).toList();
        if (died.isEmpty()) {
            return;
        }
        RunResult.DispatcherRow first = died.get(0);
        add(RED, "DISPATCHER %d DIED by itself%s%s.%s", first.number(),
                first.exitCode() == null ? "" : ", exit code " + first.exitCode(),
                died.size() > 1 ? ", and " + (died.size() - 1) + " more did" : "",
                first.lastLines().isEmpty() ? " It left no log." : " The end of its log:");
        List<String> log = first.lastLines();
        log.subList(Math.max(0, log.size() - LOG_LINES), log.size())
                .forEach(line -> add("", "    | %s", line));
    }

    private void rules() {
        if (run.rulesBroken() == 0) {
            add(GREEN, "Rules: all kept.");
            return;
        }
        String which = run.rulesBrokenBy().entrySet().stream().filter(rule -> rule.getValue() > 0)
                .map(rule -> String.format(Locale.ROOT, "%s %,d", rule.getKey(), rule.getValue()))
                .collect(Collectors.joining(", "));
        add(RED, "RULES BROKEN %,d times (%s):", run.rulesBroken(), which);
        run.breaches().stream().limit(BREACHES)
                .forEach(breach -> add("", "    %7.3f s  %s", breach.atS(), breach.what()));
        if (run.rulesBroken() > BREACHES) {
            add("", "    and %,d more", run.rulesBroken() - BREACHES);
        }
    }

    private void outcomes() {
        if (run.asked() == 0) {
            add(YELLOW, "Nobody asked for anything, so there is nothing to tell.");
            return;
        }
        outcome("served", run.served(), GREEN, run.served() == 0 ? "   NOTHING WAS SERVED" : "");
        outcome("refused", run.refused(), YELLOW, "");
        outcome("failed", run.failed(), RED, run.unanswered() == 0 ? ""
                : String.format(Locale.ROOT, "   %,d of them without any answer", run.unanswered()));
        if (run.left() > 0) {
            outcome("left early", run.left(), "", "   their clients went away");
        }
    }

    private void outcome(String name, long count, String paint, String remark) {
        double share = (double) count / run.asked();
        int full = count == 0 ? 0 : Math.max(1, (int) Math.round(share * BAR));
        add(paint, "  %-10s %6.2f%% [%s%s] %,d%s", name, 100 * share, "#".repeat(full),
                ".".repeat(BAR - full), count, remark);
    }

    private void service() {
        if (run.asked() == 0) {
            return;
        }
        ServiceMeasure parts = run.serviceParts();
        add("", "Service %.3f of 1: the worth answered in time is %.3f of the whole run's, %.3f in the worst "
                + "window,", run.service(), parts.whole(), parts.worstWindow());
        add("", "    %.3f for the worst class, %.3f for the worst tenant; less for late failures (%.1f%%) "
                + "and waste (%.1f%%)", parts.worstClass(), parts.worstTenant(), 100 * parts.lateFail(),
                100 * parts.waste());
        if (run.served() > 0) {
            RunResult.LatencyMs took = run.latencyMs();
            add("", "Served jobs took: half up to %,.1f ms, 99%% up to %,.1f ms, 99.9%% up to %,.1f ms",
                    took.p50(), took.p99(), took.p999());
        }
    }

    private void groups(String kind, Map<String, RunResult.Group> groups) {
        if (groups.size() < 2) {
            return;
        }
        List<String> told = groups.entrySet().stream().limit(GROUPS).map(group -> {
            RunResult.Group is = group.getValue();
            return group.getKey() + " " + (is.inTime() == null ? "nothing asked"
                    : String.format(Locale.ROOT, "%.1f%%", 100 * is.inTime()));
        }).toList();
        add("", "In time by %s: %s%s", kind, String.join(", ", told),
                groups.size() > GROUPS ? ", and " + (groups.size() - GROUPS) + " more" : "");
    }

    private void boxes() {
        if (run.byBox().isEmpty()) {
            return;
        }
        RunResult.BoxRow busiest = run.byBox().stream()
                .max(Comparator.comparingDouble(RunResult.BoxRow::busyShare)).orElseThrow();
        double mean = run.byBox().stream().mapToDouble(RunResult.BoxRow::busyShare).average().orElse(0);
        long fell = run.byBox().stream().mapToLong(RunResult.BoxRow::fellOver).sum();
        add("", "%,d boxes, busy %.0f%% of the time on average, %s most with %.0f%%; %.2f requests a job, "
                + "second copies: %,d%s", run.byBox().size(), 100 * mean, busiest.id(),
                100 * busiest.busyShare(),
                run.attemptsPerJob(), run.secondCopies(), fell == 0 ? "" : "; " + fell + " fell over");
        if (!run.faults().isEmpty()) {
            Map<String, Long> kinds = run.faults().stream()
                    .collect(Collectors.groupingBy(RunResult.FaultRow::kind, Collectors.counting()));
            add("", "Went wrong as planned: %s", kinds.entrySet().stream().sorted(Map.Entry.comparingByKey())
                    .map(kind -> kind.getKey() + (kind.getValue() == 1 ? ""
                            : " " + kind.getValue() + " times"))
                    .collect(Collectors.joining(", ")));
        }
    }

    private void dispatchers() {
        String cpu = run.cpuUsPerJob() == null ? "processor time not known"
                : String.format(Locale.ROOT, "%,.0f µs of processor time a job", run.cpuUsPerJob());
        String memory = run.rssMb() == null ? "memory not known"
                : String.format(Locale.ROOT, "%,.0f MB at most", run.rssMb());
        add("", "Dispatchers: %s, %s. The emulator was late by %.1f ms (99.9%%), %.1f ms at most", cpu,
                memory, run.emulatorLateMs(), run.emulatorLateMostMs());
    }

    private void add(String paint, String format, Object... figures) {
        String line = String.format(Locale.ROOT, format, figures).replaceAll("\\p{Cntrl}", " ");
        if (line.length() > WIDEST && line.startsWith("    |")) {
            line = line.substring(0, WIDEST - 3) + "...";
        }
        lines.add(colour && !paint.isEmpty() ? paint + line + PLAIN : line);
    }
}
