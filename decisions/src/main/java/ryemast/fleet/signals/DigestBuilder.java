package ryemast.fleet.signals;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the reports to send in each period: changed ones first, then those that were sent longest ago. At
 * most {@link #MAX_DIGESTS} datagrams a period, however many workers there are; an empty one serves as a
 * heartbeat if nothing is due. An unchanged report is repeated each {@link #REFRESH_INTERVAL}, as datagrams
 * get lost.
 */
final class DigestBuilder {

    /** Enough for reports on 304 workers a period. */
    static final int MAX_DIGESTS = 4;
    static final long REFRESH_INTERVAL = 1_000_000;
    /** A change of the suspicion from 0 to 1 is as urgent as a change by this many jobs. */
    private static final double SUSPICION_JOBS = 10;
    private static final double MIN_CHANGE = 0.2;

    private record SentReport(WorkerReport report, long sentAt) {
    }

    private final int member;
    private final long process;
    private final Map<Integer, SentReport> lastSent = new HashMap<>();
    private long sequence;

    DigestBuilder(int member, long process) {
        this.member = member;
        this.process = process;
    }

    /** The digests of this period, the same for each peer but for the echo. */
    List<Digest> digests(long now, Collection<LocalEstimate> own) {
        Map<Integer, WorkerReport> reports = new HashMap<>();
        own.stream().map(LocalEstimate::report).filter(tale -> tale != null)
                .forEach(tale -> reports.merge(tale.nameHash(), tale, (first, second) -> null));
        lastSent.keySet().retainAll(reports.keySet());
        Map<Integer, Double> urgency = new HashMap<>();
        reports.forEach((code, tale) -> urgency.put(code, urgency(lastSent.get(code), tale, now)));
        var chosen = reports.values().stream().filter(tale -> urgency.get(tale.nameHash()) > MIN_CHANGE)
                .sorted((left, right) -> {
                    int byUrgency = Double.compare(urgency.get(right.nameHash()),
                            urgency.get(left.nameHash()));
                    return byUrgency != 0 ? byUrgency : Integer.compare(left.nameHash(), right.nameHash());
                }).limit(MAX_DIGESTS * Digest.MAX_REPORTS).toList();
        var digests = new ArrayList<Digest>();
        for (int from = 0; from == 0 || from < chosen.size(); from += Digest.MAX_REPORTS) {
            var batch = chosen.subList(from, Math.min(chosen.size(), from + Digest.MAX_REPORTS));
            digests.add(new Digest(member, process, ++sequence, now, null, batch));
        }
        chosen.forEach(tale -> lastSent.put(tale.nameHash(), new SentReport(tale, now)));
        return digests;
    }

    private static double urgency(SentReport sent, WorkerReport report, long now) {
        if (sent == null) {
            return Double.MAX_VALUE;
        }
        var old = sent.report;
        return Math.abs(old.jobs() - report.jobs()) + Math.abs(old.work() - report.work())
                + SUSPICION_JOBS * Math.abs(old.suspicion() - report.suspicion())
                + Math.max(0, now - sent.sentAt - REFRESH_INTERVAL + 1) / (double) REFRESH_INTERVAL
                + (now - sent.sentAt >= REFRESH_INTERVAL ? 2 * MIN_CHANGE : 0);
    }
}
