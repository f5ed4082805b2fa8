package ryemast.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.world.Chance;
import ryemast.toml.TomlTable;

/**
 * What a scenario file says of one fault on a timetable, or of faults that strike at random; both end as
 * plain faults with a time, a length and boxes.
 *
 * <p>Where a figure is null the kind's own default holds ({@link FaultTraits}). Faults at random come as a
 * Poisson process; each of them draws by its number.
 *
 * @param at         null for faults at random
 * @param perMinute  null for a fault on a timetable
 * @param until      NaN: the end of the run
 * @param jobClass   -1: any
 * @param dispatcher for paths: whose
 */
record FaultPlan(String key, List<FaultKind> kinds, Range at, Range perMinute, double from, double until,
        Range lasts, Range every, Range share, Range size, int jobClass, int dispatcher, Aim aim) {

    private static final double A_DAY = 86_400;
    private static final double MINUTE = 60e6;
    /** More faults at random than this would say nothing that fewer don't. */
    private static final int MOST = 10_000;
    private static final List<String> PARTICULAR = List.of("boxes", "share", "of_kind", "in_zone", "all",
            "box", "dispatchers", "dispatcher", "for_s", "every_s", "share_of_jobs", "class", "size");

    /** What faults may name. */
    record Site(List<KindPlan> kinds, List<String> zones, List<String> classes, int leastDispatchers,
            Range length) {
    }

    static FaultPlan timed(TomlTable table, int number, Site site, Set<String> known) {
        var key = "fault " + number;
        var in = new Section(table, "fault", key, known);
        var words = in.texts("kind", List.of(), Choice.words(FaultKind.class));
        if (!in.given("kind")) {
            in.complain("kind", "is missing; expected one of " + String.join(", ",
                    Choice.words(FaultKind.class)));
        } else if (words.size() > 1) {
            in.complain("kind", "is a list; expected one kind, or a [[random_fault]] with kinds");
        }
        var kinds = kinds(words);
        double quarter = site.length().low() * Section.SECOND / 4;
        var at = in.seconds("at_s", quarter, 0, A_DAY);
        if (in.given("at_s") && at.high() >= site.length().low()) {
            in.complain("at_s", "is " + at.high() + "; expected less than the run's length, "
                    + site.length().low());
        }
        return rest(in, key, kinds, site, at, null, 0, Double.NaN);
    }

    static FaultPlan random(TomlTable table, int number, Site site, Set<String> known) {
        var key = "random fault " + number;
        var in = new Section(table, "random_fault", key, known);
        var words = in.texts("kinds", List.of(), Choice.words(FaultKind.class));
        if (!in.given("kinds")) {
            in.complain("kinds", "is missing; expected some of " + String.join(", ",
                    Choice.words(FaultKind.class)));
        }
        var perMinute = in.number("per_minute", 2, 0, 6_000);
        double length = site.length().low();
        double from = one(in, "from_s", 0);
        double until = one(in, "until_s", length);
        if (from >= length) {
            in.complain("from_s", "is " + from + "; expected less than the run's length, " + length);
        } else if (until <= from) {
            in.complain("until_s", "is " + until + "; expected more than from_s, " + from);
        }
        return rest(in, key, kinds(words), site, null, perMinute, from * Section.SECOND,
                in.given("until_s") ? until * Section.SECOND : Double.NaN);
    }

    private static double one(Section in, String key, double otherwise) {
        var range = in.seconds(key, otherwise * Section.SECOND, 0, A_DAY);
        if (range.low() != range.high()) {
            in.complain(key, "is a range; expected one number");
        }
        return range.low();
    }

    private static List<FaultKind> kinds(List<String> words) {
        return words.stream().map(each -> Choice.constant(FaultKind.class, each)).toList();
    }

    private static FaultPlan rest(Section in, String key, List<FaultKind> kinds, Site site, Range at,
            Range perMinute, double from, double until) {
        for (var particular : PARTICULAR) {
            if (in.given(particular) && !kinds.isEmpty()
                    && kinds.stream().noneMatch(each -> FaultTraits.of(each).takes(particular))) {
                in.complain(particular, "means nothing for " + Choice.word(kinds.get(0))
                        + "; expected it for " + String.join(", ", FaultTraits.takers(particular)) + " only");
            }
        }
        var lasts = in.seconds("for_s", 0, 0, A_DAY);
        var every = in.seconds("every_s", Section.SECOND, 0.01, A_DAY);
        var share = in.number("share_of_jobs", 1, 0, 1);
        double least = 0;
        double most = 3_600_000;
        for (var kind : kinds) {
            var size = FaultTraits.of(kind).size();
            least = size == null ? least : Math.max(least, size.least());
            most = size == null ? most : Math.min(most, size.most());
        }
        var size = in.number("size", least, least, most);
        int jobClass = -1;
        if (in.given("class")) {
            var named = in.texts("class", List.of(), site.classes());
            if (named.size() > 1) {
                in.complain("class", "is a list; expected the name of one class");
            }
            jobClass = named.isEmpty() ? -1 : site.classes().indexOf(named.get(0));
        }
        var dispatcher = in.count("dispatcher", 0, 0, 255);
        if (dispatcher.low() != dispatcher.high()) {
            in.complain("dispatcher", "is a range; expected one number");
        } else if (dispatcher.high() >= site.leastDispatchers()) {
            in.complain("dispatcher", "is " + (long) dispatcher.high() + "; expected 0 to "
                    + (site.leastDispatchers() - 1) + ", as dispatchers are numbered");
        }
        var aim = Aim.read(in, site.kinds(), site.zones(), site.leastDispatchers());
        return new FaultPlan(key, kinds, at, perMinute, from, until, in.given("for_s") ? lasts : null,
                in.given("every_s") ? every : null, in.given("share_of_jobs") ? share : null,
                in.given("size") ? size : null, jobClass, (int) dispatcher.low(), aim);
    }

    List<Fault> draw(List<BoxSpec> fleet, int dispatchers, long length, Chance chance) {
        if (at != null) {
            return List.of(one(kinds.get(0), at.time(chance), 0, fleet, dispatchers, chance));
        }
        var drawn = new ArrayList<Fault>();
        double rate = perMinute.draw(chance) / MINUTE;
        double end = Double.isNaN(until) ? length : Math.min(until, length);
        var draw = chance.stream("scenario " + key + " times", 0);
        var gap = ZigguratSampler.Exponential.of(draw);
        double time = from;
        while (drawn.size() < MOST) {
            time += gap.sample() / rate;
            var kind = kinds.get(draw.nextInt(kinds.size()));
            if (!(time < end)) {
                break;
            }
            drawn.add(one(kind, (long) time, drawn.size(), fleet, dispatchers, chance));
        }
        return drawn;
    }

    private Fault one(FaultKind kind, long time, long number, List<BoxSpec> fleet, int dispatchers, Chance
            chance) {
        var traits = FaultTraits.of(kind);
        var targets = switch (traits.struck()) {
            case BOXES, PATHS -> aim.drawBoxes(fleet, kind == FaultKind.ROLLING_RELEASE, chance, key, number);
            case DISPATCHERS -> aim.drawDispatchers(dispatchers, chance, key, number);
            case JOBS, DISCOVERY -> List.<Integer>of();
        };
        double low = 0;
        double high = 0;
        if (traits.size() != null) {
            // Each heavy job has a size of its own out of the range; other faults have one of it.
            boolean each = kind == FaultKind.HEAVY;
            low = size == null ? traits.size().low() : each ? size.low() : size.draw(chance, number);
            high = size == null ? traits.size().high() : each ? size.high() : low;
        }
        return new Fault(kind, time, micros(lasts, traits.lasts(), chance, number), targets,
                traits.byClass() ? jobClass : -1,
                share == null || !traits.takes("share_of_jobs") ? orNothing(traits.share()) :
                share.draw(chance, number), low, high, micros(every, traits.every(), chance, number),
                traits.struck() == FaultTraits.Struck.PATHS ? dispatcher : -1);
    }

    private static long micros(Range said, double seconds, Chance chance, long number) {
        if (Double.isNaN(seconds)) {
            return 0;
        }
        return said == null ? Math.round(seconds * Section.SECOND) : said.time(chance, number);
    }

    private static double orNothing(double value) {
        return Double.isNaN(value) ? 0 : value;
    }
}
