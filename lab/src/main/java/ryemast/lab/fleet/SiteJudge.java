package ryemast.lab.fleet;

import ryemast.lab.books.Judge;
import ryemast.lab.books.JobStory;
import ryemast.lab.books.Rule;
import ryemast.lab.books.TryStory.Outcome;

/**
 * The site's own rules (no effect twice, one answer, nothing to what drains, cold boxes, no strangers, no
 * process that ends by itself), and what became of the clients' jobs. Breaches of rules that are about time
 * are in doubt where the machine let the process or the emulator wait.
 */
public final class SiteJudge implements FleetJudge {

    @Override
    public void judge(FleetBooks books, Findings findings) {
        for (var each : Judge.breaches(books.trial().scenario(), books.history())) {
            if (isTimed(each.rule()) && books.waits().muchAbout(each.dispatcher(), each.at())) {
                findings.doubtful(each.rule().key(), each.at(), each.what());
            } else {
                findings.breach(each.rule().key(), each.at(), each.what());
            }
        }
        findings.count("jobs_served", count(books, Outcome.SERVED));
        findings.count("jobs_refused", count(books, Outcome.REFUSED));
        findings.count("jobs_failed", count(books, Outcome.FAILED) + count(books, Outcome.UNANSWERED));
    }

    /** Whether the machine can break it by letting a process wait. */
    public static boolean isTimed(Rule rule) {
        return rule == Rule.ONE_ANSWER || rule == Rule.DRAIN || rule == Rule.COLD;
    }

    private static long count(FleetBooks books, Outcome outcome) {
        return books.history().jobs().stream().map(JobStory::outcome).filter(outcome::equals).count();
    }
}
