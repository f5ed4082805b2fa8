package ryemast.lab.site;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.books.Job;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.JobClass;
import ryemast.lab.world.Chance;

/**
 * Makes the jobs of a run: class, tenant, work and hint, each job from streams of its own, so that the job of
 * a number is the same whatever was drawn before it and whatever the dispatchers do.
 */
final class Jobs {

    private final Scenario scenario;
    private final Chance chance;
    private final Heavy spells;
    private final List<ToDoubleFunction<UniformRandomProvider>> works = new ArrayList<>();

    Jobs(Scenario scenario, Chance chance, Heavy spells) {
        this.scenario = scenario;
        this.chance = chance;
        this.spells = spells;
        scenario.classes().forEach(one -> works.add(work(one)));
    }

    /** {@code now}: when it is made, for the spells; it counts from {@code askedAt}. */
    Job make(long number, long askedAt, long now) {
        if (scenario.load().replay() != null) {
            return again(number, askedAt, now);
        }
        var draw = chance.stream("job", number);
        int jobClass = pick(scenario.classes(), JobClass::share, draw);
        int tenant = Math.max(0, pick(scenario.tenants(), Scenario.Tenant::usage, draw));
        var kind = scenario.classes().get(jobClass);
        double plain = Math.max(1, works.get(jobClass).applyAsDouble(draw));
        var spell = chance.stream("job spells", number);
        double work = plain * spells.factor(jobClass, now, spell);
        boolean poisoned = spells.poisoned(jobClass, now, spell);
        return new Job(number, jobClass, tenant, work, kind.slots(), hint(plain, draw), askedAt,
                askedAt + kind.deadline(), poisoned);
    }

    /** As it was recorded; spells of the timetable come on top of what the recording had. */
    private Job again(long number, long askedAt, long now) {
        var job = scenario.load().replay().jobs().get((int) number);
        var kind = scenario.classes().get(job.jobClass());
        var spell = chance.stream("job spells", number);
        double work = job.work() * spells.factor(job.jobClass(), now, spell);
        boolean poisoned = spells.poisoned(job.jobClass(), now, spell) || job.poisoned();
        return new Job(number, job.jobClass(), job.tenant(), Math.max(1, work), kind.slots(), job.hint(),
                askedAt,
                askedAt + kind.deadline(), poisoned);
    }

    /** Nobody knows beforehand that a job will be heavy, so a hint speaks of the plain work. */
    private long hint(double plain, UniformRandomProvider draw) {
        return switch (scenario.load().hints()) {
            case NONE -> 0;
            case EXACT -> Math.round(plain);
            case ROUGH -> {
                double gaussian = ZigguratSampler.NormalizedGaussian.of(draw).sample();
                double off = scenario.load().hintSigma() * gaussian;
                yield Math.max(1, Math.round(plain * Math.exp(off)));
            }
        };
    }

    private static <T> int pick(List<T> choices, ToDoubleFunction<T> weight, UniformRandomProvider draw) {
        double left = draw.nextDouble() * choices.stream().mapToDouble(weight).sum();
        for (int i = 0; i < choices.size(); i++) {
            left -= weight.applyAsDouble(choices.get(i));
            if (left < 0) {
                return i;
            }
        }
        return choices.size() - 1;
    }

    /** Work of a class, with the mean and the coefficient of variation that it states. */
    static ToDoubleFunction<UniformRandomProvider> work(JobClass kind) {
        double mean = kind.meanWork();
        double variation = kind.variation();
        if (kind.spread() == Scenario.Spread.EXPONENTIAL) {
            return draw -> ZigguratSampler.Exponential.of(draw, mean).sample();
        }
        if (kind.spread() == Scenario.Spread.FIXED || variation == 0) {
            return draw -> mean;
        }
        SharedStateContinuousSampler sampler;
        var unused = new Chance(0).stream("unused", 0);
        if (kind.spread() == Scenario.Spread.LOGNORMAL) {
            double variance = Math.log1p(variation * variation);
            sampler = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(unused),
                    Math.log(mean) - variance / 2, Math.sqrt(variance));
        } else {
            // Pareto's first kind: variation² = 1 / (shape (shape - 2)), mean = shape scale / (shape - 1).
            double shape = 1 + Math.sqrt(1 + 1 / (variation * variation));
            sampler = InverseTransformParetoSampler.of(unused, mean * (shape - 1) / shape, shape);
        }
        return draw -> sampler.withUniformRandomProvider(draw).sample();
    }
}
