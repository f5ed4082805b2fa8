package ryemast.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The reports of one source, and which of them are in effect.
 *
 * <p>Reports of an authority are accepted at once. Those of any other source are accepted at once where they
 * remove few workers, where the removal is an administrative change, and where they give work to a worker
 * that has been stable. Reports that would remove too many workers at once, or that come from a source whose
 * version decreased or that is itself uncertain, are withheld ({@link MembershipLimits}). The result depends
 * on the reports of this source and their times alone, never on those of other sources.
 */
final class SourceState {

    /** Evidence about workers from requests to them. */
    interface LivenessEvidence {
        /** Whether a request has recently shown the worker alive. */
        boolean alive(String worker, long now);

        /** Whether a connection to the worker has failed since then. */
        boolean unreachableSince(String worker, long since);
    }

    final String name;
    private final boolean authority;
    private final MembershipLimits bounds;
    private final LivenessEvidence evidence;
    private final Consumer<String> onChange;
    private final Consumer<String> onMessage;
    private final Map<String, SourceEntry> known = new LinkedHashMap<>();
    /** Workers with a withheld or recent loss or a flap penalty, whose state time alone may change. */
    private final Set<SourceEntry> timeDependent = new HashSet<>();
    private long version = Long.MIN_VALUE;
    private long lastContactAt = Long.MIN_VALUE;
    private long failingSince;
    private long suspectSince;
    private boolean initialized;
    /** While the source is on probation after its version decreased: until when, and its latest report. */
    private long probationUntil;
    private SourceReport probationReport;

    /**
     * {@code onChange} receives each worker whose state has changed, {@code onMessage} messages for the
     * operators.
     */
    SourceState(String name, boolean authority, MembershipLimits bounds, LivenessEvidence signs,
            Consumer<String> onChange,
            Consumer<String> onMessage) {
        this.name = name;
        this.authority = authority;
        this.bounds = bounds;
        this.evidence = signs;
        this.onChange = onChange;
        this.onMessage = onMessage;
    }

    boolean isAuthority() {
        return authority;
    }

    SourceEntry entry(String id) {
        return known.get(id);
    }

    SourceStatus status() {
        int workers = 0;
        int withheld = 0;
        for (var each : known.values()) {
            workers += each.accepted.status() == HealthStatus.GONE ? 0 : 1;
            withheld += each.withheldSince > 0 ? 1 : 0;
        }
        return new SourceStatus(name, version, lastContactAt, failingSince, suspectSince, workers, withheld);
    }

    void recordFailure(long now) {
        failingSince = failingSince == 0 ? now : failingSince;
    }

    /** The source reports no changes. */
    void recordUnchanged(long now) {
        lastContactAt = now;
        failingSince = 0;
    }

    void observe(long now, SourceReport report) {
        recordUnchanged(now);
        if (authority) {
            version = report.version();
            applyReport(now, report, true);
            return;
        }
        if (initialized && report.version() < version) {
            if (probationUntil == 0) {
                probationUntil = now + bounds.probation();
                markSuspect(now);
                onMessage.accept(name + ": version decreased from " + version + " to " + report.version()
                        + "; for " + bounds.probation() / 1_000_000
                        + " s only restrictive updates are applied");
            }
            probationReport = report;
            applyRestrictions(now, report);
        } else if (initialized && report.age() > bounds.maxAge()) {
            // Its state may have changed since; an administrative change stays valid.
            applyRestrictions(now, report);
        } else {
            probationUntil = 0;
            probationReport = null;
            // An empty list is not accepted, and neither is its version.
            version = initialized && report.complete()
                    && report.workers().isEmpty() ? version : report.version();
            applyReport(now, report, false);
        }
    }

    /** Applies what time alone changes: withheld losses that are due, and the end of a probation. */
    void advance(long now) {
        if (probationUntil > 0 && now >= probationUntil) {
            var report = probationReport;
            probationUntil = 0;
            probationReport = null;
            version = report.version();
            onMessage.accept(name + ": probation ended at version " + version + "; all updates are applied");
            applyReport(now, report, false);
        }
        int serving = countServing();
        for (var each : sortedTimeDependent()) {
            boolean recent = each.lostAt > 0 && now < each.lostAt + bounds.lossWindow();
            if (each.lostAt > 0 && !recent) {
                each.lostAt = 0;
            }
            if (each.withheldSince > 0 && now >= each.withheldSince + bounds.suspicionTimeout()
                    && failingSince == 0
                    && !evidence.alive(each.id, now) && serving > 1) {
                serving--;
                onMessage.accept(each.id + " was retained for " + bounds.suspicionTimeout() / 1_000_000
                        + " s after " + name
                        + " lost it; no recent request has shown it alive, so the loss is now accepted");
                acceptLoss(now, each);
            }
            if (each.flapDamping != null && !each.isSuppressed(now)) {
                onChange.accept(each.id);
                each.flapDamping = each.flapDamping.isNegligible(now) ? null : each.flapDamping;
            }
            if (each.lostAt == 0 && each.withheldSince == 0 && each.flapDamping == null) {
                timeDependent.remove(each);
            }
        }
        reevaluateWithheld(now);
        clearSuspect();
    }

    /** When {@link #advance} may change something; {@link Long#MAX_VALUE}: never by time alone. */
    long nextDue(long now) {
        long due = probationUntil > 0 ? probationUntil : Long.MAX_VALUE;
        for (var each : timeDependent) {
            if (each.lostAt > 0) {
                due = Math.min(due, each.lostAt + bounds.lossWindow());
            }
            if (each.withheldSince > 0) {
                long until = each.withheldSince + bounds.suspicionTimeout();
                due = Math.min(due, until > now ? until : now + bounds.livenessTimeout());
            }
            if (each.flapDamping != null) {
                due = Math.min(due, each.isSuppressed(now) ? each.flapDamping.releaseAt()
                        : now + bounds.flapHalfLife());
            }
        }
        return due;
    }

    /** Discards the state of a worker that is gone; returns whether no state of it is left. */
    boolean removeIfGone(String id) {
        var entry = known.get(id);
        if (entry != null && entry.accepted.status() == HealthStatus.GONE) {
            known.remove(id);
            timeDependent.remove(entry);
        }
        return !known.containsKey(id);
    }

    /**
     * Accepts withheld losses of workers that a separate query no longer lists.
     */
    void confirmGone(long now, Set<String> present) {
        int serving = countServing();
        for (var each : sortedTimeDependent()) {
            boolean absent = each.withheldSince > 0 && each.reported.status() == HealthStatus.GONE;
            if (absent && !present.contains(each.id) && serving > 1) {
                serving--;
                acceptLoss(now, each);
            }
        }
        clearSuspect();
    }

    /** Sorted by id: which of several losses is accepted first must not depend on the order of a list. */
    private List<SourceEntry> sortedTimeDependent() {
        return timeDependent.stream().sorted((one, other) -> one.id.compareTo(other.id)).toList();
    }

    private int countServing() {
        int count = 0;
        for (var each : known.values()) {
            count += each.isServing() ? 1 : 0;
        }
        return count;
    }

    /** Applies only restrictive reports of a doubtful source: no additions, no removals by absence. */
    private void applyRestrictions(long now, SourceReport report) {
        var named = byId(report);
        var restrictions = new ArrayList<ListedWorker>();
        for (var each : named.values()) {
            var entry = known.get(each.id());
            boolean stricter = entry != null && each.status().compareTo(entry.accepted.status()) > 0;
            // A worker that is gone here may be listed by another source, where a drain applies as well.
            if (stricter || each.status() == HealthStatus.DRAINING) {
                restrictions.add(each);
            }
        }
        apply(now, restrictions);
    }

    private void applyReport(long now, SourceReport report, boolean unconditionally) {
        var named = byId(report);
        var reports = new ArrayList<>(named.values());
        if (report.complete()) {
            for (var each : known.values()) {
                if (!named.containsKey(each.id) && each.reported.status() != HealthStatus.GONE) {
                    reports.add(each.reported.withStatus(HealthStatus.GONE, ""));
                }
            }
        }
        if (unconditionally) {
            reports.forEach(each -> accept(now, entryFor(each), each));
        } else {
            var absent = new HashSet<String>();
            reports.subList(named.size(), reports.size()).forEach(each -> absent.add(each.id()));
            apply(now, reports, absent);
        }
        initialized = true;
    }

    /**
     * Of two entries for one worker the one registered last counts; of two registered at the same time the
     * more restrictive one, so that the order of entries does not matter.
     */
    private static Map<String, ListedWorker> byId(SourceReport report) {
        var found = new LinkedHashMap<String, ListedWorker>();
        for (var each : report.workers()) {
            found.merge(each.id(), each, (one, other) -> {
                int later = Long.compare(other.registered(), one.registered());
                int stricter = other.status().compareTo(one.status());
                int order = later != 0 ? later : stricter != 0 ? stricter
                        : String.valueOf(one.address()).compareTo(String.valueOf(other.address()));
                return order > 0 ? other : one;
            });
        }
        return found;
    }

    private SourceEntry entryFor(ListedWorker sighting) {
        return known.computeIfAbsent(sighting.id(), SourceEntry::new);
    }

    private void apply(long now, List<ListedWorker> reports) {
        apply(now, reports, Set.of());
    }

    /** {@code absent}: the reports of workers that the list lacks, which are not administrative changes. */
    private void apply(long now, List<ListedWorker> reports, Set<String> absent) {
        var losses = new LinkedHashSet<SourceEntry>();
        for (var each : reports) {
            var entry = entryFor(each);
            boolean administrative = each.status().isAdministrative() && !absent.contains(each.id());
            boolean loss = entry.isServing() && !administrative && !each.status().isServing();
            entry.reported = each;
            if (loss) {
                losses.add(entry);
            } else {
                accept(now, entry, each);
            }
        }
        // Losses withheld earlier that this report, if it contains changes only, does not mention.
        for (var each : timeDependent) {
            if (each.withheldSince > 0) {
                losses.add(each);
            }
        }
        evaluateLosses(now, losses);
        clearSuspect();
    }

    private void evaluateLosses(long now, Collection<SourceEntry> losses) {
        if (losses.isEmpty()) {
            return;
        }
        long recent = timeDependent.stream().filter(each -> each.lostAt > 0).count();
        int serving = countServing();
        long maxLosses = Math.max(1, (long) (bounds.maxLossRatio() * (serving + recent)));
        if (losses.size() + recent > maxLosses || losses.size() >= serving) {
            markSuspect(now);
            for (var each : losses) {
                if (each.withheldSince == 0) {
                    each.withheldSince = Math.max(1, now);
                    timeDependent.add(each);
                    onChange.accept(each.id);
                }
            }
        } else {
            losses.forEach(each -> acceptLoss(now, each));
        }
    }

    /** Reevaluates withheld losses: a window may have passed, or other workers may be back. */
    private void reevaluateWithheld(long now) {
        if (failingSince == 0 && probationUntil == 0) {
            evaluateLosses(now,
                    new ArrayList<>(timeDependent.stream().filter(each -> each.withheldSince > 0).toList()));
        }
    }

    private void acceptLoss(long now, SourceEntry entry) {
        entry.lostAt = Math.max(1, now);
        if (entry.flapDamping == null) {
            entry.flapDamping = new FlapDamping(bounds);
        }
        entry.flapDamping.recordLoss(now);
        timeDependent.add(entry);
        entry.withheldSince = 0;
        setAccepted(entry, entry.reported);
    }

    private void accept(long now, SourceEntry entry, ListedWorker report) {
        var before = entry.accepted;
        entry.reported = report;
        if (entry.withheldSince > 0) {
            entry.withheldSince = 0;
            onChange.accept(entry.id);
        }
        if (report.status().isServing()) {
            if (!authority && isNewProcess(entry, before, report)) {
                entry.firstSeenAt = now;
            }
            entry.lostAt = 0;
        }
        setAccepted(entry, report);
    }

    /**
     * Whether the worker's process has started since it was last seen, where the source does not report start
     * times: the worker is new on a list that was known, or was registered anew, or a connection to it failed
     * while its checks failed. A process wrongly treated as new gets less work for a while; a new one that is
     * not treated as new is overloaded.
     */
    private boolean isNewProcess(SourceEntry entry, ListedWorker before, ListedWorker report) {
        if (before == null) {
            return initialized;
        }
        boolean countsRegistrations = before.registered() > 0 && report.registered() > 0;
        return (countsRegistrations ? report.registered() > before.registered()
                : before.status() == HealthStatus.GONE)
                || before.status() == HealthStatus.CRITICAL
                        && evidence.unreachableSince(entry.id, Math.max(1, entry.lostAt));
    }

    private void setAccepted(SourceEntry entry, ListedWorker report) {
        if (!report.isSameAs(entry.accepted)) {
            entry.accepted = report;
            onChange.accept(entry.id);
        }
    }

    private void markSuspect(long now) {
        if (suspectSince == 0) {
            suspectSince = Math.max(1, now);
            onMessage.accept(name
                    + " is suspect: its version decreased, or it lost too many workers at once");
        }
    }

    private void clearSuspect() {
        if (suspectSince > 0 && probationUntil == 0
                && timeDependent.stream().noneMatch(each -> each.withheldSince > 0)) {
            suspectSince = 0;
            onMessage.accept(name + " is trusted again");
        }
    }
}
