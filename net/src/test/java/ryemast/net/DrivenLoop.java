package ryemast.net;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import ryemast.core.Loop;

/** A loop in the test's own thread whose clock stands still until the test moves it; sockets are real. */
public final class DrivenLoop {

    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long TICK = 5_000;

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    public final Loop loop = new Loop(clock::get, TICK);

    /** Moves the clock on; the loop sees it in its next turn. */
    public void pass(long micros) {
        clock.addAndGet(micros);
    }

    /** Turns until a condition holds. */
    public void until(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + PATIENCE_NANOS;
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("waited in vain");
            }
            if (!loop.turn()) {
                Thread.sleep(1);
            }
        }
    }

    /** Turns for so long in real time, for what must not happen. */
    public void turnFor(long millis) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        until(() -> System.nanoTime() > end);
    }
}
