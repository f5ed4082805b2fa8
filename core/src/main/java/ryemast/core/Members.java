package ryemast.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.membership.MembershipUpdate;
import ryemast.membership.ListFreshness;
import ryemast.membership.SourceReport;
import ryemast.membership.Member;
import ryemast.membership.Membership;
import ryemast.membership.ListedWorker;
import ryemast.membership.SourceStatus;

/**
 * Every list of workers enters here, whoever it comes from, and what {@link Membership} makes of them all
 * goes on to the {@link Exchange}; nothing else tells the exchange of workers. It decides nothing: it keeps
 * the timer that membership asks for, and the addresses. Owned by the loop.
 *
 * <p>What the platform's discovery says goes on in the same turn and in the same form (whole, changes, as
 * last known, failed), as the module's way of asking again rests on these.
 */
public final class Members {

    /** What the platform's discovery is called among the sources. */
    public static final String DISCOVERY = "discovery";
    private static final Logger LOG = Logger.getLogger(Members.class.getName());

    private final Loop loop;
    private final Exchange exchange;
    private final Membership membership;
    private final StartTimes startTimes;
    private long dueAt = Long.MAX_VALUE;
    private Runnable timer = () -> { };

    /** For workers whose starts are told by the loop's own clock. */
    public Members(Loop loop, Exchange exchange, Membership membership) {
        this(loop, exchange, membership, StartTimes.ofOneClock(loop));
    }

    public Members(Loop loop, Exchange exchange, Membership membership, StartTimes startTimes) {
        this.loop = loop;
        this.startTimes = startTimes;
        this.exchange = exchange;
        this.membership = membership;
        membership.addAuthority(DISCOVERY);
    }

    /** The platform's discovery has told of workers; {@code kind}: how. */
    public void discovered(ListKind kind, long version, List<ListedWorker> sightings) {
        boolean complete = kind != ListKind.CHANGES;
        membership.observe(loop.now(), new SourceReport(DISCOVERY, version, complete, 0, onLoop(sightings)));
        var change = membership.update(loop.now());
        if (complete) {
            // Also those that have not changed: the module takes whoever a whole list leaves out to be gone.
            exchange.listed(kind, membership.members().stream().map(Member::info)
                    .filter(each -> each.state() != WorkerState.GONE).toList());
        } else {
            exchange.listed(kind, infos(change));
        }
        if (kind == ListKind.CACHED) {
            discoveryLost(loop.now() + ListFreshness.INITIAL_LIST_TTL - ListFreshness.NOTIFIED_AFTER);
        }
        finish(change);
    }

    /** The platform's discovery is not listened to any more; its last word came at {@code heardAt}. */
    public void discoveryLost(long heardAt) {
        exchange.discoveryLost(heardAt);
    }

    /** The platform's discovery could not be asked, or its watch has ended. */
    public void discoveryFailed() {
        failed(ListKind.FAILED);
    }

    /** The same, as the connection to it broke: it may have said something that was lost on its way. */
    public void discoveryBroke() {
        failed(ListKind.BROKEN);
    }

    /** The same, as no connection to it came up. */
    public void discoveryUnreachable() {
        failed(ListKind.UNREACHABLE);
    }

    private void failed(ListKind how) {
        membership.recordFailure(loop.now(), DISCOVERY);
        exchange.listed(how, List.of());
    }

    /** Another source has said something. */
    public void observe(SourceReport listing) {
        membership.observe(loop.now(), listing.withWorkers(onLoop(listing.workers())));
        settle();
    }

    /** Another source has said that nothing has changed. */
    public void unchanged(String source) {
        membership.recordUnchanged(loop.now(), source);
    }

    /** Another source could not be asked. */
    public void failed(String source) {
        membership.recordFailure(loop.now(), source);
        settle();
    }

    /** A second look names these workers; see {@link Membership#confirmGone}. */
    public void confirmGone(String source, Set<String> present) {
        membership.confirmGone(loop.now(), source, present);
        settle();
    }

    /** The workers that operators want drained, all of them, each with the reason. */
    public void drain(Map<String, String> workers) {
        membership.drain(workers);
        settle();
    }

    /** The worker has shown that it is alive. */
    void heard(String worker) {
        membership.recordAlive(loop.now(), worker);
    }

    /** There was nobody at the worker's address. */
    void unreachable(String worker) {
        membership.recordUnreachable(loop.now(), worker);
    }

    /** Where a worker is, IP:PORT; null if nobody has ever told. */
    public String address(String worker) {
        var member = membership.member(worker);
        return member == null || member.address().isEmpty() ? null : member.address();
    }

    public List<Member> members() {
        return List.copyOf(membership.members());
    }

    public List<SourceStatus> sources() {
        return membership.sources();
    }

    /** How many workers of this source are kept though it has lost them. */
    public int withheld(String source) {
        return membership.sources().stream().filter(each -> each.name().equals(source))
                .mapToInt(SourceStatus::withheld).sum();
    }

    private List<ListedWorker> onLoop(List<ListedWorker> sightings) {
        startTimes.read();
        return sightings.stream()
                .map(each -> each.withStartedAt(startTimes.onLoop(each.id(), each.startedAt()))).toList();
    }

    private void settle() {
        var change = membership.update(loop.now());
        var infos = infos(change);
        if (!infos.isEmpty()) {
            exchange.listed(ListKind.AMENDED, infos);
        }
        finish(change);
    }

    private static List<WorkerInfo> infos(MembershipUpdate change) {
        return change.members().stream().map(Member::info).toList();
    }

    private void finish(MembershipUpdate change) {
        if (!change.expired().isEmpty()) {
            exchange.forgotten(new ArrayList<>(change.expired()));
            startTimes.forget(change.expired());
        }
        change.messages().forEach(LOG::info);
        long next = membership.nextDue(loop.now());
        if (next != dueAt) {
            timer.run();
            dueAt = next;
            timer = next == Long.MAX_VALUE ? () -> { } : loop.at(next, () -> {
                dueAt = Long.MAX_VALUE;
                settle();
            });
        }
    }
}
