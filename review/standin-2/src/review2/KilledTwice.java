package review2;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import ryemast.drmaa.Contact;
import ryemast.drmaa.JobInfo;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;
import ryemast.wire.Words.Action;

/**
 * One submitter ends all jobs of the session, with one call of the project's library; its connection is cut
 * before the answer has come, and the network stays away for three seconds. Another program of the account
 * sees that they have ended, and hands in the next one. The first call then goes on by itself.
 */
final class KilledTwice {

    private static final String OLD = "/api/class-old";
    private static final String NEW = "/api/class-new";
    private static final long AWAY_MS = 3_000;
    /** How long a job works; a class's deadline is 20 s. */
    private static final long WORKS_MS = 7_000;

    private KilledTwice() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 2, KilledTwice::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        var batch = site.new Batch();
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        site.work.put(OLD, new Site.Work(WORKS_MS, false));
        site.work.put(NEW, new Site.Work(WORKS_MS, false));
        site.start("n1", site.port);
        var alice = batch.submitter("alice", "aspen-plains-sd");
        var office = batch.submitter("office", "aspen-plains-sd");
        var network = site.new Proxy(batch.listen);
        var failed = new AtomicReference<Exception>();
        try (var submitter = new Remote(Contact.of("ryemast://127.0.0.1:" + network.port()
                + "/spring-term?keys=" + alice), 30_000); var other = batch.remote(office)) {
            submitter.create("spring-term");
            var old = submit(site, submitter, "alice", OLD);
            Site.until("the old job to run", () -> site.runsOf(OLD) > 0);
            if (trouble) {
                network.cutAtNextAnswer();
            }
            var call = new Thread(() -> {
                try {
                    site.note("alice ends all jobs of the session, by one call");
                    long changed = submitter.control(null, Action.TERMINATE);
                    site.note("alice is told: " + changed + " changed");
                } catch (Exception e) {
                    failed.set(e);
                }
            });
            call.start();
            Site.until("the old job to have ended", () -> state(other, old).state().equals("failed"));
            site.note("the office sees job " + old + ": failed, " + state(other, old).reason());
            if (!trouble) {
                call.join();
            }
            var next = submit(site, other, "the office", NEW);
            if (trouble) {
                Thread.sleep(AWAY_MS);
                if (!network.isCut()) {
                    throw new AssertionError("the network was not cut");
                }
                network.mend();
            }
            Site.until("the new job to end", () -> other.waitAll(List.of(next), 0));
            call.join(40_000);
            if (failed.get() != null) {
                throw failed.get();
            }
            var end = state(other, next);
            site.note("the office's job " + next + ", handed in after all had been ended: " + end.state() + " "
                    + end.reason() + end.text());
            return end.state().equals("done");
        }
    }

    private static JobInfo state(Remote remote, String job) throws Exception {
        return remote.infos(List.of(job)).get(0);
    }

    private static String submit(Site site, Remote remote, String who, String target) throws Exception {
        var template = new JobTemplate();
        template.setRemoteCommand("build-pack");
        template.setArgs(List.of(target));
        var id = remote.submit(List.of(new Remote.Part(template, 1)), Remote.submissionId(), 1, 1, 0).ids()
                .get(0);
        site.note(who + " hands in " + target + ", and is told that it is taken as job " + id);
        return id;
    }
}
