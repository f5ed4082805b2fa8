package ryemast.lab.cli;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;

/** What goes wrong, in a sentence that needs no manual. */
final class FaultWords {

    private static final int FEW = 3;
    private static final double MICROS_PER_S = 1e6;

    private FaultWords() {
    }

    static String of(Fault fault, Scenario scenario) {
        var boxes = boxes(fault, scenario);
        var forTime = " for " + seconds(fault.lasts());
        var share = percent(fault.share());
        return switch (fault.kind()) {
            case CRASH -> boxes + ": the process dies; back, and cold, in " + seconds(fault.lasts());
            case VANISH -> boxes + ": gone without a word; back in " + seconds(fault.lasts());
            case SLOW -> boxes + ": " + number(fault.size()) + " times slower" + forTime;
            case NEVER_STARTS -> boxes + ": " + share + " of the jobs taken never start" + forTime;
            case NEVER_ENDS -> boxes + ": " + share + " of the jobs started never end" + forTime;
            case RESETS -> boxes + ": " + share + " of requests end in a reset" + forTime;
            case ERRORS -> boxes + ": " + share + " of jobs end in an error" + forTime;
            case LOST -> boxes + ": " + share + " of jobs are lost" + forTime;
            case TURNED_AWAY -> boxes + ": " + share + " of requests are turned away" + forTime;
            case KEPT_DROPPED -> boxes + ": connections that rested " + number(fault.size())
                    + " ms are dead without a word" + forTime;
            case FLAPS -> boxes + ": down and up every " + seconds(fault.every()) + forTime;
            case CUT_OFF -> boxes + ": cut off from dispatcher " + fault.dispatcher() + forTime;
            case DRAIN -> boxes + ": drains, stops, and starts anew, cold";
            case ROLLING_RELEASE -> boxes + ": released one after the other, every " + seconds(fault.every());
            case HEAVY -> share + " of jobs" + ofClass(fault, scenario) + " cost "
                    + number(fault.size()) + " to " + number(fault.sizeTo()) + " times their work" + forTime;
            case POISONED -> share + " of jobs" + ofClass(fault, scenario)
                    + " end in an error wherever they run" + forTime;
            case DISCOVERY_STALLS -> "discovery says nothing" + forTime;
            case DISCOVERY_DOWN -> "discovery is down" + forTime;
            case DISPATCHER_KILL -> dispatchers(fault) + " killed outright, started anew in "
                    + seconds(fault.lasts());
            case DISPATCHER_RESTART -> dispatchers(fault) + " told to end in order, and started anew";
            case DISPATCHER_PAUSE -> dispatchers(fault) + " standing still" + forTime;
        };
    }

    private static String boxes(Fault fault, Scenario scenario) {
        if (fault.targets().size() == scenario.boxes().size() && scenario.boxes().size() > 1) {
            return "all boxes";
        }
        var ids = fault.targets().stream().limit(FEW)
                .map(target -> target < scenario.boxes().size() ? scenario.boxes().get(target).id() : "?")
                .collect(Collectors.joining(", "));
        int more = fault.targets().size() - FEW;
        return (fault.targets().size() == 1 ? "box " : "boxes ") + ids
                + (more > 0 ? " and " + more + " more" : "");
    }

    private static String dispatchers(Fault fault) {
        List<Integer> which = fault.targets();
        return which.size() == 1 ? "dispatcher " + which.get(0) + " is"
                : "dispatchers " + which.stream().map(String::valueOf).collect(Collectors.joining(", "))
                + " are";
    }

    private static String ofClass(Fault fault, Scenario scenario) {
        return fault.jobClass() < 0 ? "" : " of class " + scenario.classes().get(fault.jobClass()).name();
    }

    private static String percent(double share) {
        return new Share(share).percent();
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.1f", value);
    }

    static String seconds(long micros) {
        return number(Math.round(micros / MICROS_PER_S * 10) / 10.0) + " s";
    }
}
