package ryemast.health;

/** What part of the traffic a box gets, from the belief that it is sick. */
public enum Standing {
    /** As the payoff says. */
    FULL,
    /** At most its share of what the fleet is sent. */
    REDUCED,
    /** One job at a time that may be repeated, and after each that fails a longer pause. */
    TRIAL
}
