package ryemast.core;

/** The workers' side: carries routed tasks out and reports to the {@link Exchange} what becomes of each. */
public interface Region {

    void start(RoutedTask task);

    /** Stops an attempt that the exchange no longer waits for. */
    void giveUp(RoutedTask task);
}
