package review2;

import java.util.List;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobInfo;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;

/**
 * alice hands in a job and keeps its id; another program of the account fetches and reaps what has ended. The
 * dispatcher is restarted in order. bob hands in a job of his own. alice then asks for hers by its id, and
 * bob for his.
 */
final class ForeignJob {

    private ForeignJob() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 2, ForeignJob::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        var batch = site.new Batch();
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        var program = site.start("n1", site.port);
        var alice = batch.submitter("alice", "aspen-plains-sd");
        var bob = batch.submitter("bob", "aspen-plains-sd");
        var office = batch.submitter("office", "aspen-plains-sd");
        String hers;
        try (var submitter = batch.remote(alice); var collector = batch.remote(office)) {
            submitter.create("spring-term");
            hers = submit(site, submitter, "alice", "/api/pupil-of-alice");
            var fetched = collector.waitAny(null, 20_000);
            site.note("the office fetches job " + fetched.jobId() + ": " + fetched.state() + " "
                    + fetched.text() + ", and reaps it");
            collector.reap(List.of(fetched.jobId()));
        }
        if (trouble) {
            site.signal(program, "TERM");
            program.waitFor();
            site.start("n1", site.port);
        }
        try (var one = batch.remote(alice); var other = batch.remote(bob)) {
            var his = submit(site, other, "bob", "/api/pupil-of-bob");
            if (!other.waitAll(List.of(his), 20_000)) {
                throw new AssertionError("bob's job did not end");
            }
            var toAlice = fetch(site, one, "alice", hers);
            var toBob = fetch(site, other, "bob", his);
            boolean foreign = toAlice != null && toAlice.text().contains("bob");
            boolean got = toBob != null && toBob.text().contains("bob");
            site.note("alice was given bob's result: " + foreign + "; bob has got his: " + got);
            if (!foreign && !got) {
                throw new AssertionError("bob's result came to nobody in time");
            }
            return !foreign;
        }
    }

    /** As Session.wait of DRMAA does: what has ended is handed out once, and is then forgotten. */
    private static JobInfo fetch(Site site, Remote remote, String who, String job) throws DrmaaException {
        try {
            var info = remote.waitAny(List.of(job), 5_000);
            site.note(who + " waits for job " + job + ", and is given: "
                    + (info == null ? "nothing in time" : info.state() + " " + info.text()));
            if (info != null) {
                remote.reap(List.of(info.jobId()));
            }
            return info;
        } catch (DrmaaException e) {
            site.note(who + " waits for job " + job + ", and is told: " + e.getMessage());
            return null;
        }
    }

    private static String submit(Site site, Remote remote, String who, String target) throws DrmaaException {
        var template = new JobTemplate();
        template.setRemoteCommand("award-sticker");
        template.setArgs(List.of(target));
        var id = remote.submit(List.of(new Remote.Part(template, 1)), Remote.submissionId(), 1, 1, 0).ids()
                .get(0);
        site.note(who + " hands in " + target + ": job " + id);
        return id;
    }
}
