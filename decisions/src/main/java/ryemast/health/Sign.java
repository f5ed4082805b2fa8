package ryemast.health;

/**
 * What a send may end in, as evidence about the box that got it.
 *
 * <p>Each sign of trouble has the part of sends that is expected to end so at a box that is well, before the
 * fleet has shown more. The figures are deliberately higher than those of a good day, as a box must not be
 * blamed for what happens everywhere now and then.
 */
public enum Sign {
    SERVED(0, "served"),
    /** The job ran, or may have run, and ended in an error. */
    ERROR(0.03, "ended in errors"),
    /** The connection broke, or the box told that it lost the job. */
    RESET(0.03, "were reset or lost"),
    /** A connection that had rested broke at its next use: one in four such breaks is nobody's trouble. */
    KEPT_RESET(0.25, "broke on connections that had rested"),
    /** A process that runs accepts connections, unless it holds as many as it may. */
    NO_CONNECTION(0.01, "found no connection"),
    /** Nothing came back at all, or too late. */
    NOTHING(0.03, "were never heard of again"),
    /** The box is full, which says nothing about its health. */
    TURNED_AWAY(0, "were turned away"),
    /** It was never sent, or we gave it up ourselves for another reason: no evidence. */
    NO_EVIDENCE(0, "tell nothing");

    final double usual;
    final String words;

    Sign(double usual, String words) {
        this.usual = usual;
        this.words = words;
    }

    boolean isTrouble() {
        return usual > 0;
    }
}
