package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.util.Iterator;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What to do where the system fails a selector for a moment: MINA's threads sleep for a second after each
 * exception, and nothing is read or written meanwhile.
 */
final class FaultySelector {

    private static final Logger LOG = Logger.getLogger(FaultySelector.class.getName());
    /** After a failed selection, in milliseconds: the next one may fail at once as well. */
    private static final long PAUSE_MS = 1;
    /** Of one selection: the JDK takes an interrupted wake-up for done, and then makes none any more. */
    static final int LONGEST_WAIT_MS = 20;
    private static final int WAKE_TRIES = 20;

    private FaultySelector() {
    }

    /**
     * How much a selection found. One that fails may have selected something before: the selector keeps that,
     * but later selections count only what is new, so that it would never be handled.
     *
     * @param selected what the selector has selected and nobody has handled yet
     */
    static int select(Callable<Integer> selection, Supplier<Iterator<?>> selected) throws Exception {
        try {
            return selection.call();
        } catch (IOException e) {
            LOG.log(Level.WARNING, e, () -> "a selector failed, and is tried again");
            Thread.sleep(PAUSE_MS);
            return selected.get().hasNext() ? 1 : 0;
        }
    }

    /** Wakes a selector; where that fails for long, it wakes by itself within a second. */
    static void wake(Runnable wakeUp) {
        for (int tries = 1;; tries++) {
            try {
                wakeUp.run();
                return;
            } catch (InternalError e) {
                // What the JDK makes of an IOException here.
                if (tries == WAKE_TRIES) {
                    LOG.log(Level.WARNING, e, () -> "a selector could not be woken");
                    return;
                }
            }
        }
    }
}
