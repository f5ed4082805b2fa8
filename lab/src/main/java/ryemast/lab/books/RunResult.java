package ryemast.lab.books;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import ryemast.lab.scenario.Scenario;

/**
 * What a run came to; immutable. Its JSON names are those of its parts in lower case with underscores, and
 * tools rely on them: a part may be added, none renamed. What is not known (nothing was served, somebody else
 * runs the dispatcher) is null.
 *
 * <p>Jobs count once, by how their last try ended: served + refused + failed + left = asked. Latencies are
 * those of served jobs, from when the first try was due, whether or not it could leave then, until the answer
 * was there whole; so waiting that the emulated clients or their retries add is in them, and nothing has to
 * be corrected for coordinated omission.
 *
 * @param scenario         its name
 * @param counts           false: the emulator was too late for the figures to be the dispatcher's
 * @param doubts           why it does not count
 * @param interrupted      it was ended before its time; what was measured until then is here
 * @param seconds          from the books' first entry to the last
 * @param served           jobs with a 200
 * @param refused          jobs whose last answer was 429 or 503
 * @param failed           jobs that ended in any other way, unanswered ones among them
 * @param left             jobs whose client went away before its time was up
 * @param unanswered       jobs whose time went by, or for whom the run ended, without an answer
 * @param service          see {@link ServiceMeasure}
 * @param cpuUsPerJob      processor time of all dispatchers over the jobs that reached one
 * @param rssMb            the most memory that any dispatcher held
 * @param emulatorLateMs   99.9% of what the emulator had to do at a time was no later than this
 * @param attemptsPerJob   requests that arrived whole at boxes
 * @param secondCopies     those of them sent while an earlier one of the same try was open
 * @param doubleRuns       jobs that must not run twice and did, by whose fault
 */
public record RunResult(String scenario, String title, long seed, boolean counts, List<String> doubts,
        boolean interrupted, String note, double seconds, long asked, long served, long refused, long failed,
        long left, long unanswered, Outcomes tries, double service, ServiceMeasure serviceParts,
        int rulesBroken, Map<String, Integer> rulesBrokenBy, List<BreachRow> breaches,
        Map<String, Integer> doubleRuns, LatencyMs latencyMs, Double cpuUsPerJob, Double rssMb,
        double emulatorLateMs, double emulatorLateMostMs, double attemptsPerJob, long secondCopies,
        Map<String, Group> byClass, Map<String, Group> byTenant, List<BoxRow> byBox, List<WindowRow> windows,
        List<FaultRow> faults, List<DispatcherRow> dispatchers) {

    /** Tries, each by how it ended. */
    public record Outcomes(long asked, long served, long refused, long failed, long left, long unanswered) {
    }

    public record LatencyMs(Double p50, Double p99, Double p999) {
    }

    /** Jobs of one class or tenant; {@code inTime}: its part of the worth asked for, null if none was. */
    public record Group(long asked, long served, long refused, long failed, long left, long overShare,
            Double inTime, LatencyMs latencyMs) {
    }

    /** {@code busyShare}: work done over what its cores could do, warm, in the run. */
    public record BoxRow(String id, String kind, long sent, long served, long turnedAway, double busyShare,
            int fellOver) {
    }

    /** Jobs that were due in a stretch of the run, by how they ended in the end. */
    public record WindowRow(double fromS, long asked, long served, long refused, long failed, long left,
            Double inTime) {
    }

    public record FaultRow(String kind, double atS, double lastsS, List<Integer> targets, String jobClass,
            double share, double size) {
    }

    /** {@code atS}: since the books' first entry. */
    public record BreachRow(String rule, double atS, String txn, String box, Integer dispatcher,
            String what) {
    }

    public record DispatcherRow(int number, Double cpuMs, Double rssMb, Double readyMs, Double readyCpuMs,
            boolean alive, boolean died, Integer exitCode, List<String> lastLines) {
    }

    private static final Gson GSON = new GsonBuilder()
            .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).serializeNulls().create();

    /**
     * Reckons a run's result from its books.
     *
     * @param stats  of each dispatcher; empty if nothing is known of them
     * @param note   anything that a reader should know, null: nothing
     */
    public static RunResult of(Scenario scenario, MemoryBooks books, List<DispatcherStats> stats,
            boolean interrupted, String note) {
        return of(scenario, books.read(), stats, interrupted, note);
    }

    /** The same from books that were read, and perhaps mended, before. */
    public static RunResult of(Scenario scenario, History history, List<DispatcherStats> stats,
            boolean interrupted, String note) {
        return new Reckoning(scenario, history, stats).result(interrupted, note);
    }

    public JsonObject json() {
        return GSON.toJsonTree(this).getAsJsonObject();
    }
}
