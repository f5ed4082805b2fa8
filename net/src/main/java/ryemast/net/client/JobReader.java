package ryemast.net.client;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import ryemast.core.Clock;
import ryemast.core.Submission;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/** Reads a client's job from its headers; a message names the faulty one. */
public final class JobReader {

    /** The headers that a job is read from, in lower case. */
    static final Set<String> HEADERS =
            Set.of("x-txn", "x-lane", "x-org", "x-remaining-ms", "x-estimate", "x-labels");
    /** As names are remembered, a longer one would cost memory. */
    private static final int LONGEST_NAME = 128;
    private static final long LONGEST_MS = 24L * 3600 * 1000;

    private final List<String> lanes;
    private final List<String> orgs;

    /** The names that headers may hold, in the module's order. */
    public JobReader(List<String> lanes, List<String> orgs) {
        this.lanes = lanes;
        this.orgs = orgs;
    }

    /** {@code arrivedAt} is when the request's last byte came, on the loop's clock. */
    Submission read(HttpMessage request, long arrivedAt) throws HttpException {
        var head = request.head();
        var txn = need(request, "X-Txn");
        // Other letters would come back differently in a call-back, as that is UTF-8.
        if (txn.length() > LONGEST_NAME || txn.chars().anyMatch(c -> c >= 127)) {
            throw new HttpException(400, "header X-Txn: must be up to " + LONGEST_NAME + " ASCII characters");
        }
        int lane = index(lanes, need(request, "X-Lane"), "X-Lane");
        int org = orgs.isEmpty() ? 0 : index(orgs, need(request, "X-Org"), "X-Org");
        long left = whole(need(request, "X-Remaining-Ms"), "X-Remaining-Ms", LONGEST_MS);
        var estimate = once(request, "X-Estimate");
        long hint = estimate == null ? 0 : whole(estimate, "X-Estimate", Long.MAX_VALUE);
        double slots = 1;
        double memory = 0;
        var labels = once(request, "X-Labels");
        for (var each : labels == null || labels.isBlank() ? new String[0] : labels.split(",")) {
            var pair = each.strip().split("=", 2);
            switch (pair[0].strip()) {
                case "slots" -> slots = figure(pair);
                case "memory" -> memory = figure(pair);
                default -> { }
            }
        }
        if (slots <= 0) {
            throw new HttpException(400, "header X-Labels: slots must be above 0");
        }
        return new Submission(txn, lane, org, slots, memory, hint, arrivedAt + left * Clock.MICROS_PER_MS,
                head.second(), request.body());
    }

    private static String need(HttpMessage request, String name) throws HttpException {
        var value = once(request, name);
        if (value == null || value.isEmpty()) {
            throw new HttpException(400, "header " + name + " is missing");
        }
        return value;
    }

    /** Guards against a value that no client sent in this form: two of one name are an error. */
    private static String once(HttpMessage request, String name) throws HttpException {
        var value = request.head().header(name.toLowerCase(Locale.ROOT));
        if (value != null && value.contains(HttpHead.NEXT_VALUE)) {
            throw new HttpException(400, "header " + name + ": came more than once");
        }
        return value;
    }

    private static int index(List<String> names, String name, String header) throws HttpException {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new HttpException(400, "header " + header + ": unknown name");
        }
        return index;
    }

    private static long whole(String text, String header, long most) throws HttpException {
        if (!text.matches("[0-9]{1,18}")) {
            throw new HttpException(400, "header " + header + ": must be a whole number");
        }
        return Math.min(most, Long.parseLong(text));
    }

    private static double figure(String[] pair) throws HttpException {
        try {
            double value = Double.parseDouble(pair.length > 1 ? pair[1].strip() : "");
            if (value >= 0 && value < Double.MAX_VALUE) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Named below, as are figures out of range.
        }
        throw new HttpException(400, "header X-Labels: " + pair[0].strip() + " must be a number");
    }
}
