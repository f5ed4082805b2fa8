package ryemast.lab.books;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Goal;
import ryemast.lab.scenario.Scenario.JobClass;

/**
 * How well a run served: worth answered in time over worth asked for, in the whole run, its worst window, its
 * worst class and its worst tenant, mixed by the goal's weights, less the prices of late failures and waste.
 *
 * <p>A job's worth is its class's times its work; over its tenant's share, only a part of that. It counts
 * once, over all its tries, from when its first try was due: in time, if a 200 was there within the class's
 * aim plus the stretch times its work, and before its deadline; later than that it earns its class's late
 * worth. A job that is still open when the books end is unserved.
 *
 * <p>A part that nothing was asked of (no tenants, a class without jobs) does not count; where no tenant has
 * jobs within its share, the whole run stands for the worst tenant. Without any job all figures are 0.
 *
 * @param service      the measure, from 0 to 1
 * @param worstWindow  the least over windows of the goal's length that begin a second apart; a shorter run is
 *                     one window
 * @param worstTenant  by jobs within their tenant's share only
 * @param lateFail     worth that was never served and whose aim had passed before its client's last word, as
 *                     a part of the worth asked for
 * @param waste        work done at boxes that served nobody, as a part of the work asked for
 * @param worthAsked   in seconds of work times worth
 */
public record ServiceMeasure(double service, double whole, double worstWindow, double worstClass,
        double worstTenant, double lateFail, double waste, double worthAsked, double worthInTime) {

    private static final long STEP = 1_000_000;
    private static final double SECOND = 1e6;

    /** A job as the measure sees it. */
    record Weighed(JobStory story, boolean withinShare, double worth, double earned, boolean inTime) {
        long askedAt() {
            return story.job().askedAt();
        }
    }

    public static ServiceMeasure of(Scenario scenario, History history) {
        return of(scenario, weigh(scenario, history));
    }

    static ServiceMeasure of(Scenario scenario, List<Weighed> jobs) {
        double asked = sum(jobs, job -> true, false);
        double inTime = sum(jobs, job -> true, true);
        double whole = share(inTime, asked);
        double worstWindow = worstWindow(jobs, scenario.goal().window(), whole);
        double worstClass = worst(jobs, job -> true, job -> job.jobClass(), scenario.classes().size(), whole);
        double worstTenant = worst(jobs, Weighed::withinShare, job -> job.tenant(), scenario.tenants().size(),
                whole);
        double lateFail = share(lateFailed(scenario, jobs), asked);
        double waste = waste(jobs);
        Goal goal = scenario.goal();
        double weights = goal.whole() + goal.worstWindow() + goal.worstClass() + goal.worstTenant();
        double mixed = weights <= 0 ? whole : (goal.whole() * whole + goal.worstWindow() * worstWindow
                + goal.worstClass() * worstClass + goal.worstTenant() * worstTenant) / weights;
        double service = Math.max(0, mixed - goal.lateFail() * lateFail - goal.waste() * waste);
        return new ServiceMeasure(service, whole, worstWindow, worstClass, worstTenant, lateFail, waste,
                asked / SECOND, inTime / SECOND);
    }

    /**
     * Worth answered in time over worth asked for, by when jobs were due, in stretches of so many
     * microseconds from the first job on; NaN where nothing was asked.
     */
    public static double[] overTime(Scenario scenario, History history, long width) {
        List<Weighed> jobs = weigh(scenario, history);
        if (jobs.isEmpty()) {
            return new double[0];
        }
        long begin = jobs.get(0).askedAt();
        int stretches = (int) ((jobs.get(jobs.size() - 1).askedAt() - begin) / width) + 1;
        double[] asked = new double[stretches];
        double[] earned = new double[stretches];
        for (Weighed job : jobs) {
            int at = (int) ((job.askedAt() - begin) / width);
            asked[at] += job.worth();
            earned[at] += job.earned();
        }
        double[] shares = new double[stretches];
        for (int i = 0; i < stretches; i++) {
            shares[i] = asked[i] > 0 ? earned[i] / asked[i] : Double.NaN;
        }
        return shares;
    }

    /** All jobs in the order in which they were due. */
    static List<Weighed> weigh(Scenario scenario, History history) {
        List<JobStory> inOrder = new ArrayList<>(history.jobs());
        inOrder.sort(Comparator.comparingLong((JobStory story) -> story.job().askedAt())
                .thenComparingLong(story -> story.job().number()));
        Shares shares = new Shares(scenario);
        List<Weighed> weighed = new ArrayList<>(inOrder.size());
        for (JobStory story : inOrder) {
            Job job = story.job();
            JobClass jobClass = scenario.classes().get(job.jobClass());
            boolean within = shares.within(job);
            double worth = jobClass.worth() * job.work() * (within ? 1 : scenario.clients().overShareWorth());
            long servedAt = story.servedAt();
            boolean inTime = servedAt <= aimAt(jobClass, job);
            double earned = inTime ? worth : servedAt <= job.deadlineAt() ? worth * jobClass.lateWorth() : 0;
            weighed.add(new Weighed(story, within, worth, earned, inTime));
        }
        return weighed;
    }

    /** Until when an answer is in time. */
    private static long aimAt(JobClass jobClass, Job job) {
        return Math.min(job.deadlineAt(),
                job.askedAt() + jobClass.aim() + Math.round(jobClass.stretch() * job.work()));
    }

    private static double worstWindow(List<Weighed> jobs, long length, double whole) {
        if (jobs.isEmpty()) {
            return 0;
        }
        double worst = Double.MAX_VALUE;
        double asked = 0;
        double earned = 0;
        int first = 0;
        int next = 0;
        long last = jobs.get(jobs.size() - 1).askedAt();
        long from = jobs.get(0).askedAt();
        do {
            for (; next < jobs.size() && jobs.get(next).askedAt() < from + length; next++) {
                asked += jobs.get(next).worth();
                earned += jobs.get(next).earned();
            }
            for (; first < next && jobs.get(first).askedAt() < from; first++) {
                asked -= jobs.get(first).worth();
                earned -= jobs.get(first).earned();
            }
            if (first < next && asked > 0) {
                worst = Math.min(worst, Math.max(0, earned) / asked);
            }
            from += STEP;
        } while (from + length <= last + 1);
        return worst == Double.MAX_VALUE ? whole : worst;
    }

    private static double worst(List<Weighed> jobs, Predicate<Weighed> counted, ToIntFunction<Job> group,
            int groups, double whole) {
        double[] asked = new double[groups];
        double[] earned = new double[groups];
        for (Weighed job : jobs) {
            int of = group.applyAsInt(job.story().job());
            if (of >= 0 && of < groups && counted.test(job)) {
                asked[of] += job.worth();
                earned[of] += job.earned();
            }
        }
        double worst = Double.MAX_VALUE;
        for (int i = 0; i < groups; i++) {
            worst = asked[i] > 0 ? Math.min(worst, earned[i] / asked[i]) : worst;
        }
        return worst == Double.MAX_VALUE ? whole : worst;
    }

    private static double lateFailed(Scenario scenario, List<Weighed> jobs) {
        double worth = 0;
        for (Weighed weighed : jobs) {
            JobStory story = weighed.story();
            JobClass jobClass = scenario.classes().get(story.job().jobClass());
            if (story.servedAt() == Attempt.NEVER && story.closedAt() > aimAt(jobClass, story.job())) {
                worth += weighed.worth();
            }
        }
        return worth;
    }

    private static double waste(List<Weighed> jobs) {
        double asked = 0;
        double wasted = 0;
        for (Weighed weighed : jobs) {
            asked += weighed.story().job().work();
            boolean served = false;
            for (TryStory story : weighed.story().tries()) {
                Attempt servedBy = served ? null : story.servedBy();
                served |= servedBy != null;
                for (Attempt attempt : story.attempts()) {
                    wasted += attempt == servedBy ? 0 : attempt.work();
                }
            }
        }
        return share(wasted, asked);
    }

    private static double sum(List<Weighed> jobs, Predicate<Weighed> counted, boolean earned) {
        return jobs.stream().filter(counted).mapToDouble(job -> earned ? job.earned() : job.worth()).sum();
    }

    private static double share(double part, double all) {
        return all > 0 ? part / all : 0;
    }
}
