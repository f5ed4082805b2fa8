package ryemast.lab.fit;

import ryemast.lab.fit.Seen.Box;

/**
 * Something that went wrong, as a fault of a scenario.
 *
 * @param kind      as a scenario names it
 * @param box       null: no box in particular
 * @param jobClass  -1: none in particular
 * @param share     of jobs, unknown where that means nothing
 * @param size      unknown where that means nothing; {@code sizeTo}: the other end where it is a range, else
 *                  NaN
 * @param words     what it was seen by
 */
record Mishap(String kind, Box box, int jobClass, Figure atS, Figure forS, Figure share, Figure size,
        double sizeTo, String words) {

    private static final Figure NO = Figure.none("");

    static Mishap of(String kind, Box box, Figure atS, Figure forS, String words) {
        return new Mishap(kind, box, -1, atS, forS, NO, NO, Double.NaN, words);
    }

    Mishap withShare(Figure ofJobs) {
        return new Mishap(kind, box, jobClass, atS, forS, ofJobs, size, sizeTo, words);
    }

    Mishap withSize(Figure factor, double to) {
        return new Mishap(kind, box, jobClass, atS, forS, share, factor, to, words);
    }

    Mishap withClass(int struck) {
        return new Mishap(kind, box, struck, atS, forS, share, size, sizeTo, words);
    }
}
