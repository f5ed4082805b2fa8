package ryemast.lab.batch;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a trial found, by the submitters' and the boxes' own books.
 *
 * @param accepted         jobs that submitters were told are taken
 * @param finalStates      how many are in which final state
 * @param reasons          of those that failed
 * @param withoutFinal     accepted jobs that have none, or that nobody knows any more
 * @param withTwo          jobs that were told in two different final states
 * @param unknown          jobs that the dispatcher tells of though nobody submitted them
 * @param stickersTwice    jobs that must run once, and began more often at boxes
 * @param doneUnrun        told as done, though no box has finished them
 * @param wrongBodies      that reached a box with another body than was submitted
 * @param packsAgain       jobs that may be repeated, and were
 * @param recoveryMs       from each restart of the dispatcher until submitters had answers again
 * @param clients          what became of the clients' own jobs beside
 */
public record TrialResult(int accepted, Map<String, Integer> finalStates, Map<String, Integer> reasons,
        int withoutFinal, int withTwo, int unknown, int stickersTwice, int doneUnrun, int wrongBodies,
                int packsAgain,
        int kills, int cuts, List<Long> recoveryMs, double seconds, double cpuSeconds, double rssMb,
                String clients,
        String note) {

    /** Whether all that must hold does. */
    public boolean fine(int all) {
        return accepted == all && withoutFinal == 0 && withTwo == 0 && unknown == 0 && stickersTwice == 0
                && doneUnrun == 0 && wrongBodies == 0;
    }

    public JsonObject json() {
        var one = new JsonObject();
        one.addProperty("accepted", accepted);
        one.add("final_states", counts(finalStates));
        one.add("failed_for", counts(reasons));
        one.addProperty("jobs_without_final", withoutFinal);
        one.addProperty("jobs_with_two_finals", withTwo);
        one.addProperty("jobs_nobody_submitted", unknown);
        one.addProperty("stickers_run_twice", stickersTwice);
        one.addProperty("done_without_a_run", doneUnrun);
        one.addProperty("wrong_bodies", wrongBodies);
        one.addProperty("packs_run_again", packsAgain);
        one.addProperty("kills", kills);
        one.addProperty("cuts", cuts);
        var all = new JsonArray();
        recoveryMs.forEach(all::add);
        one.add("recovery_ms", all);
        one.addProperty("seconds", seconds);
        one.addProperty("jobs_per_s", seconds > 0 ? accepted / seconds : 0);
        one.addProperty("cpu_s", cpuSeconds);
        one.addProperty("rss_mb", rssMb);
        one.addProperty("clients", clients);
        if (note != null) {
            one.addProperty("note", note);
        }
        return one;
    }

    private static JsonObject counts(Map<String, Integer> counts) {
        var one = new JsonObject();
        new TreeMap<>(counts).forEach(one::addProperty);
        return one;
    }
}
