package ryemast.core;

import java.util.function.Consumer;

/** The workers' side: carries routed tasks out and reports to the {@link Exchange} what becomes of each. */
public interface Region {

    void start(RoutedTask task);

    /** Stops an attempt that the exchange no longer waits for. */
    void giveUp(RoutedTask task);

    /**
     * Asks the worker to drop an attempt that it has taken, and later tells once whether it has answered.
     *
     * @return false if there is nothing to ask, as the worker has not taken it yet: {@link #giveUp} is enough
     */
    default boolean recall(RoutedTask task, Consumer<Recalled> answered) {
        return false;
    }
}
