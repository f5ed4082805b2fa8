package ryemast.fleet.signals;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * State of one peer: the last report on each worker, all from one process of the peer. The age of a report
 * counts from its sending, which {@link PeerClock} estimates, so reports of a peer that has not echoed a
 * digest of this process are not used; silence counts from receipt. Memory is bounded: one report per
 * worker up to a limit, and a few IDs of former processes.
 */
final class Peer {

    /** How long a peer's reports are ignored after it has sent an implausible or replayed digest. */
    static final long SUSPENSION = 10_000_000;
    /** A peer that is silent for longer is not trusted until it is heard again. */
    static final long SILENCE_LIMIT = 3_000_000;
    /** Largest sequence gap that datagram reordering explains; older digests count as replayed. */
    static final long REORDER_WINDOW = 64;
    /** A new process of a peer is accepted once the former one has been silent for this long. */
    static final long TAKEOVER_DELAY = 500_000;
    /** The load in a report not refreshed for 2.5 intervals is ignored, so that one datagram may be lost. */
    static final long LOAD_EXPIRY = 5 * DigestBuilder.REFRESH_INTERVAL / 2;
    private static final int MAX_REPORTS = 10_000;
    private static final int MAX_PAST_PROCESSES = 8;
    private static final long NO_TIME = -1;

    /** A report with its send time on the peer's clock and its receive time on ours. */
    private record ReceivedReport(WorkerReport report, long sentAt, long receivedAt) {
    }

    /** Former processes of the peer, each with the last sequence number received. */
    private final Map<Long, Long> pastProcesses = new LinkedHashMap<>();
    private final Map<Integer, ReceivedReport> reports = new HashMap<>();
    private long process;
    private long sequence;
    private boolean known;
    private int member;
    /** Of the last digest: send time on the peer's clock, or {@link #NO_TIME}, and receive time on ours. */
    private long lastSentAt;
    private long lastReceivedAt;
    private PeerClock clock = new PeerClock();
    private long suspendedUntil = Long.MIN_VALUE;

    boolean isMember(int nameHash) {
        return known && member == nameHash;
    }

    /** The echo of the peer's last digest; null if none has been received. */
    Echo echo() {
        return known && lastSentAt != NO_TIME ? new Echo(process, lastSentAt, lastReceivedAt) : null;
    }

    /** Returns null if the digest was accepted; {@code ownProcess} is the ID of our own process. */
    DigestRejection receive(long now, long ownProcess, Digest digest, Predicate<WorkerReport> plausible) {
        if (digest.sequence() <= pastProcesses.getOrDefault(digest.process(), Long.MIN_VALUE)
                || pastProcesses.containsKey(digest.process()) && now - lastReceivedAt <= SILENCE_LIMIT) {
            return DigestRejection.ENDED_PROCESS;
        }
        if (!known || digest.process() != process) {
            if (known && now - lastReceivedAt < TAKEOVER_DELAY) {
                return DigestRejection.UNKNOWN_SENDER;
            }
            startProcess(digest);
        }
        long behind = sequence - digest.sequence();
        if (behind >= 0) {
            return behind <= REORDER_WINDOW ? DigestRejection.DUPLICATE_OR_LATE
                    : suspend(now, DigestRejection.REPLAYED);
        }
        if (digest.sentAt() < lastSentAt || !clock.accept(now, ownProcess, digest)
                || !digest.reports().stream().allMatch(plausible)) {
            return suspend(now, DigestRejection.IMPLAUSIBLE);
        }
        sequence = digest.sequence();
        lastSentAt = digest.sentAt();
        lastReceivedAt = now;
        if (now < suspendedUntil) {
            return DigestRejection.SUSPENDED;
        }
        for (var report : digest.reports()) {
            if (reports.size() < MAX_REPORTS || reports.containsKey(report.nameHash())) {
                reports.put(report.nameHash(), new ReceivedReport(report, lastSentAt, now));
            }
        }
        return null;
    }

    private void startProcess(Digest digest) {
        pastProcesses.remove(digest.process());
        if (known) {
            pastProcesses.put(process, sequence);
            if (pastProcesses.size() > MAX_PAST_PROCESSES) {
                pastProcesses.remove(pastProcesses.keySet().iterator().next());
            }
        }
        known = true;
        member = digest.member();
        process = digest.process();
        sequence = digest.sequence() - 1;
        lastSentAt = NO_TIME;
        clock = new PeerClock();
        reports.clear();
    }

    private DigestRejection suspend(long now, DigestRejection rejection) {
        suspendedUntil = now + SUSPENSION;
        reports.clear();
        return rejection;
    }

    boolean isTrusted(long now) {
        return clock.isKnown() && now >= suspendedUntil && now - lastReceivedAt <= SILENCE_LIMIT;
    }

    /** To be called each period: drops reports that are too old even for speed and suspicion. */
    void expire(long now) {
        reports.values().removeIf(each -> now - each.receivedAt > SUSPENSION);
    }

    /**
     * The last report on a worker, or null; this and the methods below are valid only while
     * {@link #isTrusted}.
     */
    WorkerReport report(int nameHash) {
        var received = reports.get(nameHash);
        return received == null ? null : received.report;
    }

    /** The earliest time, on our clock, at which the report can have been sent. */
    long earliestTime(int nameHash) {
        var received = reports.get(nameHash);
        return earliestTime(received.sentAt, received.receivedAt);
    }

    private long earliestTime(long sentAt, long receivedAt) {
        return Math.min(receivedAt, clock.earliestSendTime(sentAt));
    }

    /** Weight, from 0 to 1, of the jobs in the last report on a worker. */
    double loadWeight(int nameHash, long now) {
        return loadWeight(reports.get(nameHash), now);
    }

    /** A report stays valid up to the last digest, as changes would have been reported since. */
    private double loadWeight(ReceivedReport received, long now) {
        return now - earliestTime(received.sentAt, received.receivedAt) > LOAD_EXPIRY ? 0
                : Borrowed.decay(now - earliestTime(lastSentAt, lastReceivedAt), Borrowed.LOAD_DECAY_SECONDS);
    }

    /** Slots that the peer's jobs take by its reports, over all workers, weighted by age. */
    double totalJobs(long now) {
        return reports.values().stream().mapToDouble(each -> each.report.jobs() * loadWeight(each, now))
                .sum();
    }
}
