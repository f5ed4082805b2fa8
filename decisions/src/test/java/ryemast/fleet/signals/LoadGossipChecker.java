package ryemast.fleet.signals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import ryemast.health.WorkerHealth;
import ryemast.health.TrafficState;

/**
 * Invariant checker for one incarnation of a member in a {@link LoadGossipSimulation}. It records what
 * arrived over each link, in the sender's order, and what the member itself sent to workers, and derives
 * bounds on what the member may estimate and report. It is deliberately simple and independent of
 * {@link LoadGossip}: of the code under test only the decoding of digests is used.
 */
final class LoadGossipChecker {

    private static final double S = LoadGossipSimulation.S;
    private static final double ROUNDING = 0.02;
    /** A job that has been out for longer may be overdue, which is evidence of a fault as well. */
    private static final long OVERDUE_AFTER = 20 * LoadGossipSimulation.MS;
    private static final long FAILURE_MEMORY = 40 * LoadGossipSimulation.S;

    /** A report and when it was really sent, on this member's clock. */
    private record ReceivedReport(WorkerReport report, long sentAt) {
    }

    /** What was received from one incarnation of a peer. */
    private static final class PeerReports {
        final Map<Integer, ReceivedReport> reports = new HashMap<>();
        long lastSequence;
        long lastReceivedAt;
        /** When the last digest was really sent. */
        long lastSentAt;

        /** How many of a report's jobs may be counted. */
        double jobsAt(ReceivedReport received, long now) {
            return now - received.sentAt > 2.5 * S ? 0
                    : received.report.jobs() * Math.exp((lastSentAt - now) / S);
        }

        double totalJobs(long now) {
            return reports.values().stream().mapToDouble(each -> jobsAt(each, now)).sum();
        }
    }

    /**
     * A link, and the current incarnation of its peer: the next one has to wait until the current one is
     * silent.
     */
    private static final class Link {
        final Map<Integer, Long> past = new HashMap<>();
        boolean byzantine;
        int incarnation;
        PeerReports received;
        /** Whether that incarnation has echoed ours. */
        boolean echoed;
        long suspendedUntil;
        /** Since when digests of one incarnation arrive without a gap and without cause for suspension. */
        long stableSince;

        void receive(long now, long sentAt, long ownProcess, LoadGossipSimulation.Sent sent, Digest digest) {
            long sequence = digest.sequence();
            if (sent.incarnation() != incarnation || received == null) {
                boolean former = past.containsKey(sent.incarnation());
                double silence = received == null ? S : now - received.lastReceivedAt;
                if (silence < S / 2
                        || former && (silence <= 3 * S || sequence <= past.get(sent.incarnation()))) {
                    return;
                }
                if (received != null) {
                    past.put(incarnation, received.lastSequence);
                }
                past.remove(sent.incarnation());
                received = new PeerReports();
                echoed = false;
                received.lastSequence = sequence - 1;
                incarnation = sent.incarnation();
                stableSince = now;
            }
            if (sequence <= received.lastSequence || sent.implausible()) {
                if (sequence < received.lastSequence - 64
                        || sent.implausible() && sequence > received.lastSequence) {
                    stableSince = now;
                    suspendedUntil = now + (long) (10 * S);
                    received.reports.clear();
                }
                return;
            }
            stableSince = now - received.lastReceivedAt > S / 2 ? now : stableSince;
            received.lastSequence = sequence;
            received.lastReceivedAt = now;
            received.lastSentAt = sentAt;
            echoed |= digest.echo() != null && digest.echo().process() == ownProcess;
            if (now >= suspendedUntil) {
                digest.reports()
                        .forEach(tale ->
                        received.reports.put(tale.nameHash(), new ReceivedReport(tale, sentAt)));
            }
        }

        boolean isTrusted(long now) {
            return echoed && now >= suspendedUntil && now - received.lastReceivedAt <= 3 * S;
        }

        boolean isStable(long now, double since) {
            return received != null && now >= suspendedUntil && now - stableSince > since
                    && now - received.lastReceivedAt < S / 2;
        }
    }

    /** What was done with a worker in this incarnation. */
    private static final class WorkerHistory {
        final List<Long> outstanding = new ArrayList<>();
        final Deque<Long> served = new ArrayDeque<>();
        int ends;
        int successes;
        long lastFailureAt = Long.MIN_VALUE / 2;

        boolean hasNoRecentTrouble(long now) {
            return now - lastFailureAt > FAILURE_MEMORY
                    && outstanding.stream().allMatch(sent -> now - sent < OVERDUE_AFTER);
        }
    }

    private final long process;
    private final Link[] links;
    private final Map<String, WorkerHistory> histories = new HashMap<>();

    /** {@code process}: the ID of this incarnation; the last {@code byzantine} members are Byzantine. */
    LoadGossipChecker(long process, int members, int byzantine) {
        this.process = process;
        links = IntStream.range(0, members).mapToObj(i -> new Link()).toArray(Link[]::new);
        Arrays.stream(links).skip(members - byzantine).forEach(link -> link.byzantine = true);
    }

    /** Times are of this member's clock; {@code sentAt}: when it was really sent. */
    void receive(long now, long sentAt, LoadGossipSimulation.Sent sent, Digest digest) {
        links[sent.sender()].receive(now, sentAt, process, sent, digest);
    }

    void sent(String worker, long at) {
        histories.computeIfAbsent(worker, id -> new WorkerHistory()).outstanding.add(at);
    }

    /** The member was notified of a new process: observations of the former one are no evidence. */
    void restarted(String worker) {
        if (histories.containsKey(worker)) {
            histories.get(worker).served.clear();
        }
    }

    void ended(String worker, long sentAt, boolean success, long now) {
        var history = histories.get(worker);
        history.outstanding.remove(sentAt);
        history.ends++;
        if (success) {
            history.successes++;
            history.served.add(now);
        } else {
            history.lastFailureAt = now;
        }
    }

    boolean hasReceivedFrom(int peer) {
        return links[peer].received != null;
    }

    /**
     * Whether digests of that incarnation of a peer have arrived for that long without a gap or suspension.
     */
    boolean isStable(long now, int peer, int life, double since) {
        return links[peer].incarnation == life && links[peer].isStable(now, since);
    }

    /**
     * Each peer that sends plausible reports, and has heard us for long enough to have echoed, is trusted.
     */
    void checkTrustedPeers(long now, int trusted, IntPredicate hasEchoedUs, Map<String, String> violations) {
        long stable = IntStream.range(0, links.length).filter(i -> !links[i].byzantine
                && links[i].isStable(now, S) && hasEchoedUs.test(i)).count();
        if (trusted < stable) {
            addViolation(violations, "trusted peers",
                    trusted + " peers are trusted, " + stable + " should be");
        }
    }

    private static void addViolation(Map<String, String> breaches, String rule, Object detail) {
        breaches.putIfAbsent(rule, String.valueOf(detail));
    }

    /** Only own observations are reported. */
    void checkOwnReport(long now, LocalEstimate own, Map<String, String> violations) {
        var report = own.report();
        var history = histories.get(own.worker());
        if (report == null) {
            return;
        }
        if (history == null || report.jobs() > history.outstanding.size() + ROUNDING
                || report.samples() > history.successes + ROUNDING
                || report.evidence() > history.ends + 1 + ROUNDING) {
            addViolation(violations, "own observations", report);
        } else if (report.suspicion() > 0.3 && history.hasNoRecentTrouble(now)) {
            addViolation(violations, "own observations", "suspicion without evidence: " + report);
        }
    }

    /** Estimates stay within what peers, each by its last reports, have sent. */
    void checkEstimates(long now, Collection<LocalEstimate> ownEstimates, Map<String, Borrowed> estimates,
            Map<String, String> violations) {
        double honest = ownEstimates.stream().filter(own -> own.report() != null)
                .mapToDouble(own -> own.report().jobs()).sum();
        double jobsLimit = Math.max(4, 2 * honest);
        double honestTotal = 0;
        var byzantineTotals = new ArrayList<Double>();
        int honestMembers = 1;
        for (var link : links) {
            double total = link.isTrusted(now) ? link.received.totalJobs(now) : 0;
            if (link.isTrusted(now) && link.byzantine) {
                byzantineTotals.add(total);
            } else if (link.isTrusted(now)) {
                honestTotal += total;
                jobsLimit = Math.max(jobsLimit, 2 * total);
                honestMembers++;
            }
        }
        double limit = jobsLimit;
        double sum = honestTotal + byzantineTotals.stream().mapToDouble(each -> Math.min(limit, each)).sum();
        double jobs = estimates.values().stream().mapToDouble(Borrowed::jobs).sum();
        if (honestMembers > byzantineTotals.size() && jobs > sum * 1.01 + ROUNDING) {
            addViolation(violations, "jobs limit", jobs + " jobs in all, of " + sum);
        }
        for (var own : ownEstimates) {
            var estimate = estimates.get(own.worker());
            if (estimate != null) {
                checkEstimates(now, own, estimate, violations);
            }
        }
    }

    private void checkEstimates(long now, LocalEstimate own, Borrowed estimate,
            Map<String, String> violations) {
        double jobs = 0;
        var suspicions = new ArrayList<Double>();
        var speeds = new ArrayList<Double>();
        for (var link : links) {
            var received = link.isTrusted(now)
                    ? link.received.reports.get(WorkerReport.nameHash(own.worker())) : null;
            if (received == null || received.sentAt < own.startedAt()) {
                continue;
            }
            var report = received.report;
            jobs += link.received.jobsAt(received, now);
            if (report.evidence() > 0 && received.sentAt - report.age() >= own.startedAt()) {
                suspicions.add(report.suspicion() * Math.exp((received.sentAt - report.age() - now) / S / 8));
            }
            if (report.speed() > 0) {
                speeds.add(Math.log(report.speed()));
            }
        }
        if (estimate.jobs() > jobs * 1.01 + ROUNDING) {
            addViolation(violations, "jobs", estimate.jobs() + " of " + jobs + " at " + own);
        }
        if (estimate.suspicion() > 0
                && (suspicions.size() < 2
                || estimate.suspicion() > secondLargest(suspicions, own.report() == null ? 0
                : own.report().suspicion()) + ROUNDING)) {
            addViolation(violations, "two peers",
                    estimate + " of suspicions " + suspicions + " beside " + own);
        }
        if (estimate.samples() > 0) {
            double ownLog = Math.log(own.speed());
            var negated = speeds.stream().map(each -> -each).toList();
            double maxDeviation = Math.log(3);
            boolean within = speeds.size() >= 2
                    && estimate.logSpeed()
                    <= Math.max(ownLog - maxDeviation, secondLargest(speeds, ownLog)) + ROUNDING
                    && -estimate.logSpeed()
                    <= Math.max(-ownLog - maxDeviation, secondLargest(negated, -ownLog)) + ROUNDING;
            if (!within || estimate.samples() > 12
                    || Math.abs(estimate.logSpeed() - ownLog) > maxDeviation + ROUNDING) {
                addViolation(violations, "two peers", estimate + " of speeds " + speeds + " beside " + own);
            }
        }
    }

    /**
     * The second largest of the peers' values and our own: a single one may be larger, but two must agree.
     */
    private static double secondLargest(List<Double> reported, double own) {
        var all = new ArrayList<>(reported);
        all.add(own);
        return all.stream().sorted().toList().get(all.size() - 2);
    }

    /** Peers' reports alone eject no worker, and count little beside fresh observations of our own. */
    void checkHealth(long now, String worker, WorkerHealth box, Map<String, String> violations) {
        var history = histories.get(worker);
        if (history != null && !history.hasNoRecentTrouble(now)) {
            return;
        }
        if (box.trafficState() == TrafficState.EJECTED) {
            addViolation(violations, "ejection", worker + " was never observed to fail");
        }
        if (history != null) {
            history.served.removeIf(at -> now - at > 2 * S);
            if (history.served.size() >= 6 && box.sickProbability(now) > 0.15) {
                addViolation(violations, "own evidence",
                        worker + " is suspected, " + history.served.size() + " served in 2 s");
            }
        }
    }
}
