package review2;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import ryemast.drmaa.Contact;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;

/**
 * One submitter hands in a job that must run once, with one call of the project's library; its connection is
 * cut before the answer has come, and the network stays away for three seconds. Another program of the
 * account fetches what has ended in the session, as it always does. The first call then goes on by itself.
 */
final class TakenTwice {

    private static final String TARGET = "/api/sticker-7";
    private static final long AWAY_MS = 3_000;

    private TakenTwice() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 2, TakenTwice::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        var batch = site.new Batch();
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        site.start("n1", site.port);
        var alice = batch.submitter("alice", "aspen-plains-sd");
        var office = batch.submitter("office", "aspen-plains-sd");
        var network = site.new Proxy(batch.listen);
        var taken = new AtomicReference<Remote.Taken>();
        var failed = new AtomicReference<Exception>();
        try (var submitter = new Remote(Contact.of("ryemast://127.0.0.1:" + network.port()
                + "/spring-term?keys=" + alice), 30_000);
                var collector = batch.remote(office)) {
            submitter.create("spring-term");
            if (trouble) {
                network.cutAtNextAnswer();
            }
            var call = new Thread(() -> {
                try {
                    var template = new JobTemplate();
                    template.setRemoteCommand("award-sticker");
                    template.setArgs(List.of(TARGET));
                    site.note("alice submits one job, submission term-0001");
                    taken.set(submitter.submit(List.of(new Remote.Part(template, 1)), "term-0001", 1, 1, 0));
                    site.note("alice is told: taken as " + taken.get().ids());
                } catch (Exception e) {
                    failed.set(e);
                }
            });
            call.start();
            Site.until("the job to run", () -> site.runsOf(TARGET) > 0);
            var job = collector.waitAny(null, 10_000);
            if (job == null) {
                throw new AssertionError("the collector got nothing");
            }
            site.note("the office fetches job " + job.jobId() + ": " + job.state() + " " + job.reason()
                    + job.text());
            collector.reap(List.of(job.jobId()));
            site.note("the office has reaped job " + job.jobId());
            if (trouble) {
                if (!network.isCut()) {
                    throw new AssertionError("the network was not cut");
                }
                Thread.sleep(AWAY_MS);
                network.mend();
            }
            call.join(40_000);
            if (failed.get() != null) {
                site.note("alice is told: " + failed.get());
            }
            // Whatever came of the call, a second run would begin by now.
            Thread.sleep(3_000);
        }
        long runs = site.runsOf(TARGET);
        site.note("the job handed in once, which must run once, has run " + runs + " times");
        return runs <= 1;
    }
}
