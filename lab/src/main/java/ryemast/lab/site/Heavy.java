package ryemast.lab.site;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The spells under which jobs are made: asked once for each job, with the draw of whoever makes it. Both
 * take the same number of draws whatever the time, so that a spell shifts no other draw.
 */
public interface Heavy {

    /** By how much the work of a job of this class, made now, is multiplied; 1 outside any spell. */
    double factor(int jobClass, long now, UniformRandomProvider draw);

    /** Whether it ends in an error wherever it runs. */
    boolean poisoned(int jobClass, long now, UniformRandomProvider draw);
}
