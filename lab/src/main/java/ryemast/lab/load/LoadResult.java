package ryemast.lab.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/**
 * One run under load as it is kept: the fields of every result of the lab, with the measured interval's
 * figures in them, and what the run was asked to do and was given.
 *
 * @param whole       the result of the whole run, warm-up included, as JSON
 * @param emulatorLateMs  99.9% of what the emulator did was late by no more than this
 * @param counts      false if the emulator was too late for the figures to mean anything
 * @param broken      rules broken
 * @param died        whether a dispatcher ended by itself
 * @param lastLines   of its log, if it did
 */
public record LoadResult(LoadPlan plan, Room room, boolean external, JsonObject whole, Measured measured,
        double rssMb, double emulatorLateMs, boolean counts, long broken, boolean died, String lastLines,
        boolean interrupted) {

    private static final double MICROS_PER_MS = 1e3;
    private static final String OPEN = "corrected: every job's time runs from when it was due";
    private static final String CLOSED = "not applicable: in a closed loop a job is due when "
            + "the one before it has been answered";

    /** Whether nothing went wrong that makes the figures worthless. */
    public boolean fine() {
        return counts && broken == 0 && !died && !interrupted;
    }

    public JsonObject json() {
        var json = whole.deepCopy();
        json.addProperty("served", measured.served());
        json.addProperty("refused", measured.refused());
        json.addProperty("failed", measured.failed());
        json.addProperty("unanswered", measured.unanswered());
        json.addProperty("asked", measured.asked());
        json.addProperty("asked_per_s", rounded(measured.askedPerSecond(), 2));
        json.addProperty("served_per_s", rounded(measured.servedPerSecond(), 2));
        json.add("latency_ms", latency(measured.latency()));
        boolean known = measured.cpuMicros() >= 0;
        json.addProperty("cpu_us_per_job", known ? rounded(measured.cpuMicrosPerJob(), 1) : null);
        json.addProperty("cpu_busy", known ? rounded(measured.busy(), 3) : null);
        json.addProperty("rss_mb", known ? rounded(rssMb, 1) : null);
        json.addProperty("emulator_late_ms", rounded(emulatorLateMs, 2));
        json.addProperty("stolen_share", rounded(measured.stolen(), 4));
        json.addProperty("counts", counts);
        json.addProperty("interrupted", interrupted);
        json.addProperty("coordinated_omission", plan.closedLoop() ? CLOSED : OPEN);
        json.add("load", load());
        return json;
    }

    private static JsonObject latency(Latency latency) {
        var json = new JsonObject();
        boolean any = latency.count() > 0;
        json.addProperty("p50", any ? ms(latency.percentile(50)) : null);
        json.addProperty("p90", any ? ms(latency.percentile(90)) : null);
        json.addProperty("p99", any ? ms(latency.percentile(99)) : null);
        json.addProperty("p999", any ? ms(latency.percentile(99.9)) : null);
        json.addProperty("mean", any ? rounded(latency.mean() / MICROS_PER_MS, 3) : null);
        json.addProperty("max", any ? ms(latency.longest()) : null);
        return json;
    }

    private JsonObject load() {
        var json = new JsonObject();
        json.addProperty("boxes", plan.boxes());
        json.addProperty("cores_per_box", plan.cores());
        json.addProperty("connections", plan.connections());
        json.addProperty("rate", plan.rate());
        json.addProperty("closed_loop", plan.closedLoop());
        json.addProperty("seconds", plan.seconds());
        json.addProperty("measured_seconds", rounded(measured.seconds(), 3));
        json.addProperty("warm_up", plan.warmUp());
        json.addProperty("work_ms", plan.workMs());
        json.addProperty("resets", plan.resets());
        json.addProperty("lost", plan.lost());
        json.addProperty("turn_away", plan.turnAway());
        json.addProperty("errors", plan.errors());
        json.addProperty("single_shot", plan.singleShot());
        json.addProperty("starts", plan.starts());
        json.addProperty("seed", plan.seed());
        var dispatcher = new JsonObject();
        dispatcher.addProperty("started_by", external ? "somebody else" : "the lab");
        dispatcher.addProperty("cores", 1);
        dispatcher.addProperty("sockets", room.dispatcher());
        dispatcher.addProperty("heap_mb", room.heapMb());
        json.add("dispatcher", dispatcher);
        return json;
    }

    /** All of them, as one array. */
    public static JsonArray json(Iterable<LoadResult> results) {
        var array = new JsonArray();
        results.forEach(result -> array.add(result.json()));
        return array;
    }

    private static Double ms(long micros) {
        return rounded(micros / MICROS_PER_MS, 3);
    }

    private static Double rounded(double value, int digits) {
        double scale = Math.pow(10, digits);
        return Math.round(value * scale) / scale;
    }
}
