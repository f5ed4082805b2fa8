package ryemast.lab.health;

import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.History;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;

/**
 * What was wrong with which box and when, as one dispatcher could have it; immutable. A fault that strikes
 * all boxes alike is no box's own, and neither is one of jobs or of dispatchers.
 */
final class Truth {

    static final String WELL = "well";

    private final Scenario scenario;
    private final History history;
    private final int dispatcher;
    private final long beganAt;
    private final List<Fault> own;

    /** {@code dispatcher}: -1 for what holds for all of them. */
    Truth(Scenario scenario, History history, int dispatcher) {
        this.scenario = scenario;
        this.history = history;
        this.dispatcher = dispatcher;
        beganAt = beganAt(history);
        own = scenario.faults().stream().filter(fault -> strikesBoxes(fault)
                && fault.targets().size() < scenario.boxes().size()
                && (fault.dispatcher() < 0 || fault.dispatcher() == dispatcher)).toList();
    }

    /** Clients and faults begin once every dispatcher is there. */
    static long beganAt(History history) {
        return history.dispatchers().values().stream().mapToLong(life -> life.stream()
                .filter(each -> each.state() == DispatcherState.READY).findFirst().orElseThrow().at())
                .max().orElse(history.beganAt());
    }

    private static boolean strikesBoxes(Fault fault) {
        return !fault.targets().isEmpty() && switch (fault.kind()) {
            case DISPATCHER_KILL, DISPATCHER_PAUSE, DISPATCHER_RESTART -> false;
            default -> true;
        };
    }

    /** When the first fault of whatever kind begins; the run's end if there is none. */
    long from() {
        return beganAt + scenario.faults().stream().mapToLong(Fault::at).min().orElse(scenario.length());
    }

    /** When clients send no more new jobs. */
    long until() {
        return beganAt + scenario.length();
    }

    long beganAt() {
        return beganAt;
    }

    /** The boxes that have a fault of their own at some time. */
    Set<Integer> struck() {
        var struck = new TreeSet<Integer>();
        own.forEach(fault -> struck.addAll(fault.targets()));
        return struck;
    }

    /** When a box's first own fault begins. */
    long struckAt(int box) {
        return beganAt + own.stream().filter(fault -> fault.targets().contains(box)).mapToLong(Fault::at)
                .min()
                .orElseThrow();
    }

    /** When its last own fault is over, and it is up. */
    long wellFrom(int box) {
        long over = beganAt + own.stream().filter(fault -> fault.targets().contains(box))
                .mapToLong(fault -> fault.at() + fault.lasts()).max().orElseThrow();
        if (stateAt(box, over) == BoxState.READY) {
            return over;
        }
        return history.box(box).stream().filter(each -> each.at() > over && each.state() == BoxState.READY)
                .mapToLong(History.BoxAt::at).findFirst().orElse(Traffic.NEVER);
    }

    private BoxState stateAt(int box, long at) {
        var state = BoxState.READY;
        for (var each : history.box(box)) {
            if (each.at() > at) {
                break;
            }
            state = each.state();
        }
        return state;
    }

    /** Whether it has started lately, since the run began. */
    private boolean isCold(int box, long at) {
        long startedAt = Traffic.NEVER;
        var before = BoxState.READY;
        for (var each : history.box(box)) {
            if (each.at() > at) {
                break;
            }
            if (each.state() == BoxState.READY && before != BoxState.READY) {
                startedAt = each.at();
            }
            before = each.state();
        }
        return startedAt != Traffic.NEVER && at < startedAt + scenario.boxes().get(box).coldFor();
    }

    /**
     * When dispatchers stood still: what they can't have seen is no belief, and what they don't send no
     * choice.
     */
    boolean stoodStill(long from, long until) {
        return scenario.faults().stream().filter(fault -> fault.kind() == FaultKind.DISPATCHER_PAUSE)
                .anyMatch(fault -> beganAt + fault.at() < until
                        && beganAt + fault.at() + fault.lasts() > from);
    }

    /** What is true of a box at a time, in few words. */
    String of(int box, long at) {
        for (var fault : own) {
            if (fault.targets().contains(box) && isOn(fault, at)) {
                return word(fault);
            }
        }
        if (stateAt(box, at) != BoxState.READY) {
            return "down in order";
        }
        if (isCold(box, at)) {
            return "well, cold after a start";
        }
        var shared = new TreeSet<String>();
        scenario.faults().stream().filter(fault -> !own.contains(fault) && fault.dispatcher() < 0
                && isOn(fault, at)).forEach(fault -> shared.add(word(fault)));
        if (!shared.isEmpty()) {
            return "well, while " + String.join(" and ", shared);
        }
        return struck().contains(box) && at >= struckAt(box) ? "well, after a fault" : WELL;
    }

    private boolean isOn(Fault fault, long at) {
        return at >= beganAt + fault.at() && at < beganAt + fault.at() + fault.lasts();
    }

    static String word(Fault fault) {
        var word = fault.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        if (fault.kind() == FaultKind.SLOW) {
            return word + String.format(Locale.ROOT, " x%.0f", fault.size());
        }
        return fault.share() > 0 && fault.share() < 1 && fault.kind() != FaultKind.HEAVY
                ? word + " " + new DecimalFormat("0.##%", DecimalFormatSymbols.getInstance(Locale.ROOT))
                .format(fault.share()) : word;
    }
}
