package ryemast.lab.cli;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Locale;
import java.util.Queue;
import java.util.function.Consumer;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.sockets.EmulatedSite.Progress;

/** Tells a run as it happens, a line at a time: what strikes, what is over, and how jobs come and go. */
final class Story {

    private static final double MICROS_PER_S = 1e6;
    private static final long EVERY = 2_000_000;

    private record Event(long at, String words) {
    }

    private final Consumer<String> out;
    private final Queue<Event> events = new ArrayDeque<>();
    private long tellAt = EVERY;
    private long askedBefore;
    private long answeredBefore;
    private long before;
    private int ready;

    Story(Scenario scenario, Consumer<String> out) {
        this.out = out;
        scenario.faults().stream().sorted(Comparator.comparingLong(Fault::at))
                .map(fault -> new Event(fault.at(), FaultWords.of(fault, scenario))).forEach(events::add);
        ready = scenario.dispatchers().count();
    }

    void begins() {
        out.accept(time(0) + "the dispatcher is ready: clients come");
    }

    void at(Progress progress) {
        while (!events.isEmpty() && events.peek().at() <= progress.elapsed()) {
            out.accept(time(events.peek().at()) + "! " + events.remove().words());
        }
        if (progress.ready() != ready) {
            ready = progress.ready();
            out.accept(time(progress.elapsed()) + "! " + ready + " dispatchers can be reached");
        }
        if (progress.elapsed() >= tellAt) {
            tellAt += EVERY;
            double seconds = (progress.elapsed() - before) / MICROS_PER_S;
            out.accept(time(progress.elapsed()) + String.format(Locale.ROOT,
                    "%.0f jobs a second come, %.0f a second are answered, %d are under way",
                    (progress.asked() - askedBefore) / seconds,
                    (progress.answered() - answeredBefore) / seconds,
                    progress.asked() - progress.answered()));
            before = progress.elapsed();
            askedBefore = progress.asked();
            answeredBefore = progress.answered();
        }
    }

    private static String time(long micros) {
        return String.format(Locale.ROOT, "%5.1f s  ", micros / MICROS_PER_S);
    }
}
