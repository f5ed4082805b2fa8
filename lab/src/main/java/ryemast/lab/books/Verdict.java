package ryemast.lab.books;

import java.util.List;
import java.util.Map;

/**
 * What the books say of the rules.
 *
 * @param broken      how often any rule was broken
 * @param byRule      how often each was
 * @param first       the first breaches, {@link #LISTED} at most
 * @param doubleRuns  jobs of classes that must not run twice which did, over all tries, by whose fault it is
 */
public record Verdict(int broken, Map<Rule, Integer> byRule, List<Breach> first,
        Map<Fault, Integer> doubleRuns) {

    public static final int LISTED = 20;

    /** Who made a job run twice. */
    public enum Fault {
        /** It sent it twice, or called it refused though it may have run. */
        DISPATCHER,
        /** It asked again though it had not been told that this is harmless. */
        CLIENT,
        /** The scenario killed the dispatcher that held it. */
        SCENARIO
    }
}
