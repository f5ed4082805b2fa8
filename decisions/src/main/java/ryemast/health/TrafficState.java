package ryemast.health;

/** How much traffic a worker gets, by the probability that it is sick. */
public enum TrafficState {
    /** Unrestricted: jobs are placed by their expected payoff alone. */
    FULL,
    /** At most a given share of its part of the fleet's traffic. */
    REDUCED,
    /** Only recovery probes: one repeatable job at a time, with a backoff that grows after each failure. */
    EJECTED
}
