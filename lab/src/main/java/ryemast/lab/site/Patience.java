package ryemast.lab.site;

import ryemast.lab.scenario.Scenario;

/**
 * How patient those around the dispatchers are, in microseconds: the same on sockets and in the model.
 */
public final class Patience {

    /** A client gives a connection up that has not come up for so long. */
    public static final long CONNECT = 3_000_000;
    /** Longer than a busy dispatcher needs from deciding to close a connection to closing it. */
    public static final long CROSSING = 50_000;
    /** After a kill, whoever started the dispatcher knows of it by then. */
    public static final long STILL_ALIVE = 20_000;
    /** A dispatcher that stands still answers no call-back; the box tries again. */
    public static final long CALL_BACK = 2_000_000;
    /** How often such call-backs are looked for. */
    public static final long CALL_BACK_SWEEP = 100_000;
    /** A dispatcher that is told to end gets new connections for so long. */
    public static final long STILL_COME = 300_000;
    /** A run that still has open jobs so long after the last deadline is ended. */
    public static final long AFTER_THE_LAST = 2_000_000;
    /** The most connections that clients keep open. */
    public static final int CONNECTIONS = 4_096;

    /** SIGKILL comes no sooner than this after a job's longest deadline, itself taken as so long at most. */
    private static final long SPARE = 700_000;
    private static final long LONGEST = 3_000_000;

    private Patience() {
    }

    /** From SIGTERM to SIGKILL. */
    public static long beforeKill(Scenario scenario) {
        return Math.min(longestDeadline(scenario, LONGEST), LONGEST) + SPARE;
    }

    /** {@code otherwise}: where there is no class. */
    public static long longestDeadline(Scenario scenario, long otherwise) {
        return scenario.classes().stream().mapToLong(Scenario.JobClass::deadline).max().orElse(otherwise);
    }
}
