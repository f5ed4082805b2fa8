package ryemast.lab.books;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.Reply;
import ryemast.lab.books.RunResult.Group;
import ryemast.lab.books.RunResult.LatencyMs;
import ryemast.lab.books.ServiceMeasure.Weighed;
import ryemast.lab.books.TryStory.Outcome;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Fault;

/**
 * Makes a run's result of its history.
 *
 * <p>A run counts unless the emulator was late. Its own lateness is in every latency, so 99.9% of its steps
 * must be on time to {@link #USUAL}, a fifteenth of the shortest aim of the sites at hand, less than two
 * runs differ by anyway. A single step may be later, as in a pause of the virtual machine; but one later than
 * {@link #ONCE}, for which dispatchers wait when they connect, makes boxes look unreachable that are not. And
 * where a rule was broken, no step may be later than the 50 ms by which the rules' limits are longer: the
 * breach may be the emulator's.
 */
final class Reckoning {

    static final long USUAL = 10_000;
    static final long ONCE = 250_000;

    private static final long LONGEST = 3_600_000_000L;
    private static final double MILLI = 1e3;
    private static final double SECOND = 1e6;
    private static final double ALL_BUT_A_THOUSANDTH = 99.9;

    private final Scenario scenario;
    private final History history;
    private final List<DispatcherStats> stats;
    private final List<Weighed> jobs;
    private final List<TryStory> tries;

    Reckoning(Scenario scenario, History history, List<DispatcherStats> stats) {
        this.scenario = scenario;
        this.history = history;
        this.stats = stats;
        jobs = ServiceMeasure.weigh(scenario, history);
        tries = history.jobs().stream().flatMap(job -> job.tries().stream()).toList();
    }

    RunResult result(boolean interrupted, String note) {
        Verdict verdict = Judge.judge(scenario, history);
        ServiceMeasure service = ServiceMeasure.of(scenario, jobs);
        List<String> doubts = doubts(verdict);
        Group all = group(job -> true);
        RunResult.Outcomes ofTries = outcomes(tries.stream().map(TryStory::outcome).toList());
        RunResult.Outcomes ofJobs = outcomes(jobs.stream().map(job -> job.story().outcome()).toList());
        return new RunResult(scenario.name(), scenario.title(), scenario.seed(), doubts.isEmpty(), doubts,
                interrupted, note, (history.endedAt() - history.beganAt()) / SECOND, all.asked(),
                all.served(), all.refused(), all.failed(), all.left(), ofJobs.unanswered(), ofTries,
                service.service(), service, verdict.broken(), brokenBy(verdict), breaches(verdict),
                doubleRuns(verdict), all.latencyMs(),
                cpuPerJob(), memory(), lateMs(ALL_BUT_A_THOUSANDTH), lateMs(100),
                all.asked() == 0 ? 0 : (double) attempts() / all.asked(), secondCopies(), byClass(),
                byTenant(), byBox(), windows(), faults(), dispatchers());
    }

    private List<String> doubts(Verdict verdict) {
        List<String> doubts = new ArrayList<>();
        double usual = lateMs(ALL_BUT_A_THOUSANDTH);
        double most = lateMs(100);
        if (usual > USUAL / MILLI) {
            doubts.add(String.format(Locale.ROOT, "the emulator was often late: one step in a thousand by "
                    + "more than %.1f ms, and %.0f ms is the limit", usual, USUAL / MILLI));
        }
        if (most > ONCE / MILLI) {
            doubts.add("the emulator stood still once for %.0f ms, and %.0f ms is the limit"
                    .formatted(most, ONCE / MILLI));
        } else if (verdict.broken() > 0 && most > Rule.SLACK / MILLI) {
            doubts.add(("a rule was broken, but the emulator was once late by %.0f ms; from %.0f ms on that "
                    + "may be the cause").formatted(most, Rule.SLACK / MILLI));
        }
        return List.copyOf(doubts);
    }

    private double lateMs(double percentile) {
        Histogram lateness = history.lateness();
        return lateness.getTotalCount() == 0 ? 0 : lateness.getValueAtPercentile(percentile) / MILLI;
    }

    private static RunResult.Outcomes outcomes(List<Outcome> outcomes) {
        Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
        outcomes.forEach(outcome -> counts.merge(outcome, 1L, Long::sum));
        long unanswered = counts.getOrDefault(Outcome.UNANSWERED, 0L);
        return new RunResult.Outcomes(outcomes.size(), counts.getOrDefault(Outcome.SERVED, 0L),
                counts.getOrDefault(Outcome.REFUSED, 0L),
                counts.getOrDefault(Outcome.FAILED, 0L) + unanswered,
                counts.getOrDefault(Outcome.LEFT, 0L), unanswered);
    }

    private Group group(Predicate<Weighed> member) {
        List<Weighed> members = jobs.stream().filter(member).toList();
        RunResult.Outcomes counts = outcomes(members.stream().map(job -> job.story().outcome()).toList());
        long overShare = members.stream().filter(job -> !job.withinShare()).count();
        return new Group(counts.asked(), counts.served(), counts.refused(), counts.failed(), counts.left(),
                overShare, inTime(members), latency(members));
    }

    private static Double inTime(List<Weighed> members) {
        double worth = members.stream().mapToDouble(Weighed::worth).sum();
        return worth > 0 ? members.stream().mapToDouble(Weighed::earned).sum() / worth : null;
    }

    private static LatencyMs latency(List<Weighed> members) {
        Histogram histogram = new Histogram(LONGEST, 3);
        for (Weighed job : members) {
            if (job.story().servedAt() != Attempt.NEVER) {
                long took = job.story().servedAt() - job.askedAt();
                histogram.recordValue(Math.max(0, Math.min(LONGEST, took)));
            }
        }
        if (histogram.getTotalCount() == 0) {
            return new LatencyMs(null, null, null);
        }
        return new LatencyMs(histogram.getValueAtPercentile(50) / MILLI,
                histogram.getValueAtPercentile(99) / MILLI,
                histogram.getValueAtPercentile(ALL_BUT_A_THOUSANDTH) / MILLI);
    }

    private Map<String, Group> byClass() {
        Map<String, Group> groups = new LinkedHashMap<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            int number = i;
            groups.put(scenario.classes().get(i).name(),
                    group(job -> job.story().job().jobClass() == number));
        }
        return groups;
    }

    private Map<String, Group> byTenant() {
        Map<String, Group> groups = new LinkedHashMap<>();
        for (int i = 0; i < scenario.tenants().size(); i++) {
            int number = i;
            groups.put(scenario.tenants().get(i).name(), group(job -> job.story().job().tenant() == number));
        }
        return groups;
    }

    private long attempts() {
        return tries.stream().mapToLong(story -> story.attempts().size()).sum();
    }

    private long secondCopies() {
        long copies = 0;
        for (TryStory story : tries) {
            for (int next = 1; next < story.attempts().size(); next++) {
                long at = story.attempts().get(next).firstByteAt();
                copies += story.attempts().subList(0, next).stream().anyMatch(a -> a.overAt() > at) ? 1 : 0;
            }
        }
        return copies;
    }

    private List<RunResult.BoxRow> byBox() {
        int boxes = scenario.boxes().size();
        long[] sent = new long[boxes];
        long[] served = new long[boxes];
        long[] turnedAway = new long[boxes];
        double[] work = new double[boxes];
        for (TryStory story : tries) {
            Attempt servedBy = story.servedBy();
            for (Attempt attempt : story.attempts()) {
                int box = attempt.box();
                sent[box]++;
                served[box] += attempt == servedBy ? 1 : 0;
                turnedAway[box] += attempt.reply() == Reply.TURNED_AWAY ? 1 : 0;
                work[box] += attempt.work();
            }
        }
        long length = Math.max(1, history.endedAt() - history.beganAt());
        List<RunResult.BoxRow> rows = new ArrayList<>(boxes);
        for (int i = 0; i < boxes; i++) {
            BoxSpec spec = scenario.boxes().get(i);
            int fell = (int) history.box(i).stream().filter(b -> b.state() == BoxState.FELL_OVER).count();
            String kind = spec.kind() < scenario.kinds().size() ? scenario.kinds().get(spec.kind()) : "";
            rows.add(new RunResult.BoxRow(spec.id(), kind, sent[i], served[i], turnedAway[i],
                    work[i] / (spec.capacity() * length), fell));
        }
        return rows;
    }

    private List<RunResult.WindowRow> windows() {
        List<RunResult.WindowRow> rows = new ArrayList<>();
        if (jobs.isEmpty()) {
            return rows;
        }
        long begin = jobs.get(0).askedAt();
        long length = Math.max(1, scenario.goal().window());
        int next = 0;
        for (long from = begin; next < jobs.size(); from += length) {
            int first = next;
            while (next < jobs.size() && jobs.get(next).askedAt() < from + length) {
                next++;
            }
            List<Weighed> due = jobs.subList(first, next);
            RunResult.Outcomes counts = outcomes(due.stream().map(job -> job.story().outcome()).toList());
            rows.add(new RunResult.WindowRow((from - begin) / SECOND, counts.asked(), counts.served(),
                    counts.refused(), counts.failed(), counts.left(), inTime(due)));
        }
        return rows;
    }

    private List<RunResult.FaultRow> faults() {
        List<RunResult.FaultRow> rows = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            if (fault.at() <= history.endedAt() - history.beganAt()) {
                rows.add(new RunResult.FaultRow(fault.kind().name().toLowerCase(Locale.ROOT),
                        fault.at() / SECOND, fault.lasts() / SECOND, fault.targets(),
                        fault.jobClass() < 0 ? null : scenario.classes().get(fault.jobClass()).name(),
                        fault.share(), fault.size()));
            }
        }
        return rows;
    }

    private static Map<String, Integer> brokenBy(Verdict verdict) {
        Map<String, Integer> byRule = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            byRule.put(rule.key(), verdict.byRule().getOrDefault(rule, 0));
        }
        return byRule;
    }

    private List<RunResult.BreachRow> breaches(Verdict verdict) {
        return verdict.first().stream().map(breach -> new RunResult.BreachRow(breach.rule().key(),
                (breach.at() - history.beganAt()) / SECOND, breach.txn(),
                breach.box() < 0 ? null : scenario.boxes().get(breach.box()).id(),
                breach.dispatcher() < 0 ? null : breach.dispatcher(), breach.what())).toList();
    }

    private static Map<String, Integer> doubleRuns(Verdict verdict) {
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (Verdict.Fault fault : Verdict.Fault.values()) {
            runs.put(fault.name().toLowerCase(Locale.ROOT), verdict.doubleRuns().getOrDefault(fault, 0));
        }
        return runs;
    }

    private Double cpuPerJob() {
        long reached = history.jobs().stream()
                .filter(job -> job.tries().stream().anyMatch(story -> !story.asked().isEmpty())).count();
        boolean known = !stats.isEmpty() && stats.stream().noneMatch(s -> s.cpuMicros() < 0);
        return known && reached > 0
                ? (double) stats.stream().mapToLong(DispatcherStats::cpuMicros).sum() / reached : null;
    }

    private Double memory() {
        double most = stats.stream().mapToDouble(DispatcherStats::rssPeakMb).max().orElse(-1);
        return most < 0 ? null : most;
    }

    private List<RunResult.DispatcherRow> dispatchers() {
        return stats.stream().map(s -> new RunResult.DispatcherRow(s.number(), known(s.cpuMicros() / MILLI),
                known(s.rssPeakMb()), known(s.readyMicros() / MILLI), known(s.readyCpuMicros() / MILLI),
                s.alive(), s.died(), s.exitCode(), s.lastLines())).toList();
    }

    private static Double known(double figure) {
        return figure < 0 ? null : figure;
    }
}
