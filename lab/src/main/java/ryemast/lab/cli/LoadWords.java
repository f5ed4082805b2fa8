package ryemast.lab.cli;

import java.util.ArrayList;
import java.util.Locale;
import ryemast.lab.load.Latency;
import ryemast.lab.load.LatencyGoal;
import ryemast.lab.load.LoadResult;
import ryemast.lab.load.RateSearch.Found;
import ryemast.lab.load.RateSearch.Step;
import ryemast.lab.load.RateSearch.Verdict;
import ryemast.lab.load.Table;

/** What a measurement under load has shown, for people. */
final class LoadWords {

    private static final double PERCENT = 100;
    private static final double MICROS_PER_MS = 1e3;
    private static final double MUCH_STOLEN = 0.02;

    private LoadWords() {
    }

    static String summary(LoadResult result) {
        var m = result.measured();
        var plan = result.plan();
        var lines = new ArrayList<String>();
        lines.add(plan.boxes() + " boxes, " + (plan.closedLoop()
                ? plan.connections() + " clients that send one job after the other"
                : LoadOptions.plain(plan.rate()) + " jobs a second") + ", " + number(m.seconds(), 1)
                + " s measured after " + LoadOptions.plain(plan.warmUp()) + " s of warm-up");
        lines.add(String.format(Locale.ROOT, "  asked     %,10d   %.1f a second", m.asked(),
                m.askedPerSecond()));
        lines.add(String.format(Locale.ROOT, "  served    %,10d   %.1f a second, %s", m.served(),
                m.servedPerSecond(), percent(m.share(m.served()))));
        lines.add(String.format(Locale.ROOT, "  refused   %,10d   %s", m.refused(),
                percent(m.share(m.refused()))));
        lines.add(String.format(Locale.ROOT, "  failed    %,10d   %s", m.failed(),
                percent(m.share(m.failed()))));
        if (m.unanswered() > 0) {
            lines.add(String.format(Locale.ROOT, "  no answer %,10d   %s", m.unanswered(),
                    percent(m.share(m.unanswered()))));
        }
        var latency = m.latency();
        lines.add("  latency   p50 " + ms(latency.percentile(50)) + ", p99 " + ms(latency.percentile(99))
                + ", p99.9 " + ms(latency.percentile(99.9)) + ", longest " + ms(latency.longest())
                + (plan.closedLoop() ? " (closed loop: from when it was sent)" : " (from when it was due)"));
        lines.add(m.cpuMicros() < 0 ? "  dispatcher's processor time and memory are not known"
                : "  dispatcher " + number(m.cpuMicrosPerJob(), 0) + " us of processor time a job, "
                + percent(m.busy()) + " of its core, " + number(result.rssMb(), 0) + " MB at most");
        lines.add("  emulator  late by " + number(result.emulatorLateMs(), 1)
                + " ms at most in 99.9% of cases");
        if (m.stolen() > MUCH_STOLEN) {
            lines.add("  machine   " + percent(m.stolen())
                    + " of it was taken by its host for others: "
                    + "figures on a quiet one are better");
        }
        faults(result, lines);
        return String.join("\n", lines);
    }

    private static void faults(LoadResult result, ArrayList<String> lines) {
        if (result.interrupted()) {
            lines.add("interrupted: this is what was measured until then");
        }
        if (result.died()) {
            lines.add("THE DISPATCHER DIED; the end of its log:\n"
                    + result.lastLines().indent(4).stripTrailing());
        }
        if (result.broken() > 0) {
            lines.add("RULES WERE BROKEN " + result.broken()
                    + " times; the JSON result lists the first ones");
        }
        if (!result.counts()) {
            lines.add("THE EMULATOR WAS LATE: this run does not count; take fewer boxes, less load, or a "
                    + "machine with less to do");
        }
    }

    /** Why a line of a table is not to be gone by; empty if it is. */
    static String note(LoadResult result) {
        var notes = new ArrayList<String>();
        if (result.interrupted()) {
            notes.add("interrupted");
        }
        if (result.died()) {
            notes.add("died");
        }
        if (result.broken() > 0) {
            notes.add(result.broken() + " rules broken");
        }
        if (!result.counts()) {
            notes.add("emulator late");
        }
        return String.join(", ", notes);
    }

    static void step(Table table, Step<LoadResult> step) {
        var m = step.detail().measured();
        table.row(Math.round(step.rate()), Math.round(m.servedPerSecond()), cell(m.latency(), 50),
                cell(m.latency(), 99), cell(m.latency(), 99.9), percent(m.busy()),
                number(step.detail().emulatorLateMs(), 1),
                word(step.verdict()) + (step.repeated() ? " (again)" : ""));
    }

    private static String word(Verdict verdict) {
        return switch (verdict) {
            case HOLDS -> "holds";
            case FAILS -> "fails";
            case EMULATOR_LATE -> "emulator late";
        };
    }

    static String found(Found<LoadResult> found, LatencyGoal goal) {
        if (found.rate() == 0) {
            return found.failedAt() == 0 ? "nothing was found: the search ended before its first step did"
                    : goal + " holds at no rate tried, down to " + number(found.failedAt(), 0)
                    + " jobs a second" + (found.emulatorLimited()
                            ? "; the emulator was late, so this says nothing of the dispatcher" : "");
        }
        return goal + " holds up to " + number(found.rate(), 0) + " jobs a second"
                + (found.failedAt() == 0 ? "; the search ended before it failed anywhere"
                : found.emulatorLimited() ? "; at " + number(found.failedAt(), 0)
                + " the emulator, not the dispatcher, was the limit" : " and fails at "
                + number(found.failedAt(), 0));
    }

    static String percent(double share) {
        return String.format(Locale.ROOT, share > 0 && share < 0.01 ? "%.3f%%" : "%.2f%%", share * PERCENT);
    }

    private static String ms(long micros) {
        return bare(micros) + " ms";
    }

    private static String bare(long micros) {
        return number(micros / MICROS_PER_MS, 1);
    }

    /** In milliseconds, as a cell of a table; where nothing was served there is none. */
    static String cell(Latency latency, double percentile) {
        return latency.count() == 0 ? "-" : bare(latency.percentile(percentile));
    }

    static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
