package review2;

import java.util.List;
import java.util.Map;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;

/**
 * A job that has failed and one that is done; then the dispatcher is killed and started again. What the
 * session says of its jobs must be the same as before.
 */
final class FailedAfterRestart {

    private FailedAfterRestart() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 2, FailedAfterRestart::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        var batch = site.new Batch();
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        site.work.put("/api/sticker-2", new Site.Work(50, true));
        var program = site.start("n1", site.port);
        var keys = batch.submitter("alice", "aspen-plains-sd");
        Map<String, Long> before;
        Map<String, Long> after;
        try (var remote = batch.remote(keys)) {
            remote.create("spring-term");
            var done = submit(site, remote, "/api/sticker-1");
            var failed = submit(site, remote, "/api/sticker-2");
            if (!remote.waitAll(null, 30_000)) {
                throw new AssertionError("the jobs did not end");
            }
            before = tell(site, remote, done, failed);
            if (before.get("done") != 1 || before.get("failed") != 1) {
                throw new AssertionError("not as it should be before the restart: " + before);
            }
            if (trouble) {
                site.signal(program, "KILL");
                program.waitFor();
                site.start("n1", site.port);
            }
            after = tell(site, remote, done, failed);
        }
        return after.equals(before);
    }

    private static String submit(Site site, Remote remote, String target) throws Exception {
        var template = new JobTemplate();
        template.setRemoteCommand("award-sticker");
        template.setArgs(List.of(target));
        var id = remote.submit(List.of(new Remote.Part(template, 1)), Remote.submissionId(), 1, 1, 0).ids()
                .get(0);
        site.note("submitted " + target + ": job " + id);
        return id;
    }

    /** As ./ryemast status and ./ryemast wait ask. */
    private static Map<String, Long> tell(Site site, Remote remote, String... jobs) throws Exception {
        var counts = remote.counts();
        site.note("the session's jobs by state: " + counts);
        for (var each : remote.infos(List.of(jobs))) {
            site.note("job " + each.jobId() + ": " + each.state() + " " + each.reason() + each.text());
        }
        return counts;
    }
}
