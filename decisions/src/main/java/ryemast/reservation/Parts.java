package ryemast.reservation;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import ryemast.fleet.choices.SettledMembers;
import ryemast.reservation.Room.Kind;

/**
 * One member's part of each reservation and of what is free. Guarantees that all members together use no more
 * of a reservation, over any time, than the most that was given of it, times that time, and the burst; and
 * one job a member where a member's part of the burst is less than the job. That holds during any change of
 * members and of the book and any cut: parts grow only after others have given theirs up
 * ({@link SettledMembers}), and who can't prove its view of both takes nothing of what is reserved, nor of
 * what is lent. A part is even where nothing is asked for, and follows the demand that members tell each
 * other of ({@link Leaning}). Who settles in another time than the page says takes nothing of what is
 * reserved or lent, either, as then its views would end later, or others' room sooner, than anyone counts on.
 *
 * <p>Lending: what flows over a reservation's full bucket is unused for certain, and is what others may take,
 * so that lending takes nothing from its holder's bucket. Lent are jobs that are expected to run for
 * {@link Terms#lend} at most, at one time no more of them than the reservation's rate clears in that time, or
 * one; and from the holder's return on no more than was saved up for lending, as much again. So it has its
 * rate to itself after twice that time.
 *
 * <p>What is free is shared evenly among the members last seen, however long ago, as someone who is cut off
 * must go on serving; so its parts may add up to more than it while members believe in different sets.
 */
public final class Parts {

    private static final class Line {
        final Bucket own = new Bucket(0);
        final Bucket lent = new Bucket(0);
        double lentOut;

        void terms(Terms terms) {
            own.burst(terms.burst());
            lent.burst(terms.lend());
        }
    }

    private final long settle;
    private final SettledMembers seats;
    private final Leaning leaning;
    private final Wants wants;
    private Page page = Page.EMPTY;
    private Terms terms;
    private long freshUntil = Long.MIN_VALUE;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private Bucket free;
    private long at;

    /**
     * @param self   this process's name among the members, as no other has had it; with its incarnation
     * @param terms  its own; until a page tells the site's
     */
    public Parts(String self, Terms terms) {
        this(self, terms, new Leaning(self, terms.settle(), 2 * terms.settle()));
    }

    Parts(String self, Terms terms, Leaning leaning) {
        this.terms = terms;
        settle = terms.settle();
        this.leaning = leaning;
        seats = new SettledMembers(self, terms.settle(), 0);
        wants = new Wants(terms.settle());
    }

    /** As {@link SettledMembers#observe}: {@code asOf}, when the list was asked for. */
    public void members(long asOf, long now, Collection<Listed> members) {
        pass(now);
        seats.observe(asOf, now, members.stream().map(Listed::name).toList());
        leaning.seen(now, members);
        pass(now);
    }

    /** What this member is to tell the others with its next heartbeat, as {@link Listed#wants}. */
    public Map<String, Integer> wants(long now) {
        var told = wants.told(now, page.grants());
        tells(now, told);
        return told;
    }

    void tells(long now, Map<String, Integer> wanted) {
        pass(now);
        leaning.tells(now, wanted);
        pass(now);
    }

    /** As {@link SettledMembers#invalidate}: this process's lease is gone, or in doubt. */
    public void outside(long now) {
        pass(now);
        seats.invalidate();
        pass(now);
    }

    /**
     * The book as it stood at some time since {@code asOf}, when it was asked for. One that is older than
     * what is known is passed over for as long as what is known is fresh.
     */
    public void page(long asOf, long now, Page read) {
        pass(now);
        if (read.turn() < page.turn() && now <= freshUntil) {
            return;
        }
        page = read;
        terms = read.terms() == null ? terms : read.terms();
        freshUntil = Math.max(freshUntil, asOf + settle);
        var known = new LinkedHashMap<>(lines);
        lines.clear();
        for (var grant : page.grants()) {
            var name = grant.reservation().service().name();
            var line = known.getOrDefault(name, new Line());
            line.terms(terms);
            lines.put(name, line);
        }
        boolean first = free == null;
        free = page.isEmpty() ? null : first ? new Bucket(0) : free;
        if (free != null) {
            free.burst(terms.burst());
        }
        pass(now);
        if (first && free != null) {
            free.fill();
        }
    }

    /** Between two views a part only grows or ends, so that the smaller one of both was held all along. */
    private void pass(long now) {
        long micros = Math.max(0, now - at);
        at = Math.max(at, now);
        if (free == null) {
            return;
        }
        double even = part(at);
        for (var grant : page.grants()) {
            var name = grant.reservation().service().name();
            var line = lines.get(name);
            double rate = leaning.part(name, even, at) * grant.given();
            double over = line.own.pass(rate, micros);
            line.lent.pass(rate, 0);
            line.lent.add(over);
        }
        free.pass((double) page.free() / Math.max(1, seats.count(at)), micros);
    }

    /** Takes room for a job; {@code run} is its expected run time, 0: unknown. Times never step back. */
    public Room take(int tenant, int jobClass, double work, long run, long now) {
        pass(now);
        if (free == null) {
            return Room.UNWATCHED;
        }
        Reservation own = null;
        for (var grant : page.grants()) {
            own = grant.reservation().service().covers(tenant, jobClass) ? grant.reservation() : own;
        }
        var service = own == null ? "" : own.service().name();
        if (own != null) {
            wants.asked(service, work);
            var bucket = lines.get(service).own;
            if (bucket.has(work)) {
                bucket.take(work);
                return Room.of(Kind.RESERVED, service);
            } else if (own.capped()) {
                return new Room(Kind.OVER, service, "", bucket.wait(work));
            }
        }
        if (free.has(work)) {
            free.take(work);
            return Room.of(Kind.FREE, service);
        }
        var lender = run > 0 && run <= terms.lend() ? lender(work) : null;
        if (lender != null) {
            var line = lines.get(lender);
            line.lent.take(work);
            line.lentOut += work;
            return new Room(Kind.LENT, service, lender, 0);
        }
        return new Room(Kind.OVER, service, "", free.wait(work));
    }

    private String lender(double work) {
        for (var each : lines.entrySet()) {
            var line = each.getValue();
            boolean clears = line.lentOut == 0
                    || line.lentOut + work <= line.lent.rate() * terms.lend() / 1e6;
            if (line.lent.has(work) && clears) {
                return each.getKey();
            }
        }
        return null;
    }

    /** Gives back what was taken at this moment, as the job was not taken in. */
    public void undo(Room room, double work) {
        var line = lines.get(room.kind() == Kind.LENT ? room.lender() : room.service());
        switch (room.kind()) {
            case RESERVED -> line.own.take(-work);
            case FREE -> free.take(-work);
            case LENT -> {
                line.lent.take(-work);
                ended(room, work);
            }
            default -> { }
        }
    }

    /** A job that was let in on that room has ended. */
    public void ended(Room room, double work) {
        var line = lines.get(room.lender());
        if (line != null) {
            double left = line.lentOut - work;
            // Sums of parts of numbers leave a rest that is no job.
            line.lentOut = left < 0.5 ? 0 : left;
        }
    }

    /** This member's even part of each reservation now, 0 to 1: 0 unless its views are proven. */
    private double part(long now) {
        boolean settlesAlike = page.terms() != null && page.terms().settle() == settle;
        return settlesAlike && now <= freshUntil ? seats.share(now) : 0;
    }

    /** This member's part of a service's reservation now, 0 to 1: 0 unless its views are proven. */
    public double part(String service, long now) {
        return leaning.part(service, part(now), now);
    }

    /** The work a second that this member may use of a service's reservation now. */
    public double rate(String service, long now) {
        pass(now);
        return lines.containsKey(service) ? lines.get(service).own.rate() : 0;
    }
}
