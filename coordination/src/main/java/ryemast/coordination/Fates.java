package ryemast.coordination;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import ryemast.consul.ConsulCalls.Answer;
import ryemast.coordination.Coordination.Fate;
import ryemast.coordination.Coordination.Result;

/**
 * What became of a step by what is known of its call. The table, which docs/coordination.md gives in full:
 *
 * <ul>
 * <li>never written to a connection: not done;
 * <li>written, and no answer: unknown;
 * <li>200: done. Also where it was written twice: had the first one taken effect, the second would have met
 *     other versions;
 * <li>409 that names failed comparisons: conflict; one that names missing rights: not done;
 * <li>a refusal before anything was tried (400, 403, 404, 405, 413, 429), or no leader to take it: not done;
 * <li>all else: unknown.
 * </ul>
 *
 * <p>Where it was written twice, whatever is not "done" is unknown: the answer is to the second one, which
 * may have met what the first one did.
 */
final class Fates {

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;
    private static final List<Integer> REFUSED = List.of(400, 403, 404, 405, 413, 429);
    /** What a server says that looked for a leader in vain, and so handed the step to nobody. */
    private static final String NO_LEADER = "No cluster leader";
    /** In a transaction, missing rights come in the place of a failed comparison. */
    private static final String NO_RIGHT = "Permission denied";

    private Fates() {
    }

    static Result of(Step step, Answer answer, KvJson json) {
        if (!answer.sent()) {
            return result(Fate.NOT_DONE, "it was not sent: " + answer.why());
        }
        if (answer.status() == 0) {
            return result(Fate.UNKNOWN, "it was sent, and there is no answer: " + answer.why());
        }
        try {
            var found = answer.status() == OK ? done(step, answer, json) : otherwise(answer, json);
            return answer.twice() && found.fate() != Fate.DONE
                    ? result(Fate.UNKNOWN, "it was sent twice, and the second time: " + found.why()) : found;
        } catch (IOException | RuntimeException e) {
            return result(Fate.UNKNOWN, "the answer of status " + answer.status() + " can't be read: "
                    + e.getMessage());
        }
    }

    private static Result done(Step step, Answer answer, KvJson json) throws IOException {
        var errors = json.errors(answer.body());
        var now = json.versions(answer.body());
        var versions = new ArrayList<Long>();
        for (var change : step.changes()) {
            var version = change.kind() == Step.Kind.PUT ? now.get(change.key()) : (Long) change.version();
            if (version == null || !errors.isEmpty()) {
                throw new IOException(errors.isEmpty() ? "it does not name " + change.key()
                        : String.join("; ", errors));
            }
            versions.add(version);
        }
        return new Result(Fate.DONE, List.copyOf(versions), null);
    }

    private static Result otherwise(Answer answer, KvJson json) throws IOException {
        if (answer.status() == CONFLICT) {
            var errors = json.errors(answer.body());
            if (errors.isEmpty()) {
                throw new IOException("it names no error");
            }
            var why = String.join("; ", errors);
            return result(why.contains(NO_RIGHT) ? Fate.NOT_DONE : Fate.CONFLICT, why);
        }
        boolean not = REFUSED.contains(answer.status())
                || answer.status() == SERVER_ERROR && answer.why().contains(NO_LEADER);
        return result(not ? Fate.NOT_DONE : Fate.UNKNOWN, answer.why());
    }

    private static Result result(Fate fate, String why) {
        return new Result(fate, List.of(), why);
    }
}
