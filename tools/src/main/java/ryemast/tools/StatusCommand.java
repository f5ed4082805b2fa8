package ryemast.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobInfo;
import ryemast.drmaa.Remote;

/** {@code status}: what has become of jobs. */
@Command(name = "status", description = {"Tells how many jobs of the session are in which state;",
    "of the jobs named all that is known, results included; with --list one line for each job."})
public final class StatusCommand extends BatchCall {

    @Parameters(paramLabel = "JOB", arity = "0..*", description = "Jobs, by their ids.")
    private List<String> jobs = List.of();

    @Option(names = "--list", description = "A line for each job.")
    private boolean list;

    @Option(names = "--state", paramLabel = "STATE",
            description = "With --list: only those that are queued, held, running, done or failed.")
    private String state;

    @Option(names = "--sessions", description = "Tells of all sessions of the account.")
    private boolean sessions;

    @Override
    int work(Remote remote, Contact where) throws DrmaaException {
        if (sessions) {
            var all = remote.sessions();
            var one = new JsonObject();
            all.forEach((name, counts) -> one.add(name, counts(counts)));
            if (json) {
                say(one);
            } else {
                all.forEach((name, counts) -> say(String.format("%-24s %s", name, words(counts))));
            }
            return 0;
        }
        if (!jobs.isEmpty()) {
            tell(remote.infos(jobs));
            return 0;
        }
        var page = remote.page(-1, list ? state : null);
        if (!list) {
            if (json) {
                say(counts(page.counts()));
            } else {
                say(words(page.counts()));
            }
            return 0;
        }
        var found = new ArrayList<>(page.jobs());
        while (page.next() >= 0) {
            if (!json) {
                tell(found);
                found.clear();
            }
            page = remote.page(page.next(), state);
            found.addAll(page.jobs());
        }
        tell(found);
        return 0;
    }

    private static String words(java.util.Map<String, Long> counts) {
        return counts.entrySet().stream().map(each -> each.getValue() + " " + each.getKey())
                .collect(java.util.stream.Collectors.joining(", "));
    }

    private void tell(List<JobInfo> infos) {
        if (json) {
            var all = new JsonArray();
            infos.forEach(each -> all.add(json(each)));
            say(all);
        } else {
            infos.forEach(each -> say(line(each)));
        }
    }
}
