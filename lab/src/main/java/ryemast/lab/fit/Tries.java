package ryemast.lab.fit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import ryemast.core.Observer.Answer;
import ryemast.lab.fit.Seen.Request;
import ryemast.lab.scenario.Scenario.Backoff;

/**
 * Which requests are further tries of the same job, and how clients behave between them.
 *
 * <p>A recording has no name that two tries share, so they are matched: same class, tenant, size and hint,
 * the earlier one over and not served, and the same time by which the client gives up, to within what a
 * network adds. Where jobs carry no hints, two jobs that agree in all of this by chance are taken for one.
 */
final class Tries {

    /** Times left are told in whole milliseconds, and a network takes some. */
    private static final long SAME_DEADLINE = 8_000;
    /**
     * A wait this near to the advice was the advice; shorter advice can't be told from a client's own haste.
     */
    private static final long NEAR_ADVICE = 15_000;
    /** An answer needs this to reach a client and its next try to come back; less is no wait. */
    private static final double NO_WAIT = 3_000;
    /** A second wait this much longer than the first on average is backoff that doubles. */
    private static final double GROWS = 1.5;
    private static final double MS = 1_000;

    private record Kind(int jobClass, int tenant, long hint, double slots, double memory) {
    }

    private Tries() {
    }

    /** Sets {@link Request#next} and {@link Request#tryNumber}. */
    static void link(List<Request> jobs) {
        Map<Kind, Deque<Request>> over = new HashMap<>();
        for (var job : jobs) {
            var kind = new Kind(job.jobClass, job.tenant, job.hint, job.slots, job.memory);
            var before = over.computeIfAbsent(kind, k -> new ArrayDeque<>());
            before.removeIf(each -> each.deadline() + SAME_DEADLINE < job.at);
            for (var each : before) {
                if (each.next == null && each.answer != Answer.SERVED && each.answer != Answer.LEFT
                        && each.answeredAt <= job.at
                        && Math.abs(each.deadline() - job.deadline()) <= SAME_DEADLINE) {
                    each.next = job;
                    job.tryNumber = each.tryNumber + 1;
                    job.first = each.first;
                    break;
                }
            }
            before.addLast(job);
        }
    }

    /**
     * How clients behave.
     *
     * @param retries    how often one tries again, the most that was seen
     * @param again      the part of unserved tries that were followed by another, time allowing
     * @param backoffMs  the first wait without advice
     * @param honour     the part of advised waits that were as advised
     * @param impatient  the part of tries that a client leaves before its time is up
     */
    record Behaviour(int retries, Figure again, Backoff backoff, Figure backoffMs, Figure honour,
            Figure impatient) {
    }

    static Behaviour behaviour(List<Request> jobs, long end) {
        long unserved = 0;
        long followed = 0;
        long advised = 0;
        long asAdvised = 0;
        int most = 0;
        var first = new ArrayList<Double>();
        var second = new ArrayList<Double>();
        for (var job : jobs) {
            most = Math.max(most, job.tryNumber);
            if (job.answer == null || job.answer == Answer.SERVED || job.answer == Answer.LEFT) {
                continue;
            }
            // Whoever had hardly any time left, or whose next try would come after the end, tells nothing.
            if (job.deadline() - job.answeredAt > job.timeLeft / 4 && job.answeredAt
                    + job.timeLeft / 4 < end) {
                unserved++;
                followed += job.next == null ? 0 : 1;
            }
            if (job.next == null) {
                continue;
            }
            double wait = job.next.at - job.answeredAt;
            boolean advice = job.answer == Answer.REFUSED && job.retryAfter > 0;
            boolean heeded = wait > job.retryAfter - NO_WAIT && wait < job.retryAfter + NEAR_ADVICE;
            if (advice && job.retryAfter > 2 * NEAR_ADVICE) {
                advised++;
                asAdvised += heeded ? 1 : 0;
            }
            if (!advice || !heeded) {
                (job.tryNumber == 0 ? first : second).add(wait / MS);
            }
        }
        var waits = Stats.mean(array(first), "first waits");
        double later = second.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        var backoff = !waits.known() || waits.value() * MS < NO_WAIT ? Backoff.NONE
                : second.size() >= 8 && later > GROWS * waits.value() ? Backoff.EXPONENTIAL : Backoff.FIXED;
        return new Behaviour(most, Stats.share(followed, unserved,
                "tries that were not served, with time left"),
                backoff, waits, Stats.share(asAdvised, advised,
                "tries that came after advice of 30 ms or more"),
                impatient(jobs, end));
    }

    /**
     * Clients that go away do so at any time before their deadline, evenly; one that is answered early may
     * have been such a client. So what counts is how much of all this time clients were watched (Kaplan and
     * Meier's point, with a hazard that is even).
     */
    private static Figure impatient(List<Request> jobs, long end) {
        long left = 0;
        double watched = 0;
        for (var job : jobs) {
            long until = Math.min(Math.min(job.answeredAt, end), job.deadline());
            if (job.timeLeft > 0) {
                watched += Math.min(1, Math.max(0, (double) (until - job.at) / job.timeLeft));
            }
            boolean early = job.answer == Answer.LEFT && job.deadline() - job.answeredAt > job.timeLeft / 50;
            left += early ? 1 : 0;
        }
        if (watched < 1) {
            return Figure.none("clients' whole waits");
        }
        var share = Stats.share(left, Math.max(left, Math.round(watched)),
                "whole waits, put together from parts");
        return share;
    }

    private static double[] array(List<Double> values) {
        return values.stream().filter(Objects::nonNull).mapToDouble(Double::doubleValue).toArray();
    }
}
