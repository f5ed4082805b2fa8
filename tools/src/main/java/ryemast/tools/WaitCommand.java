package ryemast.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobInfo;
import ryemast.drmaa.Remote;

/** {@code wait}: until jobs have ended. */
@Command(name = "wait",
        description = {"Waits until the jobs, or all of the session, have ended; with --any for the first.",
    "Ends with 0 if all that it waited for are done, 1 if one failed or the time was over."})
public final class WaitCommand extends BatchCall {

    @Parameters(paramLabel = "JOB", arity = "0..*",
            description = "Jobs, by their ids; none: all of the session.")
    private List<String> jobs = List.of();

    @Option(names = "--any",
            description = "The first one that has ended, which is handed to nobody else then.")
    private boolean any;

    @Option(names = "--timeout", paramLabel = "S", defaultValue = "-1",
            description = "For so long at most; -1: for ever.")
    private long timeout;

    @Option(names = "--reap", description = "Forgets the jobs then, which have been dealt with.")
    private boolean reap;

    @Override
    int work(Remote remote, Contact where) throws DrmaaException {
        long ms = timeout < 0 ? Long.MAX_VALUE : 1_000 * timeout;
        var wanted = jobs.isEmpty() ? null : jobs;
        if (any) {
            var info = remote.waitAny(wanted, ms);
            if (info == null) {
                return over();
            }
            say(info);
            if (reap) {
                remote.reap(List.of(info.jobId()));
            }
            return info.state().equals("done") ? 0 : 1;
        }
        if (!remote.waitAll(wanted, ms)) {
            return over();
        }
        boolean failed;
        if (wanted == null) {
            var counts = remote.page(-1, null).counts();
            failed = counts.get("failed") > 0;
            if (json) {
                say(counts(counts));
            } else {
                say(counts.get("done") + " done, " + counts.get("failed") + " failed");
            }
        } else {
            var infos = remote.infos(wanted);
            failed = infos.stream().anyMatch(each -> !each.state().equals("done"));
            if (json) {
                var all = new JsonArray();
                infos.forEach(each -> all.add(json(each)));
                say(all);
            } else {
                infos.forEach(each -> say(line(each)));
            }
        }
        if (reap) {
            remote.reap(wanted);
        }
        return failed ? 1 : 0;
    }

    private void say(JobInfo info) {
        if (json) {
            say(json(info));
        } else {
            say(line(info));
        }
    }

    private int over() {
        if (json) {
            var one = new JsonObject();
            one.addProperty("timed_out", true);
            say(one);
        } else {
            say("not ended within " + timeout + " s");
        }
        return 1;
    }
}
