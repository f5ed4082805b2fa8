package ryemast.timetable.calendar;

/**
 * What becomes of fires whose window passed while no replica could fire them.
 *
 * @param rule  which of them are fired later
 * @param most  how many at most, the latest ones; 0 for SKIP, 1 for LAST
 */
public record Missed(Rule rule, int most) {

    public static final Missed SKIP = new Missed(Rule.SKIP, 0);
    public static final Missed LAST = new Missed(Rule.LAST, 1);
    /** Beyond this, what was missed would be more than what is to come. */
    public static final int LARGEST = 1000;

    /** Which missed fires are made up for. */
    public enum Rule {
        SKIP, LAST, ALL
    }

    public Missed {
        if (rule == Rule.ALL ? most < 1 || most > LARGEST : most != rule.ordinal()) {
            throw new IllegalArgumentException(rule + " with " + most);
        }
    }

    public static Missed all(int most) {
        return new Missed(Rule.ALL, most);
    }
}
