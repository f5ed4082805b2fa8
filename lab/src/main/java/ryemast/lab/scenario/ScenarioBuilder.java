package ryemast.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.JobClass;

/**
 * Makes a scenario without a file, out of the defaults that files have or out of another scenario. What the
 * parts must agree on (a rate by capacity, quotas, what the rules say of cold boxes) is the caller's matter,
 * but for {@link #uniform}, which sets the rules to its boxes.
 */
public final class ScenarioBuilder {

    private String name = "plain";
    private String title = "a plain site";
    private long seed;
    private long length = Defaults.LENGTH;
    private long resolution = Defaults.RESOLUTION;
    private List<String> zones = List.of(Defaults.ZONE);
    private List<String> kinds = List.of("plain");
    private List<BoxSpec> boxes = List.of();
    private List<JobClass> classes = List.of(Defaults.CLASS);
    private List<Scenario.Tenant> tenants = List.of();
    private Scenario.Load load = Defaults.LOAD;
    private Scenario.Clients clients = Defaults.CLIENTS;
    private Scenario.Dispatchers dispatchers = Defaults.DISPATCHERS;
    private Scenario.Discovery discovery = Defaults.DISCOVERY;
    private Scenario.Telling telling = Defaults.TELLING;
    private Scenario.Rules rules = Defaults.RULES;
    private Scenario.Goal goal = Defaults.GOAL;
    private List<Scenario.Fault> faults = Defaults.FAULTS;

    private Scenario.Model model = Defaults.MODEL;

    private ScenarioBuilder() {
    }

    /** Boxes that are all alike, warm and without a fault; one class of jobs, none of which come yet. */
    public static ScenarioBuilder uniform(int boxes, int cores, double speed, int queue) {
        var b = Defaults.BOX;
        var fleet = new ArrayList<BoxSpec>();
        for (int i = 0; i < boxes; i++) {
            var id = String.format(Locale.ROOT, "box-%04d-plain", i);
            fleet.add(new BoxSpec(i, id, 0, 0, i / Defaults.CELL_SIZE, cores, speed, cores, queue,
                    b.coldCapacity(), b.coldFor(), b.warmBy(), false, 0, b.cancel(), b.dropsExpired(),
                    b.handsBack(), cores * speed, cores * b.connections() / b.cores(),
                    b.idleLimit(), b.handshake(), b.handshakeWork()));
        }
        return new ScenarioBuilder().boxes(fleet);
    }

    /** All as in another scenario. */
    public static ScenarioBuilder from(Scenario s) {
        var copy = new ScenarioBuilder();
        copy.zones = s.zones();
        copy.kinds = s.kinds();
        return copy.name(s.name()).title(s.title()).seed(s.seed()).length(s.length())
                .resolution(s.resolution()).boxes(s.boxes()).classes(s.classes()).tenants(s.tenants())
                .load(s.load()).clients(s.clients()).dispatchers(s.dispatchers()).discovery(s.discovery())
                .telling(s.telling()).rules(s.rules()).goal(s.goal()).faults(s.faults())
                .model(s.model());
    }

    /** A class of jobs that all cost the same and are in time within the aim, in microseconds. */
    public static JobClass jobs(String name, double work, long aim, long deadline) {
        var c = Defaults.CLASS;
        return new JobClass(name, 1, work, Scenario.Spread.FIXED, 0, aim, 0, deadline, c.worth(),
                c.lateWorth(), c.effect(), c.slots());
    }

    /** Jobs a second that keep all cores of the boxes busy. */
    public double capacity() {
        return Fleet.jobsPerSecond(boxes, classes);
    }

    /** An open loop of so many jobs a second. */
    public ScenarioBuilder rate(double perSecond) {
        return load(new Scenario.Load(perSecond, 0, load.shape(), load.swing(), load.period(), load.hints(),
                load.hintSigma(), load.bodyBytes(), null));
    }

    /** A closed loop of so many clients. */
    public ScenarioBuilder connections(int count) {
        return load(new Scenario.Load(0, count, load.shape(), load.swing(), load.period(), load.hints(),
                load.hintSigma(), load.bodyBytes()));
    }

    public ScenarioBuilder name(String value) {
        name = value;
        return this;
    }

    public ScenarioBuilder title(String value) {
        title = value;
        return this;
    }

    public ScenarioBuilder seed(long value) {
        seed = value;
        return this;
    }

    public ScenarioBuilder length(long value) {
        length = value;
        return this;
    }

    public ScenarioBuilder resolution(long value) {
        resolution = value;
        return this;
    }

    public ScenarioBuilder zones(List<String> value) {
        zones = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder kinds(List<String> value) {
        kinds = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder boxes(List<BoxSpec> value) {
        boxes = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder classes(List<JobClass> value) {
        classes = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder tenants(List<Scenario.Tenant> value) {
        tenants = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder load(Scenario.Load value) {
        load = value;
        return this;
    }

    public ScenarioBuilder clients(Scenario.Clients value) {
        clients = value;
        return this;
    }

    public ScenarioBuilder dispatchers(Scenario.Dispatchers value) {
        dispatchers = value;
        return this;
    }

    public ScenarioBuilder discovery(Scenario.Discovery value) {
        discovery = value;
        return this;
    }

    public ScenarioBuilder telling(Scenario.Telling value) {
        telling = value;
        return this;
    }

    public ScenarioBuilder rules(Scenario.Rules value) {
        rules = value;
        return this;
    }

    public ScenarioBuilder goal(Scenario.Goal value) {
        goal = value;
        return this;
    }

    public ScenarioBuilder faults(List<Scenario.Fault> value) {
        faults = List.copyOf(value);
        return this;
    }

    public ScenarioBuilder model(Scenario.Model value) {
        model = value;
        return this;
    }

    public Scenario build() {
        return new Scenario(name, title, seed, length, resolution, zones, kinds, boxes, classes, tenants,
                load, clients, dispatchers, discovery, telling, rules, goal, faults, model);
    }
}
