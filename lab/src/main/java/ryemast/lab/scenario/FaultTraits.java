package ryemast.lab.scenario;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.scenario.Scenario.FaultKind;

/**
 * Which keys of a scenario file each kind of fault takes, and what holds where they are absent.
 *
 * @param struck   what it strikes
 * @param lasts    seconds, or NaN: takes no {@code for_s}
 * @param every    seconds, or NaN: takes no {@code every_s}
 * @param share    of jobs, or NaN: takes no {@code share_of_jobs}
 * @param byClass  whether it may strike one class alone
 * @param size     and what it may lie between, or null: takes no {@code size}
 */
record FaultTraits(Struck struck, double lasts, double every, double share, boolean byClass, Size size) {

    enum Struck { BOXES, PATHS, DISPATCHERS, JOBS, DISCOVERY }

    /** A size and what it may lie between. */
    record Size(double low, double high, double least, double most) {
    }

    private static final double NONE = Double.NaN;
    private static final Map<FaultKind, FaultTraits> ALL = new EnumMap<>(FaultKind.class);

    static {
        for (var kind : FaultKind.values()) {
            ALL.put(kind, traits(kind));
        }
    }

    static FaultTraits of(FaultKind kind) {
        return ALL.get(kind);
    }

    private static FaultTraits traits(FaultKind kind) {
        return switch (kind) {
            case CRASH -> plain(Struck.BOXES, 3);
            case VANISH -> plain(Struck.BOXES, 8);
            case SLOW -> new FaultTraits(Struck.BOXES, 10, NONE, NONE, false, new Size(4, 4, 1, 1_000));
            case NEVER_STARTS, NEVER_ENDS, RESETS, ERRORS, LOST, TURNED_AWAY ->
                new FaultTraits(Struck.BOXES, 10, NONE, 0.1, true, null);
            case KEPT_DROPPED ->
                new FaultTraits(Struck.BOXES, 10, NONE, NONE, false, new Size(1_000, 1_000, 0, 3_600_000));
            case CUT_OFF -> new FaultTraits(Struck.PATHS, 10, NONE, NONE, false, null);
            case FLAPS -> new FaultTraits(Struck.BOXES, 10, 1, NONE, false, null);
            case DRAIN -> plain(Struck.BOXES, 1);
            case ROLLING_RELEASE -> new FaultTraits(Struck.BOXES, 1, 3, NONE, false, null);
            case HEAVY -> new FaultTraits(Struck.JOBS, 15, NONE, 0.02, true, new Size(5, 28, 1, 10_000));
            case POISONED -> new FaultTraits(Struck.JOBS, 10, NONE, 0.05, true, null);
            case DISCOVERY_STALLS, DISCOVERY_DOWN -> plain(Struck.DISCOVERY, 5);
            case DISPATCHER_KILL -> plain(Struck.DISPATCHERS, 0.5);
            case DISPATCHER_RESTART -> plain(Struck.DISPATCHERS, NONE);
            case DISPATCHER_PAUSE -> plain(Struck.DISPATCHERS, 1);
        };
    }

    private static FaultTraits plain(Struck struck, double lasts) {
        return new FaultTraits(struck, lasts, NONE, NONE, false, null);
    }

    /** Whether it takes a key of a fault's table; true for those that every kind takes. */
    boolean takes(String key) {
        return switch (key) {
            case "boxes", "share", "of_kind", "in_zone", "all", "box" -> struck == Struck.BOXES
                    || struck == Struck.PATHS;
            case "dispatcher" -> struck == Struck.PATHS;
            case "dispatchers" -> struck == Struck.DISPATCHERS;
            case "for_s" -> !Double.isNaN(lasts);
            case "every_s" -> !Double.isNaN(every);
            case "share_of_jobs" -> !Double.isNaN(share);
            case "class" -> byClass;
            case "size" -> size != null;
            default -> true;
        };
    }

    /** Those of the kinds that take a key, as words. */
    static List<String> takers(String key) {
        return List.of(FaultKind.values()).stream().filter(each ->
                of(each).takes(key)).map(Choice::word).toList();
    }
}
