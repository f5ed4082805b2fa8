package ryemast.lab.cli;

import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;

/**
 * Ctrl-C, and SIGTERM: the run in progress is stopped, and the command goes on to write what it measured.
 *
 * <p>A shutdown hook would have the JVM end while the command still writes; so the signals are taken over
 * as soon as a command begins. A second one ends the program outright, through its shutdown hooks, which
 * end the dispatchers.
 */
final class Stop {

    /** As a shell names the end by SIGINT. */
    private static final int ENDED_BY_SIGNAL = 130;

    private final AtomicReference<Runnable> running = new AtomicReference<>();
    private volatile boolean asked;

    /** Takes both signals over for the rest of the program's life. */
    static Stop onSignals() {
        var stop = new Stop();
        for (var name : new String[] {"INT", "TERM"}) {
            Signal.handle(new Signal(name), signal -> stop.ask());
        }
        return stop;
    }

    void ask() {
        if (asked) {
            // From a thread of its own: exit waits for the hooks, and signals should still be taken.
            new Thread(() -> System.exit(ENDED_BY_SIGNAL), "second-signal").start();
            return;
        }
        asked = true;
        var run = running.get();
        if (run != null) {
            run.run();
        }
    }

    boolean asked() {
        return asked;
    }

    /** What stops the run in progress; called at once if that was asked for before. Null: nothing runs. */
    void running(Runnable stopper) {
        running.set(stopper);
        if (asked && stopper != null) {
            stopper.run();
        }
    }
}
