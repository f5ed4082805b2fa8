package ryemast.lab.scenario;

import ryemast.lab.world.Chance;

/**
 * A figure of a scenario file from which each run draws one value, evenly. It has a stream of its own by its
 * key, so that a change of one key leaves all other draws alone.
 *
 * @param key    with the name of its table
 * @param unit   what one of the file's unit is: of microseconds, or 1
 * @param whole  whole numbers only, both ends alike
 */
record Range(String key, double low, double high, double unit, boolean whole) {

    double draw(Chance chance) {
        return draw(chance, 0);
    }

    /** {@code number}: tells draws of the same key apart. */
    double draw(Chance chance, long number) {
        if (low == high) {
            return low * unit;
        }
        double even = chance.stream("scenario " + key, number).nextDouble();
        return (whole ? low + Math.floor(even * (high - low + 1)) : low + even * (high - low)) * unit;
    }

    int count(Chance chance) {
        return (int) draw(chance);
    }

    /** Of a time, in whole microseconds. */
    long time(Chance chance) {
        return Math.round(draw(chance));
    }

    long time(Chance chance, long number) {
        return Math.round(draw(chance, number));
    }
}
