package ryemast.lab.model.theory;

import java.util.List;
import java.util.Locale;
import ryemast.config.Tuning;
import ryemast.lab.books.Tries;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.CancelReach;
import ryemast.lab.scenario.Scenario.Spread;
import ryemast.lab.scenario.ScenarioBuilder;
import ryemast.lab.world.Chance;

/**
 * A queue that theory knows: one box with so many cores, room for any number to wait, one dispatcher that
 * sends at once, and jobs that come as a Poisson process. All goes the whole way, from client to dispatcher,
 * box, call-back and answer; nothing on it takes time but the work.
 */
public record Queue(int cores, double load, Spread spread, double variation) {

    /** Long beside a microsecond, the model's least time, and short beside a wheel's tick of a second. */
    private static final double WORK = 10_000;
    private static final long DEADLINE = 1_000_000_000;
    private static final long TICK = 1_000_000;
    private static final int ROOM = 1_000_000;
    private static final double SECOND = 1e6;

    /** One replication's means; wait in units of the mean service. */
    public record Seen(double meanWait, double shareThatWaits, long jobs) {
    }

    public String name() {
        return spread == Spread.EXPONENTIAL ? "M/M/" + cores
                : String.format(Locale.ROOT, "M/G/%d %s cv %.1f", cores,
                        spread.name().toLowerCase(Locale.ROOT), variation);
    }

    /** The mean wait by the formula, in units of the mean service. */
    public double expectedWait() {
        return spread == Spread.EXPONENTIAL ? Formulas.waitOfMmc(cores, load, 1)
                : Formulas.waitOfMg1(load, 1, variation);
    }

    /** The part of jobs that waits; with one core it is the load, whatever the work. */
    public double expectedShare() {
        return spread == Spread.EXPONENTIAL ? Formulas.erlangC(cores, load) : load;
    }

    /** Runs about so many jobs; the first tenth is not counted. */
    public Seen run(long seed, long jobs) {
        var tries = new Tries();
        var waits = new Waits(tries, jobs / 10);
        new ModelSite(scenario(seed, jobs), Policies.named("random"), Tuning.DEFAULT, tries, waits)
                .run(() -> false);
        if (waits.notServed() > 0) {
            throw new IllegalStateException(waits.notServed() + " of the jobs of " + name()
                    + " were not served: it is not the queue that it should be");
        }
        return new Seen(waits.mean() / WORK, waits.shareThatWaits(), waits.jobs());
    }

    private Scenario scenario(long seed, long jobs) {
        var plain = ScenarioBuilder.uniform(1, cores, 1, ROOM).build();
        var b = plain.boxes().get(0);
        var box = new BoxSpec(0, b.id(), 0, 0, 0, cores, 1, cores, ROOM, 1, 0, b.warmBy(), false, 0,
                CancelReach.NONE, false, false, 1, ROOM, b.idleLimit(), 0, 0);
        var work = new Scenario.JobClass("job", 1, WORK, spread, variation, DEADLINE, 0, DEADLINE, 1, 1,
                Scenario.Effect.FREE, 1);
        double rate = cores * load / WORK * SECOND;
        long own = new Chance(seed).stream(name() + " at " + load, 0).nextLong();
        return ScenarioBuilder.from(plain).name("queue").seed(own)
                .boxes(List.of(box)).classes(List.of(work)).resolution(TICK)
                .length(Math.round(jobs / rate * SECOND))
                .load(new Scenario.Load(rate, 0, Scenario.Shape.STEADY, 0, 1, Scenario.Hints.NONE, 0, 0))
                .clients(new Scenario.Clients(0, Scenario.Backoff.NONE, 0, 0, 0, false, 1))
                .dispatchers(new Scenario.Dispatchers(1, 0, 192, ROOM, 0))
                .telling(new Scenario.Telling(false, 0, 1, 1)).build();
    }
}
