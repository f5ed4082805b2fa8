package ryemast.lab.scenario;

import java.util.List;
import java.util.function.Function;
import ryemast.lab.world.Chance;

/** What a scenario file says of dispatchers, discovery, call-backs, rules and the goal. */
record SitePlan(Function<Chance, Scenario.Dispatchers> dispatchers, Function<Chance, Scenario.Discovery>
        discovery,
        Choice weights, Function<Chance, Scenario.Telling> telling, Function<Chance, Scenario.Rules> rules,
        Scenario.Goal goal, Function<Chance, Scenario.Model> model, int leastDispatchers) {

    private static final double A_DAY = 86_400;
    private static final double A_MINUTE_MS = 60_000;

    /** What {@code weight} in discovery's list holds. */
    enum Weights { NONE, NOMINAL, ROUGH }

    static SitePlan read(Function<String, Section> file, List<KindPlan> kinds) {
        var dispatchers = file.apply("dispatchers");
        var count = dispatchers.count("count", Defaults.DISPATCHERS.count(), 1, 256);
        var discovery = file.apply("discovery");
        return new SitePlan(dispatchers(dispatchers, count), discovery(discovery),
                discovery.choice("weights", Weights.NOMINAL, Weights.class), telling(file.apply("telling")),
                rules(file.apply("rules"), kinds), goal(file.apply("goal")), model(file.apply("model")),
                (int) count.low());
    }

    private static Function<Chance, Scenario.Dispatchers> dispatchers(Section in, Range count) {
        var usual = Defaults.DISPATCHERS;
        var cores = in.count("cores", usual.cores(), 0, 64);
        var memory = in.count("memory_mb", usual.memoryMb(), 16, 65_536);
        var sockets = in.count("sockets", usual.sockets(), 64, 1_000_000);
        var notice = in.seconds("notice_s", usual.notice(), 0, A_DAY);
        return chance -> new Scenario.Dispatchers(count.count(chance), cores.count(chance),
                memory.count(chance), sockets.count(chance), notice.time(chance));
    }

    private static Function<Chance, Scenario.Discovery> discovery(Section in) {
        var usual = Defaults.DISCOVERY;
        var notice = in.seconds("notice_s", usual.notice(), 0, A_DAY);
        var silent = in.seconds("silent_notice_s", usual.silentNotice(), 0, A_DAY);
        var add = in.seconds("add_s", usual.add(), 0, A_DAY);
        var call = in.millis("call_ms", usual.callTime(), 0, A_MINUTE_MS);
        var timeout = in.millis("timeout_ms", usual.timeout(), 1, A_MINUTE_MS);
        var beat = in.seconds("beat_s", usual.beat(), 0.01, A_DAY);
        var through = in.flag("consul", false) ? Scenario.Through.CONSUL : Scenario.Through.PLATFORM;
        return chance -> new Scenario.Discovery(notice.time(chance), silent.time(chance), add.time(chance),
                call.time(chance), timeout.time(chance), beat.time(chance), through);
    }

    private static Function<Chance, Scenario.Telling> telling(Section in) {
        var usual = Defaults.TELLING;
        var starts = in.flag("starts", usual.starts());
        var progress = in.seconds("progress_s", usual.progressEvery(), 0, A_DAY);
        var tries = in.count("tries", usual.tries(), 1, 10);
        var retry = in.millis("retry_after_ms", usual.retryAfter(), 1, A_MINUTE_MS);
        return chance -> new Scenario.Telling(starts, progress.time(chance), tries.count(chance),
                retry.time(chance));
    }

    private static Function<Chance, Scenario.Rules> rules(Section in, List<KindPlan> kinds) {
        var usual = Defaults.RULES;
        double coldest = kinds.stream().mapToDouble(each -> each.coldFrom().low()).min()
                .orElse(usual.startCapacity());
        double slowest = kinds.stream().mapToDouble(each -> each.coldFor().high() * Section.SECOND).max()
                .orElse(usual.coldFor());
        var grace = in.millis("drain_grace_ms", usual.drainGrace(), 0, A_MINUTE_MS);
        var multiple = in.number("fall_multiple", usual.fallMultiple(), 1, 1_000);
        var ofChance = in.number("fall_chance", usual.fallChance(), 0, 100);
        var window = in.millis("fall_window_ms", usual.fallWindow(), 1, A_MINUTE_MS);
        var start = in.number("start_capacity", coldest, 0.001, 1);
        if (start.high() > coldest) {
            in.complain("start_capacity", "is " + start.high() + "; expected at most " + coldest
                    + ", with which the coldest kind of box may start");
        }
        var cold = in.seconds("cold_for_s", slowest, 0, A_DAY);
        if (cold.low() * Section.SECOND < slowest) {
            in.complain("cold_for_s", "is " + cold.low() + "; expected at least " + slowest / Section.SECOND
                    + ", after which the slowest kind of box is warm");
        }
        var ask = in.seconds("ask_every_s", usual.askEvery(), 0.1, A_DAY);
        var answer = in.millis("grace_to_answer_ms", usual.graceToAnswer(), 0, A_MINUTE_MS);
        var attempts = in.count("max_attempts", usual.maxAttempts(), 1, 100);
        var copies = in.flag("second_copies", usual.secondCopies());
        var cancel = in.flag("cancel", usual.cancel());
        var advice = in.flag("retry_after", usual.retryAfter());
        var longest = in.millis("max_retry_after_ms", usual.maxRetryAfter(), 0, A_MINUTE_MS);
        var connect = in.millis("connect_timeout_ms", usual.connectTimeout(), 1, A_MINUTE_MS);
        return chance -> new Scenario.Rules(grace.time(chance), multiple.draw(chance),
                ofChance.draw(chance), window.time(chance), start.draw(chance), cold.time(chance),
                ask.time(chance), answer.time(chance),
                attempts.count(chance), copies, cancel, advice, longest.time(chance), connect.time(chance));
    }

    private static Function<Chance, Scenario.Model> model(Section in) {
        var usual = Defaults.MODEL;
        var oneWay = in.millis("one_way_ms", usual.oneWay(), 0, A_MINUTE_MS);
        var jitter = in.millis("jitter_ms", usual.jitter(), 0, A_MINUTE_MS);
        var start = in.millis("start_ms", usual.startTime(), 0, A_MINUTE_MS);
        var turn = in.millis("turn_ms", usual.turnCost(), 0, A_MINUTE_MS);
        var event = in.millis("event_ms", usual.eventCost(), 0, A_MINUTE_MS);
        return chance -> new Scenario.Model(oneWay.time(chance), jitter.time(chance), start.time(chance),
                turn.time(chance), event.time(chance));
    }

    private static Scenario.Goal goal(Section in) {
        var usual = Defaults.GOAL;
        var none = new Chance(0);
        double whole = fixed(in, "whole", usual.whole(), none);
        double window = fixed(in, "worst_window", usual.worstWindow(), none);
        double jobClass = fixed(in, "worst_class", usual.worstClass(), none);
        double tenant = fixed(in, "worst_tenant", usual.worstTenant(), none);
        double sum = whole + window + jobClass + tenant;
        if (Math.abs(sum - 1) > 0.01) {
            in.complain("whole", "makes whole, worst_window, worst_class and worst_tenant add up to "
                    + Section.rounded(sum) + "; expected 1");
        }
        return new Scenario.Goal(whole, window, jobClass, tenant,
                in.seconds("window_s", usual.window(), 0.1, A_DAY).time(none),
                fixed(in, "late_fail", usual.lateFail(), none), fixed(in, "waste", usual.waste(), none));
    }

    /** A weight that is the same in every run: a range of it would compare runs by different measures. */
    private static double fixed(Section in, String key, double otherwise, Chance none) {
        var range = in.number(key, otherwise, 0, 1);
        if (range.low() != range.high()) {
            in.complain(key, "is a range; expected one number, as runs are compared by it");
        }
        return range.low();
    }
}
