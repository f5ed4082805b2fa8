package ryemast.reserving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import ryemast.coordination.Coordination;
import ryemast.coordination.Coordination.Fate;
import ryemast.coordination.Editions;
import ryemast.coordination.Step;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.fleet.FleetView;
import ryemast.fleet.MemberRecord;
import ryemast.fleet.KeyAssignment;
import ryemast.reservation.ReservationLedger;
import ryemast.reservation.Grant;
import ryemast.reservation.ListedMember;
import ryemast.reservation.SettleTimeMismatchException;
import ryemast.reservation.LedgerState;
import ryemast.reservation.MemberQuotas;
import ryemast.reservation.Reservation;
import ryemast.reservation.ReservationException;

/**
 * Reads the site's book from the records at each beat and feeds this member's parts with it and with the
 * members; keeps the book where that is this member's turn. Guarantees that what parts are told is no older
 * than it says (readings are certain, and count from when they were asked for), and that a page is written
 * only over the one it was made from, under the fence of its writer and the revision of its file. Who keeps
 * the book follows from the members who have the highest revision; two who think themselves its keeper cost
 * each other a turn. Its figures are those of the highest revision, too: its keeper's stand on the page, and
 * all go by them.
 *
 * <p>A member that can't read tells its parts nothing: they end by themselves once what they know is too old.
 * Owned by the loop.
 */
public final class BookKeeping {

    /** The first part of all its records' keys. */
    public static final String WHAT = "reservations";
    static final String BOOK = WHAT + "/book";
    private static final Logger LOG = Logger.getLogger(BookKeeping.class.getName());
    /**
     * What is left out, in a trial that must fail: "alone" (each member takes all for its part), "stale"
     * (what was read last counts as read just now), "greedy" (each counts only what is wanted of itself);
     * of whoever keeps the book "hasty" (room that was given up counts as settled), "deaf" (of what the site
     * clears it believes the most it ever heard), "upside" (the highest rank yields first) and "behind" (its
     * wall clock is). Absent: nothing.
     */
    private static final String CARELESS = System.getProperty("ryemast.reserving.careless", "");
    private static final long BEHIND = 15_000_000;
    private static final int UPSIDE = 1_000;
    private static final double MICROS = 1e6;
    /** More than any site clears in a second: until the book is read, free work goes on as if it were not. */
    private static final long ANYTHING = 1_000_000_000_000L;

    private final Loop loop;
    private final Coordination records;
    private final Place place;
    private final MemberQuotas parts;
    private final ReservationLedger book;
    private final PageText text;
    private final LongSupplier wall;
    private final DoubleSupplier weight;
    private final long beat;
    private final long settle;
    private final Set<String> refused = new HashSet<>();
    private Plan plan;
    /** Null until {@link #begin}. */
    private Editions editions;
    private Runnable timer = () -> { };
    /** What was read last, for a trial that must fail. */
    private List<ListedMember> lastMembers = List.of();
    private LedgerState lastPage;
    private LedgerState told = LedgerState.EMPTY;
    private long mostCleared;
    private long readAt;
    private long faultyVersion;
    private boolean blind;
    /** The page's time to settle, where it is not ours; 0: it is. */
    private long otherSettle;
    private boolean closed;

    /**
     * The figures of one site.
     *
     * @param beat     between two readings, in microseconds
     * @param settle   as the book's terms have it
     * @param tenants  their names, as the settings number them; {@code classes} likewise
     */
    public record Site(long beat, long settle, List<String> tenants, List<String> classes) {
    }

    /**
     * @param wall    the wall clock, Unix time in microseconds
     * @param weight  of all workers that are ready, 0 where none is known
     */
    public BookKeeping(Loop loop, Coordination records, Place place, ReservationLedger book,
            MemberQuotas parts, Site site, LongSupplier wall, DoubleSupplier weight) {
        this.loop = loop;
        this.records = records;
        this.place = place;
        this.book = book;
        this.parts = parts;
        this.wall = wall;
        this.weight = weight;
        beat = site.beat;
        settle = site.settle;
        text = new PageText(site.tenants, site.classes);
    }

    /** To be called once, on the loop. */
    public void begin(Plan first) {
        plan = first;
        book.settings(plan.terms());
        readAt = loop.now();
        // Too old to be acted by: it says whose jobs have a reservation until the book can be read.
        long now = loop.now();
        parts.updateLedger(now - settle - 1, now, new LedgerState(0, 0, ANYTHING,
                plan.at().apply(wall.getAsLong()).stream()
                .map(each -> new Grant(each, 0, 0)).toList(), List.of(), plan.terms()));
        editions = new Editions(loop, records, place, WHAT, plan.edition(), () -> { });
        look();
    }

    /** Another file from now on. On the loop. */
    public void replace(Plan by) {
        plan = by;
        book.settings(by.terms());
        refused.clear();
        editions.replace(by.edition());
    }

    public void close() {
        closed = true;
        timer.run();
        if (editions != null) {
            editions.end();
        }
    }

    /** The members as they were listed, no older than when that was asked for. */
    public void members(long askedAt, List<MemberRecord> listed) {
        var members = new ArrayList<ListedMember>();
        for (var each : listed) {
            boolean own = each.name().equals(place.self()) && each.incarnation() == place.incarnation();
            // Another incarnation of a name is another member: two processes may have borne it in turn.
            members.add(new ListedMember(own ? each.name() : each.name() + "#" + each.incarnation(),
                    CARELESS.equals("greedy") && !own ? Map.of() : each.demand()));
        }
        lastMembers = CARELESS.equals("alone") ? List.of(new ListedMember(place.self(), Map.of())) : members;
        parts.updateMembers(askedAt, loop.now(), lastMembers);
    }

    private void look() {
        if (closed) {
            return;
        }
        timer.run();
        timer = loop.at(loop.now() + beat, this::look);
        editions.settle();
        if (CARELESS.equals("stale")) {
            stale();
        } else if (place.fence() == null) {
            parts.leaseLost(loop.now());
        }
        long askedAt = loop.now();
        records.read(BOOK, true, reading -> {
            if (!closed) {
                read(askedAt, reading);
            }
        });
    }

    private void stale() {
        long now = loop.now();
        if (lastPage != null && !lastMembers.isEmpty()) {
            parts.updateMembers(now, now, lastMembers);
            parts.updateLedger(now, now, lastPage);
        }
    }

    private void read(long askedAt, Coordination.Reading reading) {
        long now = loop.now();
        var page = reading.good() ? page(reading.only()) : null;
        if (page == null) {
            if (!blind && now - readAt > settle) {
                blind = true;
                Note.warning(LOG, "reservations: the book can't be read: {why}. Until it can, nothing that is"
                        + " reserved is used here, and capped services are refused; other jobs go on as"
                        + " before. See to the coordination service", "why",
                        reading.good() ? "its record is faulty" : reading.why());
            }
            return;
        }
        if (blind) {
            blind = false;
            Note.info(LOG, "reservations: the book can be read again");
        }
        readAt = now;
        long version = reading.only() == null ? Coordination.ABSENT : reading.only().version();
        book.load(page, CARELESS.equals("hasty") ? now - settle - 1 : now);
        if (version != Coordination.ABSENT) {
            lastPage = page;
            parts.updateLedger(askedAt, now, page);
            tell(page);
            tellTerms(page);
        }
        if (keeps()) {
            keep(page, version, now);
        }
    }

    /** Null: the record is no page, which is told once. */
    private LedgerState page(Coordination.Entry entry) {
        if (entry == null) {
            return LedgerState.EMPTY;
        }
        try {
            return text.read(entry.value());
        } catch (PageText.FaultyPageException e) {
            if (entry.version() != faultyVersion) {
                faultyVersion = entry.version();
                Note.warning(LOG, "reservations: the record {key} can't be used here: {why}. Give all"
                        + " dispatchers the same settings; if no program wrote it, remove it, and it is"
                        + " written anew", "key", entry.key(), "why", e.getMessage());
            }
            return null;
        }
    }

    /** Whether the book is this member's to keep now. */
    private boolean keeps() {
        var view = place.view();
        var fence = place.fence();
        if (fence == null || !view.mayAct() || editions.standing() != Editions.Standing.OURS) {
            return false;
        }
        var able = new FleetView(view.epoch(), editions.able(view.members()), view.self(), true,
                view.mayActUntil());
        return view.self().equals(KeyAssignment.ownerOf(BOOK, able));
    }

    private void keep(LedgerState stands, long version, long now) {
        long clears = Math.round(weight.getAsDouble() * plan.perWeight());
        mostCleared = CARELESS.equals("deaf") ? Math.max(mostCleared, clears) : clears;
        if (clears > 0) {
            // None known is no news of a site that has none: this process may have just begun.
            book.updateCapacity(mostCleared, now);
        }
        var wanted = plan.at().apply(wall.getAsLong());
        var names = new HashSet<String>();
        wanted.forEach(each -> names.add(each.service().name()));
        for (var each : stands.grants()) {
            if (!names.contains(each.reservation().service().name())) {
                book.cancel(each.reservation().service().name());
            }
        }
        wanted.forEach(this::ask);
        book.step(now, wall.getAsLong() - (CARELESS.equals("behind") ? BEHIND : 0));
        var fence = place.fence();
        if (book.state().equals(stands) || fence == null) {
            return;
        }
        var value = text.write(book.state());
        if (value.length > Coordination.LONGEST_VALUE) {
            Note.warning(LOG, "reservations: the book is not written, as it takes {bytes} bytes, and a record"
                    + " holds {most}; reserve with fewer windows or for fewer services", "bytes",
                    value.length,
                    "most", Coordination.LONGEST_VALUE);
            return;
        }
        var step = fence.guard(new Step().put(BOOK, value, version))
                .require(Editions.revisionKey(WHAT), editions.version());
        records.commit(step, result -> {
            // Whatever came of it, what is there now decides; after a failure at the next beat.
            if (result.fate() == Fate.DONE && !closed) {
                look();
            }
        });
    }

    private void ask(Reservation wanted) {
        var name = wanted.service().name();
        try {
            book.reserve(CARELESS.equals("upside") ? new Reservation(wanted.service(), wanted.perSecond(),
                    wanted.windows(), UPSIDE - wanted.rank(), wanted.capped()) : wanted);
            if (refused.remove(name)) {
                Note.info(LOG, "reservations: {service} fits now and is granted", "service", name);
            }
        } catch (ReservationException e) {
            if (refused.add(name)) {
                Note.warning(LOG, "{why} It is asked for again at each beat", "why", e.getMessage());
            }
        }
    }

    private void tellTerms(LedgerState page) {
        try {
            plan.terms().requireSameSettleTime(page);
            if (otherSettle != 0) {
                otherSettle = 0;
                Note.info(LOG, "reservations: the book settles in the same time as this replica now");
            }
        } catch (SettleTimeMismatchException e) {
            if (e.ledgerSettleTime() != otherSettle) {
                otherSettle = e.ledgerSettleTime();
                Note.warning(LOG, "reservations: {why}", "why", e.getMessage());
            }
        }
    }

    /** What has changed since the page before, a line for each service. */
    private void tell(LedgerState page) {
        var before = new HashMap<String, Grant>();
        told.grants().forEach(each -> before.put(each.reservation().service().name(), each));
        Map<String, Grant> after = new HashMap<>();
        for (var each : page.grants()) {
            var name = each.reservation().service().name();
            after.put(name, each);
            var was = before.get(name);
            if (was == null || was.allocated() != each.allocated()) {
                Note.info(LOG, "reservations: {service} is given {given} of {reserved} s a second; the site"
                        + " clears {clears}", "service", name, "given", each.allocated() / MICROS, "reserved",
                        each.reservation().perSecond() / MICROS, "clears", page.capacity() / MICROS);
            }
        }
        before.keySet().stream().filter(each -> !after.containsKey(each)).forEach(each ->
                Note.info(LOG, "reservations: {service} is out of the book", "service", each));
        told = page;
    }
}
