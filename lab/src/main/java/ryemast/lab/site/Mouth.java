package ryemast.lab.site;

import java.util.function.IntConsumer;

/** Carries a box's call-backs to the dispatchers; how often one is tried is the box's own matter. */
public interface Mouth {

    /**
     * Posts one JSON object to a dispatcher's {@code /v1/job-events}.
     *
     * @param answered  told the status once, on the box's timeline; 0 if no answer came
     */
    void post(int dispatcher, String json, IntConsumer answered);
}
