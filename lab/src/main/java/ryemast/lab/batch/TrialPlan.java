package ryemast.lab.batch;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.ScenarioBuilder;

/**
 * A term's worth of jobs and what goes wrong meanwhile.
 *
 * @param jobs      of class build-pack, which may be repeated
 * @param stickers  of class award-sticker, which must run once
 * @param kills     how often the dispatcher is killed outright
 * @param cuts      how often a submitter's connection is cut
 * @param crashes   how often a box crashes
 * @param arrays    into how many submissions they are divided, each with jobs of both classes
 * @param workMs    what a job takes on one core
 * @param rate      clients' own jobs a second beside
 * @param careless  the dispatcher is told to leave intents unwritten: the trial must fail
 * @param logs      where logs go, or null
 */
public record TrialPlan(int jobs, int stickers, int kills, int cuts, int crashes, int arrays, int boxes,
        double workMs,
        double rate, long seed, boolean careless, Path logs) {

    private static final long SECOND = 1_000_000;
    private static final long DAY = 86_400 * SECOND;
    private static final long CRASH = 1_500_000;
    private static final long EVERY = 2 * SECOND;

    int all() {
        return jobs + stickers;
    }

    /** Clients' own jobs come until the trial is over. */
    Scenario scenario() {
        var plain = ScenarioBuilder.uniform(boxes, 4, 1, 32).rate(rate).length(DAY).seed(seed)
                .name("batch-trial")
                .title("a term's batch").classes(List.of(
                        jobClass(BatchSite.PACK, Scenario.Effect.FREE, 1),
                        jobClass(BatchSite.STICKER, Scenario.Effect.SINGLE_SHOT, 0)))
                .tenants(List.of(new Scenario.Tenant(BatchSite.ACCOUNT, 1, 1, 1_000_000)))
                .dispatchers(new Scenario.Dispatchers(1, 1, 192, 1_024, SECOND / 5))
                .faults(faults());
        return plain.build();
    }

    private Scenario.JobClass jobClass(String name, Scenario.Effect effect, double share) {
        return new Scenario.JobClass(name, share, workMs * 1_000, Scenario.Spread.FIXED, 0, SECOND, 2,
                5 * SECOND, 1, 0,
                effect, 1);
    }

    /** At drawn moments of the first minutes, drawn boxes crash and are back soon, cold. */
    private List<Fault> faults() {
        var random = new SplittableRandom(seed);
        var found = new ArrayList<Fault>();
        for (int i = 0; i < crashes; i++) {
            long at = SECOND + i * EVERY + random.nextLong(EVERY / 2);
            found.add(new Fault(FaultKind.CRASH, at, CRASH, List.of(random.nextInt(boxes)), -1, 1, 1, 1, 0));
        }
        return found;
    }
}
