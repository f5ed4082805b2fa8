package ryemast.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import ryemast.drmaa.AuthorizationException;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.InvalidAttributeValueException;
import ryemast.drmaa.InvalidContactStringException;
import ryemast.drmaa.InvalidJobException;
import ryemast.drmaa.JobInfo;
import ryemast.drmaa.NoActiveSessionException;
import ryemast.drmaa.Remote;

/** What a submitter's commands share: the contact, the session, a form for people and one for programs. */
abstract class BatchCall implements Callable<Integer> {

    @Option(names = "--contact", paramLabel = "CONTACT", description = {
        "ryemast://HOST:PORT/SESSION?keys=FOLDER; else the one that " + Contact.VARIABLE + " names."})
    private String contact;

    @Option(names = "--patience", paramLabel = "S", defaultValue = "10",
            description = "For how long it tries to reach the dispatcher (${DEFAULT-VALUE} s).")
    private long patience;

    @Option(names = "--json", description = "Prints JSON.")
    boolean json;

    @Spec
    CommandSpec spec;

    @Override
    public Integer call() {
        try {
            var where = Contact.of(contact);
            if (where.session().isEmpty()) {
                throw new InvalidContactStringException("contact string " + where + ": names no session");
            }
            try (var remote = new Remote(where, 1_000 * Math.max(0, patience))) {
                return work(remote, where);
            }
        } catch (DrmaaException e) {
            var err = spec.commandLine().getErr();
            err.println("ryemast: " + e.getMessage());
            err.flush();
            // A call that names what is not there is at fault itself.
            return e instanceof InvalidContactStringException || e instanceof InvalidAttributeValueException
                    || e instanceof InvalidJobException || e instanceof AuthorizationException
                    || e instanceof NoActiveSessionException ? 2 : 1;
        }
    }

    abstract int work(Remote remote, Contact where) throws DrmaaException;

    void say(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    void say(JsonElement what) {
        say(what.toString());
    }

    static JsonArray ids(Collection<String> ids) {
        var list = new JsonArray(ids.size());
        ids.forEach(list::add);
        return list;
    }

    static JsonObject counts(Map<String, Long> counts) {
        var one = new JsonObject();
        counts.forEach(one::addProperty);
        return one;
    }

    static JsonObject json(JobInfo job) {
        var one = new JsonObject();
        one.addProperty("id", job.jobId());
        one.addProperty("state", job.state());
        one.addProperty("class", job.jobClass());
        if (!job.name().isEmpty()) {
            one.addProperty("name", job.name());
        }
        if (!job.reason().isEmpty()) {
            one.addProperty("reason", job.reason());
        }
        if (!job.worker().isEmpty()) {
            one.addProperty("worker", job.worker());
        }
        if (job.result().length > 0) {
            one.addProperty("result", job.text());
        }
        if (job.turns() > 0) {
            one.addProperty("turns", job.turns());
            one.addProperty("failures", job.failures());
        }
        if (job.takenAt() != null) {
            one.addProperty("taken", job.takenAt().toString());
        }
        if (job.endedAt() != null) {
            one.addProperty("ended", job.endedAt().toString());
        }
        return one;
    }

    static String line(JobInfo job) {
        return String.format("%-16s %-8s %-16s %s", job.jobId(), job.state(), job.jobClass(),
                job.reason().isEmpty() ? job.result().length > 0 ? job.text() : job.name() : job.reason())
                        .stripTrailing();
    }
}
