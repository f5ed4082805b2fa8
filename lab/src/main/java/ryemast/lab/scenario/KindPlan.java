package ryemast.lab.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.function.BiFunction;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.CancelReach;
import ryemast.lab.scenario.Scenario.WarmBy;
import ryemast.lab.world.Chance;

/**
 * What a scenario file says of one kind of box.
 *
 * <p>All boxes of a kind share what is drawn for it, but for their speed: each has its own, lognormal about
 * the kind's.
 *
 * @param speeds   of each of its boxes, or null: they are drawn
 * @param pattern  a box of it, made with the kind's number, before it has a place, an id and its own speed
 */
record KindPlan(String name, double[] speeds, Range count, Range cellSize, Range speedVariation,
        Range coldFrom, Range coldFor,
        List<String> zones, double leastSlots, BiFunction<Chance, Integer, BoxSpec> pattern) {

    private static final double A_DAY = 86_400;

    static KindPlan read(Section in, String name, List<String> zones) {
        var usual = Defaults.BOX;
        var speeds = in.numbers("speeds", 0.001, 1_000);
        for (var key : List.of("count", "speed", "speed_cv")) {
            if (speeds != null && in.given(key)) {
                in.complain(key, "each box's own speed is given; expected no such key beside speeds");
            }
        }
        var count = in.count("count", speeds == null ? 1 : speeds.length, 0, 10_000);
        var cores = in.count("cores", usual.cores(), 1, 256);
        var speed = in.number("speed", speeds == null ? usual.speed()
                : Arrays.stream(speeds).average().orElse(1), 0.001, 1_000);
        var variation = in.number("speed_cv", 0, 0, 3);
        var slots = in.number("slots_per_core", 1, 0.01, 1_000);
        var queue = in.number("queue_per_core", (double) usual.queue() / usual.cores(), 0, 100_000);
        var coldFrom = in.number("cold_from", usual.coldCapacity(), 0.001, 1);
        var coldFor = in.seconds("cold_s", usual.coldFor(), 0, A_DAY);
        var warmBy = in.choice("warm_by", usual.warmBy(), WarmBy.class);
        var startsCold = in.flag("starts_cold", usual.startsCold());
        var errors = in.number("error_rate", usual.errorShare(), 0, 1);
        var cancel = in.choice("cancel", usual.cancel(), CancelReach.class);
        var dropsExpired = in.flag("drops_expired", usual.dropsExpired());
        var handsBack = in.flag("drain_hands_back", usual.handsBack());
        var connections = in.number("connections_per_core", (double) usual.connections() / usual.cores(),
                0.01, 100_000);
        var idle = in.seconds("idle_s", usual.idleLimit(), 0.01, A_DAY);
        var handshake = in.millis("handshake_ms", usual.handshake(), 0, 10_000);
        var handshakeWork = in.millis("handshake_work_ms", usual.handshakeWork(), 0, 10_000);
        var cellSize = in.count("cell_size", Defaults.CELL_SIZE, 1, 10_000);
        var here = in.texts("zones", zones, zones);
        return new KindPlan(name, speeds, count, cellSize, variation, coldFrom, coldFor, here,
                places(cores.low(), slots.low()), (chance, number) -> {
                    int cpus = cores.count(chance);
                    return new BoxSpec(0, "", number, 0, 0, cpus, speed.draw(chance),
                            (int) places(cpus, slots.draw(chance)),
                            (int) Math.round(cpus * queue.draw(chance)), coldFrom.draw(chance),
                            coldFor.time(chance), warmBy.draw(WarmBy.class, chance), startsCold,
                            errors.draw(chance), cancel.draw(CancelReach.class, chance), dropsExpired,
                            handsBack, 1, (int) places(cpus, connections.draw(chance)), idle.time(chance),
                            handshake.time(chance), handshakeWork.time(chance));
                });
    }

    private static double places(double cores, double perCore) {
        return Math.max(1, Math.round(cores * perCore));
    }
}
