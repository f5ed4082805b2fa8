package ryemast;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.function.BiFunction;
import java.util.logging.Logger;
import pipitladder.Dispatcher.Effect;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.coordination.Coordination;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Region;
import ryemast.core.WallClock;
import ryemast.entries.Entries;
import ryemast.entries.EntryFile;
import ryemast.entries.FaultyEntriesException;
import ryemast.firing.Fence;
import ryemast.firing.Firing;
import ryemast.firing.FleetSource;
import ryemast.firing.Plan;
import ryemast.fleet.FleetView;
import ryemast.fleet.MemberClock;
import ryemast.timetable.Limits;
import ryemast.timetable.calendar.Revision;

/**
 * Sets a timetable up: the entries file, and what fires them by this process's place in the fleet. Loaded
 * where the operator wants it, as a start should pay nothing. Guarantees that a file is used whole or not at
 * all, and that one that will not do changes nothing of what is in force.
 */
final class Timetabling implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Timetabling.class.getName());
    private static final long NOT_YET = Long.MAX_VALUE;
    /** In a trial that must fail: what must run once is sent with no record of it. */
    private static final boolean RECORDLESS =
            System.getProperty("ryemast.firing.careless", "").equals("record");

    private final Config config;
    private final Loop loop;
    private final EntryOwners owners = new EntryOwners();
    private final FleetPlace fleet;
    private final Firing firing;
    /** What the file was when it was last read well; the signal's thread changes it. */
    private volatile Entries inForce;
    /** When what is out had ended, as far as clients and workers go. */
    private long restingSince = NOT_YET;
    private boolean over;

    private Timetabling(Config config, Loop loop, Exchange exchange, Region workers, Coordination records,
            FleetPlace fleet) throws ConfigException {
        this.config = config;
        this.loop = loop;
        this.fleet = fleet;
        inForce = read();
        var wall = WallClock.ofSystem();
        fleet.tell(wall::now);
        var usual = Limits.DEFAULT;
        var limits = new Limits(usual.retention(), usual.maxRetained(), usual.maxOpen(), Config.MOST_FIRES,
                usual.maxFailures(), usual.orphanRetention());
        BiFunction<String, FleetView, String> owner = owners;
        firing = new Firing(loop, exchange, workers, records, new Place(), wall::now, owner,
                limits);
    }

    /** A {@link ConfigException} tells all that is wrong with the entries file, and where. */
    static Timetabling of(Config config, Loop loop, Exchange exchange, Region workers, Coordination records,
            FleetPlace fleet) throws ConfigException {
        return new Timetabling(config, loop, exchange, workers, records, fleet);
    }

    /** What stands between the exchange and the workers' side. */
    Region front() {
        return firing;
    }

    /** On the loop. */
    void begin() {
        firing.begin(plan(inForce));
    }

    private Entries read() throws ConfigException {
        var file = Path.of(config.tuning().timetable());
        try {
            return EntryFile.read(file, config.orgs(), config.lanes());
        } catch (FaultyEntriesException e) {
            throw new ConfigException("timetable.file:\n" + e.getMessage());
        }
    }

    /** Reads the file anew; not on the loop, as it waits for the disk. */
    void reload() throws ConfigException {
        var next = read();
        if (!Newer.replaces("timetable.file", next.revision(), inForce.revision())) {
            return;
        }
        inForce = next;
        loop.post(() -> firing.replace(plan(next)));
    }

    /** On the loop: owners are told of the entries that the plan is of. */
    private Plan plan(Entries entries) {
        var planned = new ArrayList<PlannedEntry>();
        for (var each : entries.entries()) {
            int jobClass = config.lanes().indexOf(each.jobClass());
            var its = config.settings().classes().get(jobClass);
            planned.add(new PlannedEntry(each, jobClass, Math.max(0, config.orgs().indexOf(each.tenant())),
                    its.effect() != Effect.REPEATABLE && !RECORDLESS, its.deadline()));
        }
        owners.entries(planned.stream().map(PlannedEntry::name).toList());
        Revision revision = entries.revision();
        return new Plan(revision.number(), revision.digest(), planned);
    }

    /** Nothing is claimed from now on; what is out ends, and then the fleet is left. On the loop. */
    void drain() {
        firing.drain();
    }

    /** Asked time and again once all jobs have ended: whether the fleet may be left. On the loop. */
    boolean isOver() {
        long now = loop.now();
        restingSince = Math.min(restingSince, now);
        boolean lost = now - restingSince >= config.tuning().coordination().lasts();
        if (!over && (firing.isQuiet() || lost)) {
            over = true;
            if (lost) {
                Note.warning(LOG, "timetable: ended without its last records, as they can't be written;"
                        + " another dispatcher settles what they were to say");
            }
        }
        return over;
    }

    @Override
    public void close() {
        firing.close();
    }

    /** This process's place, as fires see it. */
    private final class Place implements FleetSource {

        /** Judged by the clock as it is, which is never earlier than the time asked for. */
        @Override
        public FleetView view(long now) {
            return fleet.view();
        }

        @Override
        public Fence fence() {
            var held = fleet.held();
            return held == null ? null : new Fence(held.key(), held.version());
        }

        @Override
        public Collection<MemberClock> clocks() {
            return fleet.clocks();
        }

        @Override
        public void listen(Runnable changed) {
            fleet.listen(changed);
        }
    }
}
