package ryemast.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;

/**
 * Merges the reports of all sources into one list of workers.
 *
 * <p>Guarantees: a worker that a source drains or deregisters by an administrative change, or that an
 * operator drains, is not offered after that report; no worker is dropped because a source is silent, late or
 * returns an empty list; the result depends only on what each source reported and when, not on the order in
 * which reports of different sources at one time are processed.
 *
 * <p>Each source has its own state ({@link SourceState}), in which its reports are accepted or withheld. A
 * worker's state is then a pure function of the accepted reports of all sources: a drain by any source
 * applies; otherwise an authority takes precedence over other sources; otherwise, of two sources that list
 * the worker, the more restrictive one takes precedence. An operator's drain overrides all sources. Two
 * workers with one address are the same process, and the one registered last represents it. Only workers
 * whose source state has changed are evaluated, so the cost for a list of thousands depends on the changes in
 * it.
 *
 * <p>Single-threaded. It starts no timer: {@link #nextDue} returns when time alone may change the result.
 */
public final class Membership implements SourceState.LivenessEvidence {

    private final MembershipLimits bounds;
    private final TreeMap<String, SourceState> sourceStates = new TreeMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, String> operatorDrains = new LinkedHashMap<>();
    private final Map<String, AddressEntry> addresses = new HashMap<>();
    private final Map<String, Long> aliveAt = new HashMap<>();
    private final Map<String, Long> unreachableAt = new HashMap<>();
    private final Set<String> gone = new LinkedHashSet<>();
    private Set<String> dirty = new LinkedHashSet<>();
    private List<String> news = new ArrayList<>();

    /** The workers listed at one address, and the one of them that represents it. */
    private static final class AddressEntry {
        private final TreeSet<String> ids = new TreeSet<>();
        private String representative;
    }

    public Membership(MembershipLimits bounds) {
        this.bounds = bounds;
    }

    /** Declares a source whose reports are accepted at once, such as the platform's own discovery. */
    public void addAuthority(String source) {
        sourceStates.put(source, new SourceState(source, true, bounds, this, dirtySink(), messageSink()));
    }

    /** Processes a report of a source. */
    public void observe(long now, SourceReport listing) {
        stateOf(listing.source()).observe(now, listing);
    }

    /** A source has reported no changes. */
    public void recordUnchanged(long now, String source) {
        stateOf(source).recordUnchanged(now);
    }

    /** A source has failed to respond: its last report stays in effect. */
    public void recordFailure(long now, String source) {
        stateOf(source).recordFailure(now);
    }

    /**
     * A separate query for the current state has returned these workers: withheld losses of workers that are
     * not among them are accepted.
     */
    public void confirmGone(long now, String source, Set<String> present) {
        stateOf(source).confirmGone(now, present);
    }

    /** Replaces the set of workers that operators want drained, each with the reason. */
    public void drain(Map<String, String> workers) {
        dirty.addAll(operatorDrains.keySet());
        operatorDrains.clear();
        operatorDrains.putAll(workers);
        dirty.addAll(operatorDrains.keySet());
    }

    /** A request has shown the worker alive: it accepted a job or reported on one. */
    public void recordAlive(long now, String worker) {
        aliveAt.put(worker, now);
    }

    /** No connection to the worker's address could be established. */
    public void recordUnreachable(long now, String worker) {
        unreachableAt.put(worker, now);
    }

    @Override
    public boolean alive(String worker, long now) {
        return aliveAt.getOrDefault(worker, Long.MIN_VALUE / 2) > now - bounds.livenessTimeout();
    }

    @Override
    public boolean unreachableSince(String worker, long since) {
        return unreachableAt.getOrDefault(worker, Long.MIN_VALUE) >= since;
    }

    /** Advances to a time that never decreases; returns the changes since the previous call. */
    public MembershipUpdate update(long now) {
        sourceStates.values().forEach(book -> book.advance(now));
        var changed = new LinkedHashMap<String, Member>();
        while (!dirty.isEmpty()) {
            var round = dirty;
            dirty = new LinkedHashSet<>();
            for (var id : round) {
                var member = evaluate(now, id);
                if (member != null && member.differs(members.get(id))) {
                    members.put(id, member);
                    changed.put(id, member);
                    if (member.info().state() == WorkerState.GONE) {
                        gone.add(id);
                    } else {
                        gone.remove(id);
                    }
                }
            }
        }
        var pending = news;
        news = new ArrayList<>();
        return new MembershipUpdate(List.copyOf(changed.values()), removeExpired(now), List.copyOf(pending));
    }

    /** When {@link #update} may return changes without a further report. */
    public long nextDue(long now) {
        long due = Long.MAX_VALUE;
        for (var book : sourceStates.values()) {
            due = Math.min(due, book.nextDue(now));
        }
        if (!gone.isEmpty()) {
            due = Math.min(due, members.get(gone.iterator().next()).since() + bounds.retention());
        }
        return Math.max(due, now + 1);
    }

    /** All workers whose state is kept, in the order in which they became known. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** Null for an unknown worker. */
    public Member member(String id) {
        return members.get(id);
    }

    public List<SourceStatus> sources() {
        return sourceStates.values().stream().map(SourceState::status).toList();
    }

    private SourceState stateOf(String source) {
        return sourceStates.computeIfAbsent(source,
                name -> new SourceState(name, false, bounds, this, dirtySink(), messageSink()));
    }

    private Consumer<String> dirtySink() {
        return id -> dirty.add(id);
    }

    private Consumer<String> messageSink() {
        return line -> news.add(line);
    }

    /** The worker's state according to all sources; null where no source knows it. */
    private Member evaluate(long now, String id) {
        SourceEntry chosen = null;
        boolean byAuthority = false;
        boolean ordered = false;
        for (var book : sourceStates.values()) {
            var known = book.entry(id);
            if (known == null) {
                continue;
            }
            if (chosen == null || outranks(book.isAuthority(), known, byAuthority, chosen)) {
                chosen = known;
                byAuthority = book.isAuthority();
            }
            ordered |= known.accepted.status() == HealthStatus.DRAINING;
        }
        if (chosen == null) {
            return members.containsKey(id) ? toGoneMember(now, members.get(id)) : null;
        }
        var report = chosen.accepted;
        var condition = ordered && report.status().isServing() ? HealthStatus.DRAINING : report.status();
        boolean shadowed = claimAddress(id, report.address(), condition != HealthStatus.GONE && !byAuthority);
        return toMember(now, chosen, condition, shadowed);
    }

    /** Prevents an older source that no longer lists a worker from overriding one that does. */
    private static boolean outranks(boolean authority, SourceEntry entry, boolean otherAuthority,
            SourceEntry other) {
        if (authority != otherAuthority) {
            return authority;
        }
        boolean oneGone = entry.accepted.status() == HealthStatus.GONE;
        boolean otherGone = other.accepted.status() == HealthStatus.GONE;
        return oneGone != otherGone ? otherGone
                : entry.accepted.status().compareTo(other.accepted.status()) > 0;
    }

    /**
     * Updates which workers share an address; returns whether another one represents this worker there. A
     * representative that is drained or critical is not replaced, as the others are the same process.
     */
    private boolean claimAddress(String id, String address, boolean listed) {
        var before = members.get(id);
        if (before != null && !before.address().equals(address)) {
            releaseAddress(id, before.address());
        }
        if (!listed) {
            releaseAddress(id, address);
            return false;
        }
        var entry = addresses.computeIfAbsent(address, key -> new AddressEntry());
        entry.ids.add(id);
        selectRepresentative(entry, id);
        return !id.equals(entry.representative);
    }

    private void releaseAddress(String id, String address) {
        var entry = addresses.get(address);
        if (entry != null && entry.ids.remove(id)) {
            if (entry.ids.isEmpty()) {
                addresses.remove(address);
            } else {
                selectRepresentative(entry, id);
            }
        }
    }

    /**
     * Selects the worker registered last, or else the first by name; if it changes, all others are
     * reevaluated.
     */
    private void selectRepresentative(AddressEntry entry, String except) {
        String last = null;
        long registered = Long.MIN_VALUE;
        for (var id : entry.ids) {
            long lastRegistered = Long.MIN_VALUE;
            for (var book : sourceStates.values()) {
                lastRegistered = Math.max(lastRegistered, book.entry(id) == null ? lastRegistered
                        : book.entry(id).accepted.registered());
            }
            if (last == null || lastRegistered > registered) {
                last = id;
                registered = lastRegistered;
            }
        }
        if (!last.equals(entry.representative)) {
            entry.representative = last;
            entry.ids.stream().filter(id -> !id.equals(except)).forEach(dirty::add);
        }
    }

    private Member toMember(long now, SourceEntry entry, HealthStatus condition, boolean shadowed) {
        var report = entry.accepted;
        var state = switch (condition) {
            case PASSING, WARNING -> WorkerState.READY;
            case CRITICAL, DRAINING -> WorkerState.DRAINING;
            case GONE -> WorkerState.GONE;
        };
        double share = 1;
        var why = switch (condition) {
            case PASSING -> StateReason.LISTED;
            case WARNING -> StateReason.WARNING;
            case CRITICAL -> StateReason.CRITICAL;
            case DRAINING -> StateReason.DRAINING;
            case GONE -> StateReason.GONE;
        };
        var detail = report.reason();
        if (state == WorkerState.READY) {
            share = condition != HealthStatus.WARNING ? 1
                    : report.warningShare() > 0 ? report.warningShare() : bounds.warningShare();
            if (operatorDrains.containsKey(entry.id)) {
                state = WorkerState.DRAINING;
                why = StateReason.OPERATOR_DRAIN;
                detail = operatorDrains.get(entry.id);
            } else if (shadowed) {
                state = WorkerState.DRAINING;
                why = StateReason.DUPLICATE_ADDRESS;
                detail = addresses.get(report.address()).representative + " is at " + report.address();
            } else if (entry.withheldSince > 0) {
                why = StateReason.RETAINED;
                detail = entry.reported.status() == HealthStatus.GONE ? "no longer listed"
                        : entry.reported.reason();
            } else if (entry.isSuppressed(now)) {
                why = StateReason.SUPPRESSED;
                share = Math.min(share, bounds.suppressedShare());
            }
        }
        long started = report.startedAt() > 0 ? report.startedAt() : entry.firstSeenAt;
        var info = new WorkerInfo(entry.id, state, report.kind(), report.zone(), report.cell(),
                report.weight(),
                started,
                state == WorkerState.READY ? share : 1);
        return withSince(now, info, report.address(), why, detail);
    }

    private Member toGoneMember(long now, Member before) {
        var info = before.info();
        return withSince(now,
                new WorkerInfo(info.id(), WorkerState.GONE, info.kind(), info.zone(), info.cell(),
                info.weight(), info.startedAt(), 1), before.address(), StateReason.GONE, "");
    }

    private Member withSince(long now, WorkerInfo info, String address, StateReason why, String detail) {
        var before = members.get(info.id());
        boolean same = before != null && before.info().state() == info.state() && before.reason() == why;
        // A worker that never had an address has none to keep.
        var place = address != null ? address : before != null ? before.address() : "";
        return new Member(info, place, why, detail, same ? before.since() : now);
    }

    private List<String> removeExpired(long now) {
        var forgotten = new ArrayList<String>();
        while (!gone.isEmpty()) {
            var id = gone.iterator().next();
            if (now < members.get(id).since() + bounds.retention()) {
                break;
            }
            gone.remove(id);
            boolean unknown = true;
            for (var book : sourceStates.values()) {
                unknown &= book.removeIfGone(id);
            }
            if (unknown) {
                members.remove(id);
                aliveAt.remove(id);
                unreachableAt.remove(id);
                forgotten.add(id);
            }
        }
        return List.copyOf(forgotten);
    }
}
