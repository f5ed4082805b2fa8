package ryemast.lab.books;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ryemast.lab.books.Verdict.Fault;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Effect;

/**
 * Holds a run against the platform's rules, from the books alone: no dispatcher's word counts. The figures
 * are the scenario's; each rule is a {@link Law} of its own.
 */
public final class Judge {

    private static final List<Law> LAWS = List.of(new OneAnswer(), new NoEffectTwice(),
            new NothingToDraining(), new ColdBoxes(), new NoStrangers(), new StayAlive());

    private Judge() {
    }

    public static Verdict judge(Scenario scenario, MemoryBooks books) {
        return judge(scenario, books.read());
    }

    /** Every breach, in the order of time. */
    public static List<Breach> breaches(Scenario scenario, History history) {
        List<Breach> breaches = new ArrayList<>();
        LAWS.forEach(law -> law.judge(scenario, history, breaches::add));
        breaches.sort(Comparator.comparingLong(Breach::at));
        return breaches;
    }

    public static Verdict judge(Scenario scenario, History history) {
        List<Breach> breaches = breaches(scenario, history);
        Map<Rule, Integer> byRule = new EnumMap<>(Rule.class);
        breaches.forEach(breach -> byRule.merge(breach.rule(), 1, Integer::sum));
        return new Verdict(breaches.size(), byRule,
                List.copyOf(breaches.subList(0, Math.min(Verdict.LISTED, breaches.size()))),
                doubleRuns(scenario, history, breaches));
    }

    private static Map<Fault, Integer> doubleRuns(Scenario scenario, History history, List<Breach> breaches) {
        Set<String> wronged = new HashSet<>();
        for (Breach breach : breaches) {
            if (breach.rule() == Rule.NO_EFFECT_TWICE) {
                wronged.add(breach.txn());
            }
        }
        Lives lives = new Lives(history);
        Map<Fault, Integer> runs = new EnumMap<>(Fault.class);
        for (JobStory job : history.jobs()) {
            if (scenario.classes().get(job.job().jobClass()).effect() == Effect.SINGLE_SHOT
                    && job.runs() > 1) {
                runs.merge(fault(job, wronged, lives), 1, Integer::sum);
            }
        }
        return runs;
    }

    private static Fault fault(JobStory job, Set<String> wronged, Lives lives) {
        boolean killed = false;
        for (TryStory story : job.tries()) {
            if (wronged.contains(story.txn())) {
                return Fault.DISPATCHER;
            }
            TryStory.Asked asked = story.lastAsked();
            killed |= story != job.last() && asked != null && story.answer() == null
                    && lives.at(asked.dispatcher(), asked.at()).killed();
        }
        return killed ? Fault.SCENARIO : Fault.CLIENT;
    }
}
