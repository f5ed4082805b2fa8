package ryemast;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import pipitladder.Dispatcher;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.coordination.Coordination;
import ryemast.coordination.Editions;
import ryemast.coordination.Fence;
import ryemast.core.Loop;
import ryemast.core.WallClock;
import ryemast.entries.FaultyEntriesException;
import ryemast.entries.ReservationFile;
import ryemast.entries.Reservations;
import ryemast.entries.Reservations.Wanted;
import ryemast.fleet.FleetView;
import ryemast.reservation.ReservationLedger;
import ryemast.reservation.MemberQuotas;
import ryemast.reservation.Reservation;
import ryemast.reservation.ReservingDispatcher;
import ryemast.reservation.Service;
import ryemast.reservation.Span;
import ryemast.reservation.LedgerSettings;
import ryemast.reserving.BookKeeping;
import ryemast.reserving.Place;
import ryemast.reserving.Plan;
import ryemast.reserving.Weighing;

/**
 * Sets reservations up: the file, what stands before the decision module, and what keeps the book. Loaded
 * where the operator wants it, as a start should pay nothing. Guarantees that a file is used whole or not at
 * all, and that one that will not do changes nothing of what is in force.
 */
final class Reserved implements AutoCloseable {

    private static final String KEY = "reservations.file";
    /** Windows are entered so far ahead, counted from the day's begin: they change once a day. */
    private static final Duration AHEAD = Duration.ofDays(8);
    /** Where none is so near, the next one is entered that begins within this. */
    private static final Duration FAR = Duration.ofDays(400);
    /** For a window that has no time left: it is closed, and what is capped stays so. */
    private static final List<Span> CLOSED = List.of(new Span(0, 1));
    private static final long MICROS = 1_000_000;

    private final Config config;
    private final Loop loop;
    private final long settle;
    private final MemberQuotas parts;
    private final Weighing front;
    private FleetPlace fleet;
    private BookKeeping keeping;
    /** What the file was when it was last read well; the signal's thread changes it. */
    private volatile Reservations inForce;

    private Reserved(Config config, Loop loop, Dispatcher inner) throws ConfigException {
        this.config = config;
        this.loop = loop;
        inForce = read();
        var coordination = config.tuning().coordination();
        settle = Math.round(coordination.lasts() * (1 + coordination.drift()));
        parts = new MemberQuotas(config.name(), terms(inForce));
        front = new Weighing(new ReservingDispatcher(inner, parts, config.settings().limits()));
    }

    private LedgerSettings terms(Reservations from) {
        var figures = from.figures();
        return new LedgerSettings(settle, figures.margin(), figures.band(), figures.hold(), figures.burst(),
                figures.lend());
    }

    /** A {@link ConfigException} tells all that is wrong with the file, and where. */
    static Reserved round(Dispatcher inner, Config config, Loop loop) throws ConfigException {
        if (config.tuning().coordination() == null) {
            throw new ConfigException(KEY + ": is set, and coordination.kind is none; expected \"consul\", or"
                    + " \"embedded\" on a site with one dispatcher, as what is promised must be recorded");
        }
        return new Reserved(config, loop, inner);
    }

    /** What takes the decision module's place. */
    Dispatcher front() {
        return front;
    }

    void join(Coordination records, FleetPlace place) {
        fleet = place;
        var coordination = config.tuning().coordination();
        keeping = new BookKeeping(loop, records, new InFleet(), new ReservationLedger(terms(inForce)), parts,
                new BookKeeping.Site(coordination.lasts() / 3, settle, config.orgs(), config.lanes()),
                WallClock.ofSystem()::now, front::weight);
    }

    /** On the loop. */
    void begin() {
        keeping.begin(plan(inForce));
        fleet.onLists(keeping::members);
        fleet.want(() -> parts.reportDemand(loop.now()));
    }

    private Reservations read() throws ConfigException {
        try {
            return ReservationFile.read(Path.of(config.tuning().reservations()), config.orgs(),
                    config.lanes());
        } catch (FaultyEntriesException e) {
            throw new ConfigException(KEY + ":\n" + e.getMessage());
        }
    }

    /** Reads the file anew; not on the loop, as it waits for the disk. */
    void reload() throws ConfigException {
        var next = read();
        if (!Newer.replaces(KEY, next.revision(), inForce.revision())) {
            return;
        }
        inForce = next;
        loop.post(() -> keeping.replace(plan(next)));
    }

    private Plan plan(Reservations from) {
        var revision = from.revision();
        // One revision in two times to settle would have two keepers undo each other's pages.
        var digest = revision.digest() + "-" + settle + "us";
        return new Plan(new Editions.Edition(revision.number(), digest, from.wanted().size()
                + " reservations"), terms(from), from.perWeight(), wall -> {
                    var all = new ArrayList<Reservation>();
                    from.wanted().forEach(each -> all.add(reservation(each, wall)));
                    return all;
                });
    }

    private static Reservation reservation(Wanted from, long wall) {
        return new Reservation(new Service(from.name(), from.tenant(), from.classes()), from.perSecond(),
                windows(from, wall), from.rank(), from.capped());
    }

    /** The same at every replica for a whole day, however its clock is off within it. */
    private static List<Span> windows(Wanted from, long wall) {
        if (from.window() == null) {
            return List.of();
        }
        var day = Instant.EPOCH.plus(wall, ChronoUnit.MICROS).truncatedTo(ChronoUnit.DAYS);
        var near = from.window().spans(day, day.plus(AHEAD));
        if (near.isEmpty()) {
            var next = from.window().next(day, FAR);
            return next == null ? CLOSED : List.of(span(next.from(), next.until()));
        }
        return near.stream().map(each -> span(each.from(), each.until())).toList();
    }

    private static Span span(Instant from, Instant until) {
        return new Span(micros(from), micros(until));
    }

    private static long micros(Instant at) {
        return at.getEpochSecond() * MICROS + at.getNano() / 1_000;
    }

    @Override
    public void close() {
        keeping.close();
    }

    /** This process's place, as the book's keeper sees it. */
    private final class InFleet implements Place {

        @Override
        public String self() {
            return config.name();
        }

        @Override
        public Fence fence() {
            return fleet.held();
        }

        @Override
        public FleetView view() {
            return fleet.view();
        }

        @Override
        public long incarnation() {
            return fleet.incarnation();
        }
    }
}
