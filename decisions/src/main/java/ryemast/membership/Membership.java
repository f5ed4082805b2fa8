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
 * One list of workers from all who speak of them.
 *
 * <p>It guarantees: no worker that a source drains or takes off its list by an order, or that an operator
 * drains, is offered from that word on; no worker is left out because a source is silent, late or answers
 * with nothing; the list follows from what each source said, when, and from nothing else, in whatever order
 * words of different sources and of one time come.
 *
 * <p>How: each source has a book of its own ({@link SourceBook}) in which its words are believed or withheld.
 * A worker's place is then a pure function of what is believed of it in all books: an order of any source
 * counts; else an authority counts more than other sources; else of two sources that know it the one that
 * allows less. An operator's drain lies over all that. Two workers of one address are one process: the one
 * registered last stands for it. Work is done only for workers whose books have changed, so that a list of
 * thousands costs what changed in it.
 *
 * <p>One owner, one thread; it starts no timer: {@link #nextDue} says when time alone may change something.
 */
public final class Membership implements SourceBook.Signs {

    private final Bounds bounds;
    private final TreeMap<String, SourceBook> books = new TreeMap<>();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, String> drained = new LinkedHashMap<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Map<String, Long> aliveAt = new HashMap<>();
    private final Map<String, Long> unreachableAt = new HashMap<>();
    private final Set<String> gone = new LinkedHashSet<>();
    private Set<String> dirty = new LinkedHashSet<>();
    private List<String> news = new ArrayList<>();

    /** An address: who is listed there, and who of them counts. */
    private static final class Place {
        private final TreeSet<String> ids = new TreeSet<>();
        private String standing;
    }

    public Membership(Bounds bounds) {
        this.bounds = bounds;
    }

    /** A source that is believed at once, as the platform's own discovery is; before it says anything. */
    public void authority(String source) {
        books.put(source, new SourceBook(source, true, bounds, this, dirty(), news()));
    }

    /** A source has said something. */
    public void observe(long now, Listing listing) {
        book(listing.source()).observe(now, listing);
    }

    /** A source has said that nothing has changed. */
    public void unchanged(long now, String source) {
        book(source).unchanged(now);
    }

    /** A source has failed to answer: what it said last goes on to count. */
    public void failed(long now, String source) {
        book(source).failed(now);
    }

    /**
     * A second look, elsewhere and of the present state, names these workers: lost ones that it lacks are
     * gone.
     */
    public void confirmGone(long now, String source, Set<String> present) {
        book(source).confirmGone(now, present);
    }

    /** The workers that operators want drained from now on, all of them, each with the reason. */
    public void drain(Map<String, String> workers) {
        dirty.addAll(drained.keySet());
        drained.clear();
        drained.putAll(workers);
        dirty.addAll(drained.keySet());
    }

    /** A call has shown the worker alive: it took a job, or told of one. */
    public void heard(long now, String worker) {
        aliveAt.put(worker, now);
    }

    /** Nobody answered at the worker's address. */
    public void unreachable(long now, String worker) {
        unreachableAt.put(worker, now);
    }

    @Override
    public boolean alive(String worker, long now) {
        return aliveAt.getOrDefault(worker, Long.MIN_VALUE / 2) > now - bounds.aliveFor();
    }

    @Override
    public boolean unreachableSince(String worker, long since) {
        return unreachableAt.getOrDefault(worker, Long.MIN_VALUE) >= since;
    }

    /** Brings the list up to a time that never goes back; what has changed since the last call is told. */
    public Change settle(long now) {
        books.values().forEach(book -> book.pass(now));
        var changed = new LinkedHashMap<String, Member>();
        while (!dirty.isEmpty()) {
            var round = dirty;
            dirty = new LinkedHashSet<>();
            for (var id : round) {
                var member = placed(now, id);
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
        var told = news;
        news = new ArrayList<>();
        return new Change(List.copyOf(changed.values()), forget(now), List.copyOf(told));
    }

    /** When {@link #settle} may have something to tell though nobody has said anything. */
    public long nextDue(long now) {
        long due = Long.MAX_VALUE;
        for (var book : books.values()) {
            due = Math.min(due, book.nextDue(now));
        }
        if (!gone.isEmpty()) {
            due = Math.min(due, members.get(gone.iterator().next()).since() + bounds.forgetAfter());
        }
        return Math.max(due, now + 1);
    }

    /** All whose books are kept, in the order in which they became known. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** Null for one that nobody speaks of. */
    public Member member(String id) {
        return members.get(id);
    }

    public List<SourceView> sources() {
        return books.values().stream().map(SourceBook::view).toList();
    }

    private SourceBook book(String source) {
        return books.computeIfAbsent(source,
                name -> new SourceBook(name, false, bounds, this, dirty(), news()));
    }

    private Consumer<String> dirty() {
        return id -> dirty.add(id);
    }

    private Consumer<String> news() {
        return line -> news.add(line);
    }

    /** The worker's place by all books; null where no book knows it. */
    private Member placed(long now, String id) {
        Known chosen = null;
        boolean byAuthority = false;
        boolean ordered = false;
        for (var book : books.values()) {
            var known = book.known(id);
            if (known == null) {
                continue;
            }
            if (chosen == null || outranks(book.isAuthority(), known, byAuthority, chosen)) {
                chosen = known;
                byAuthority = book.isAuthority();
            }
            ordered |= known.believed.condition() == Condition.DRAINING;
        }
        if (chosen == null) {
            return members.containsKey(id) ? gone(now, members.get(id)) : null;
        }
        var word = chosen.believed;
        var condition = ordered && word.condition().serves() ? Condition.DRAINING : word.condition();
        boolean shadowed = share(id, word.address(), condition != Condition.GONE && !byAuthority);
        return member(now, chosen, condition, shadowed);
    }

    /** Guards against an older source that has a worker off its list while another one still lists it. */
    private static boolean outranks(boolean authority, Known one, boolean otherAuthority, Known other) {
        if (authority != otherAuthority) {
            return authority;
        }
        boolean oneGone = one.believed.condition() == Condition.GONE;
        boolean otherGone = other.believed.condition() == Condition.GONE;
        return oneGone != otherGone ? otherGone
                : one.believed.condition().compareTo(other.believed.condition()) > 0;
    }

    /**
     * Keeps account of who is at an address; whether another one stands for this worker there. One that
     * stands but is drained or critical is not replaced: the others are the same process.
     */
    private boolean share(String id, String address, boolean listed) {
        var before = members.get(id);
        if (before != null && !before.address().equals(address)) {
            leave(id, before.address());
        }
        if (!listed) {
            leave(id, address);
            return false;
        }
        var here = places.computeIfAbsent(address, key -> new Place());
        here.ids.add(id);
        choose(here, id);
        return !id.equals(here.standing);
    }

    private void leave(String id, String address) {
        var here = places.get(address);
        if (here != null && here.ids.remove(id)) {
            if (here.ids.isEmpty()) {
                places.remove(address);
            } else {
                choose(here, id);
            }
        }
    }

    /**
     * The one registered last, or else the first by name; where that is another one now, all are placed anew.
     */
    private void choose(Place here, String except) {
        String last = null;
        long registered = Long.MIN_VALUE;
        for (var id : here.ids) {
            long each = Long.MIN_VALUE;
            for (var book : books.values()) {
                each = Math.max(each, book.known(id) == null ? each : book.known(id).believed.registered());
            }
            if (last == null || each > registered) {
                last = id;
                registered = each;
            }
        }
        if (!last.equals(here.standing)) {
            here.standing = last;
            here.ids.stream().filter(id -> !id.equals(except)).forEach(dirty::add);
        }
    }

    private Member member(long now, Known known, Condition condition, boolean shadowed) {
        var word = known.believed;
        var state = switch (condition) {
            case PASSING, WARNING -> WorkerState.READY;
            case CRITICAL, DRAINING -> WorkerState.DRAINING;
            case GONE -> WorkerState.GONE;
        };
        double share = 1;
        var why = switch (condition) {
            case PASSING -> Why.LISTED;
            case WARNING -> Why.WARNED;
            case CRITICAL -> Why.CRITICAL;
            case DRAINING -> Why.DRAINING;
            case GONE -> Why.GONE;
        };
        var words = word.why();
        if (state == WorkerState.READY) {
            share = condition != Condition.WARNING ? 1
                    : word.warnedShare() > 0 ? word.warnedShare() : bounds.warnedShare();
            if (drained.containsKey(known.id)) {
                state = WorkerState.DRAINING;
                why = Why.OPERATOR;
                words = drained.get(known.id);
            } else if (shadowed) {
                state = WorkerState.DRAINING;
                why = Why.SHADOWED;
                words = places.get(word.address()).standing + " is at " + word.address();
            } else if (known.withheldAt > 0) {
                why = Why.KEPT;
                words = known.last.condition() == Condition.GONE ? "no longer listed" : known.last.why();
            } else if (known.held(now)) {
                why = Why.HELD;
                share = Math.min(share, bounds.heldShare());
            }
        }
        long started = word.startedAt() > 0 ? word.startedAt() : known.begunAt;
        var info = new WorkerInfo(known.id, state, word.kind(), word.zone(), word.cell(), word.weight(),
                started,
                state == WorkerState.READY ? share : 1);
        return dated(now, info, word.address(), why, words);
    }

    private Member gone(long now, Member before) {
        var info = before.info();
        return dated(now, new WorkerInfo(info.id(), WorkerState.GONE, info.kind(), info.zone(), info.cell(),
                info.weight(), info.startedAt(), 1), before.address(), Why.GONE, "");
    }

    private Member dated(long now, WorkerInfo info, String address, Why why, String words) {
        var before = members.get(info.id());
        boolean same = before != null && before.info().state() == info.state() && before.why() == why;
        // One that was never where it could be reached has no address to keep.
        var place = address != null ? address : before != null ? before.address() : "";
        return new Member(info, place, why, words, same ? before.since() : now);
    }

    private List<String> forget(long now) {
        var forgotten = new ArrayList<String>();
        while (!gone.isEmpty()) {
            var id = gone.iterator().next();
            if (now < members.get(id).since() + bounds.forgetAfter()) {
                break;
            }
            gone.remove(id);
            boolean unknown = true;
            for (var book : books.values()) {
                unknown &= book.forget(id);
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
