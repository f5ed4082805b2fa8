package review2;

import java.time.Instant;
import java.util.List;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;

/**
 * A job of one account is taken and waits; the dispatcher ends in order and starts with settings that have
 * that account no more. By the page its jobs wait, and the log says so.
 */
final class LostAccount {

    private static final String TARGET = "/api/class-12";
    private static final long WAITS_S = 10;

    private LostAccount() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 2, LostAccount::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        var batch = site.new Batch();
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        var program = site.start("n1", site.port);
        var keys = batch.submitter("bob", "coulee-libraries");
        try (var remote = batch.remote(keys)) {
            remote.create("spring-term");
            var template = new JobTemplate();
            template.setRemoteCommand("award-sticker");
            template.setArgs(List.of(TARGET));
            // For a time after the restart, as a term's jobs are.
            template.setStartTime(Instant.now().plusSeconds(15));
            var taken = remote.submit(List.of(new Remote.Part(template, 1)), Remote.submissionId(), 1, 1, 0);
            site.note("bob of coulee-libraries: job " + taken.ids() + " is taken, to start in 15 s");
        }
        if (trouble) {
            site.settings(Site.smallSite("aspen-plains-sd"));
        }
        site.signal(program, "TERM");
        program.waitFor();
        site.start("n1", site.port);
        if (trouble) {
            site.note("the settings have no account coulee-libraries any more");
            Thread.sleep((15 + WAITS_S) * 1_000);
            long runs = site.runsOf(TARGET);
            site.note("the job of the account that is gone has run " + runs + " times");
            return runs == 0;
        }
        Site.until("the job to run, as its account is there", 15 + WAITS_S, () -> site.runsOf(TARGET) == 1);
        return true;
    }
}
