package ryemast.lab.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import ryemast.lab.scenario.Scenario.JobClass;
import ryemast.lab.world.Chance;
import ryemast.toml.TomlTable;

/** What a scenario file says of jobs: their classes, who sends them, how many, and how clients behave. */
record DemandPlan(List<ClassPlan> classes, List<TenantPlan> tenants, Range ratePerSecond, Range ofCapacity,
        Range connections, Range quota, Replay replay, Function<Chance, Scenario.Load> load,
        Function<Chance, Scenario.Clients> clients) {

    private static final double A_MINUTE_MS = 60_000;
    private static final double AN_HOUR_MS = 3_600_000;
    /** How far shares may be from adding up to 1; what is drawn is scaled to 1. */
    private static final double NEARLY = 0.01;

    /** {@code share}: what the drawn one has is scaled so that all add up to 1. */
    record ClassPlan(String name, Range share, Range slots, Function<Chance, JobClass> one) {
    }

    record TenantPlan(String name, Range share, Range usage) {
    }

    static DemandPlan read(Function<String, Section> file, List<TomlTable> classTables,
            List<TomlTable> tenantTables, Path folder, Set<String> known) {
        var in = file.apply("load");
        var rate = in.number("rate_per_s", 0, 0.001, 1_000_000);
        var ofCapacity = in.number("of_capacity", Defaults.OF_CAPACITY, 0.001, 100);
        var connections = in.count("connections", 0, 1, 100_000);
        var said = new ArrayList<String>();
        for (var key : List.of("rate_per_s", "of_capacity", "connections", "replay")) {
            if (in.given(key)) {
                said.add(key);
            }
        }
        if (said.size() > 1) {
            in.complain(said.get(1), said.get(0) +
                    " is given already; expected one of rate_per_s, of_capacity, "
                    + "connections and replay");
        }
        for (var key : List.of("shape", "swing", "period_s")) {
            if (in.given(key) && said.contains("connections")) {
                in.complain(key,
                        "a closed loop has no rate of its own; expected no such key beside connections");
            } else if (in.given(key) && said.contains("replay")) {
                in.complain(key, "the jobs come when they came; expected no such key beside replay");
            }
        }
        var classes = classes(classTables, known);
        var tenants = tenants(tenantTables, known);
        boolean drawn = !said.contains("connections") && !said.contains("replay");
        return new DemandPlan(classes, tenants, said.contains("rate_per_s") ? rate : null,
                drawn ? ofCapacity : null, said.contains("connections") ? connections : null,
                in.number("quota_of_capacity", Defaults.QUOTA_OF_CAPACITY, 0.001, 100),
                replay(in, folder, classes, tenants), load(in), clients(file.apply("clients")));
    }

    /** The file beside the scenario's own, unless its path says otherwise. */
    private static Replay replay(Section in, Path folder, List<ClassPlan> classes, List<TenantPlan> tenants) {
        var named = in.text("replay", null);
        if (named == null) {
            return null;
        }
        try {
            return Replay.read(folder.resolve(named), classes.stream().map(ClassPlan::name).toList(),
                    tenants.stream().map(TenantPlan::name).toList());
        } catch (IOException | UncheckedIOException | InvalidPathException e) {
            in.complain("replay", "can't be read: " + (e instanceof NoSuchFileException
                    ? "there is no file " + e.getMessage() : e.getMessage()));
            return null;
        }
    }

    private static Function<Chance, Scenario.Load> load(Section in) {
        var usual = Defaults.LOAD;
        var shape = in.choice("shape", usual.shape(), Scenario.Shape.class);
        var swing = in.number("swing", usual.swing(), 0, 1);
        var period = in.seconds("period_s", usual.period(), 0.01, 86_400);
        var hints = in.choice("hints", usual.hints(), Scenario.Hints.class);
        var sigma = in.number("hint_sigma", usual.hintSigma(), 0, 5);
        var body = in.count("body_bytes", usual.bodyBytes(), 0, 65_536);
        return chance -> new Scenario.Load(0, 0, shape.draw(Scenario.Shape.class, chance), swing.draw(chance),
                period.time(chance), hints.draw(Scenario.Hints.class, chance), sigma.draw(chance),
                body.count(chance));
    }

    private static Function<Chance, Scenario.Clients> clients(Section in) {
        var usual = Defaults.CLIENTS;
        var retries = in.count("retries", usual.retries(), 0, 100);
        var backoff = in.choice("backoff", usual.backoff(), Scenario.Backoff.class);
        var time = in.millis("backoff_ms", usual.backoffTime(), 0, A_MINUTE_MS);
        var honour = in.number("honour", usual.honour(), 0, 1);
        var impatient = in.number("impatient", usual.impatient(), 0, 1);
        var marks = in.flag("marks_retry", usual.marksRetry());
        var over = in.number("over_share_worth", usual.overShareWorth(), 0, 1);
        return chance -> new Scenario.Clients(retries.count(chance),
                backoff.draw(Scenario.Backoff.class, chance), time.time(chance),
                honour.draw(chance), impatient.draw(chance), marks, over.draw(chance));
    }

    private static List<ClassPlan> classes(List<TomlTable> tables, Set<String> known) {
        var usual = Defaults.CLASS;
        if (tables.isEmpty()) {
            return List.of(new ClassPlan(usual.name(), new Range("", 1, 1, 1, false),
                    new Range("", usual.slots(), usual.slots(), 1, true), chance -> usual));
        }
        var plans = new ArrayList<ClassPlan>();
        var names = new HashSet<String>();
        for (var table : tables) {
            var name = Section.name(table, names, known, "class");
            var in = new Section(table, "class", "class " + name, known);
            var share = in.number("share", 1.0 / tables.size(), 0.0001, 1);
            var work = in.millis("work_ms", usual.meanWork(), 0.001, AN_HOUR_MS);
            var spread = in.choice("spread", usual.spread(), Scenario.Spread.class);
            var variation = in.number("cv", usual.variation(), 0, 20);
            var aim = in.millis("aim_ms", usual.aim(), 0.1, AN_HOUR_MS);
            var stretch = in.number("stretch", usual.stretch(), 0, 1_000);
            var deadline = in.millis("deadline_ms", usual.deadline(), 1, AN_HOUR_MS);
            if (aim.high() > deadline.low()) {
                in.complain("aim_ms", "is " + aim.high() + "; expected at most the deadline, "
                        + deadline.low());
            }
            var worth = in.number("worth", usual.worth(), 0, 1_000_000);
            var late = in.number("late_worth", usual.lateWorth(), 0, 1);
            var effect = in.choice("effect", usual.effect(), Scenario.Effect.class);
            var slots = in.count("slots", (long) usual.slots(), 1, 1_000);
            plans.add(new ClassPlan(name, share, slots, chance -> new JobClass(name, share.draw(chance),
                    work.draw(chance), spread.draw(Scenario.Spread.class, chance), variation.draw(chance),
                    aim.time(chance), stretch.draw(chance), deadline.time(chance), worth.draw(chance),
                    late.draw(chance), effect.draw(Scenario.Effect.class, chance), slots.draw(chance))));
        }
        sumToOne(tables, plans.stream().map(ClassPlan::share).toList(), "classes");
        return List.copyOf(plans);
    }

    private static List<TenantPlan> tenants(List<TomlTable> tables, Set<String> known) {
        var plans = new ArrayList<TenantPlan>();
        var names = new HashSet<String>();
        for (var table : tables) {
            var name = Section.name(table, names, known, "tenant");
            var in = new Section(table, "tenant", "tenant " + name, known);
            plans.add(new TenantPlan(name, in.number("share", 1.0 / tables.size(), 0.0001, 1),
                    in.number("usage", 1, 0, 1_000)));
        }
        sumToOne(tables, plans.stream().map(TenantPlan::share).toList(), "tenants");
        return List.copyOf(plans);
    }

    private static void sumToOne(List<TomlTable> tables, List<Range> shares, String what) {
        double low = shares.stream().mapToDouble(Range::low).sum();
        double high = shares.stream().mapToDouble(Range::high).sum();
        if (!tables.isEmpty() && (low > 1 + NEARLY || high < 1 - NEARLY)) {
            tables.get(0).complain("share", "makes the shares of all " + what + " add up to "
                    + Section.rounded(low)
                    + (low == high ? "" : " to " + Section.rounded(high)) + "; expected 1");
        }
    }

    List<JobClass> drawClasses(Chance chance) {
        var drawn = classes.stream().map(each -> each.one().apply(chance)).toList();
        double sum = drawn.stream().mapToDouble(JobClass::share).sum();
        return drawn.stream().map(c -> new JobClass(c.name(), c.share() / sum, c.meanWork(), c.spread(),
                c.variation(), c.aim(), c.stretch(), c.deadline(), c.worth(), c.lateWorth(), c.effect(),
                c.slots())).toList();
    }

    /** {@code capacity}: jobs a second that the fleet can do. */
    List<Scenario.Tenant> drawTenants(double capacity, Chance chance) {
        double quota = quota().draw(chance) * capacity;
        var drawn = tenants.stream().map(each -> {
            double share = each.share().draw(chance);
            return new Scenario.Tenant(each.name(), share, share * each.usage().draw(chance), 0);
        }).toList();
        double shares = sum(drawn, Scenario.Tenant::share);
        double usages = sum(drawn, Scenario.Tenant::usage);
        return drawn.stream().map(each -> new Scenario.Tenant(each.name(), each.share() / shares,
                usages > 0 ? each.usage() / usages : each.share() / shares, each.share() / shares *
                quota)).toList();
    }

    Scenario.Load drawLoad(double capacity, Chance chance) {
        var l = load.apply(chance);
        double rate = ratePerSecond != null ? ratePerSecond.draw(chance)
                : ofCapacity != null ? ofCapacity.draw(chance) * capacity : 0;
        if (replay != null) {
            long last = replay.jobs().get(replay.jobs().size() - 1).at();
            rate = replay.jobs().size() * Section.SECOND / Math.max(1, last);
        }
        return new Scenario.Load(rate, connections != null ? connections.count(chance) : 0, l.shape(),
                l.swing(), l.period(), l.hints(), l.hintSigma(), l.bodyBytes(), replay);
    }

    private static <T> double sum(List<T> all, ToDoubleFunction<T> of) {
        return all.stream().mapToDouble(of).sum();
    }
}
