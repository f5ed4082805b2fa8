package ryemast.batch;

import ryemast.wire.Fields;
import ryemast.wire.WireException;

/**
 * What the jobs of one part of a submission have in common. Immutable.
 *
 * @param jobClass   the platform's number of its class
 * @param className  its name
 * @param target     what the job concerns, as a client's request would have it; {@link #INDEX} in it stands
 *                   for the job's index
 * @param body       how long the body is that each of them bears
 * @param hint       expected work in microseconds, 0: not said
 * @param patience   how long one turn may take, in microseconds
 * @param failures   turns that may fail before the job has failed
 */
record Template(int jobClass, String className, String name, String target, int body, double slots,
        double memory,
        long hint, long patience, int failures) {

    /** As DRMAA 1.0 has it for paths. */
    static final String INDEX = "$drmaa_incr_ph$";
    static final int LONGEST_TARGET = 2_048;
    static final int LONGEST_BODY = 64 * 1024;
    private static final int LONGEST_NAME = 200;
    private static final int MOST_FAILURES = 100;
    private static final long DAY = 86_400_000_000L;
    private static final double THOUSANDTHS = 1_000;

    /** As a submitter sends it; the exception names what can't be taken, by its place in {@code from}. */
    static Template read(Fields from, JobKinds kinds, int usualFailures) throws WireException {
        var className = from.name("class", LONGEST_NAME);
        int number = kinds.number(className);
        if (number < 0) {
            throw new WireException(from.place("class") + ": there is no class " + className
                    + " here; there are "
                    + String.join(", ", kinds.names()));
        }
        var target = from.name("target", LONGEST_TARGET);
        if (!target.startsWith("/api") || target.codePoints().anyMatch(c -> c <= ' ' || c >= 0x7f)) {
            throw new WireException(from.place("target")
                    + ": must begin with /api, without blanks, in ASCII");
        }
        long patience = from.whole("patience_us", 1_000, DAY, kinds.patience(number));
        return new Template(number, className, from.has("name") ? from.name("name", LONGEST_NAME) : "",
                target,
                from.bytes("body", LONGEST_BODY).length,
                from.whole("slots_milli", 1, 1_000_000, 1_000) / THOUSANDTHS,
                from.whole("memory_milli", 0, 1_000_000_000, 0) / THOUSANDTHS,
                from.whole("estimate_us", 0, DAY, 0), patience,
                (int) from.whole("failures", 1, MOST_FAILURES, usualFailures));
    }

    /** As it is stored. */
    Fields stored() {
        return new Fields().with("class", className).with("name", name).with("target", target)
                .with("body", body)
                .with("slots", Double.doubleToLongBits(slots)).with("memory", Double.doubleToLongBits(memory))
                .with("hint", hint).with("patience", patience).with("failures", failures);
    }

    /** From the store; a class that the platform no longer has gets the number -1. */
    static Template stored(Fields from, JobKinds kinds) throws WireException {
        var className = from.text("class");
        return new Template(kinds.number(className), className, from.text("name"), from.text("target"),
                (int) from.whole("body", 0, Integer.MAX_VALUE),
                Double.longBitsToDouble(from.whole("slots", Long.MIN_VALUE, Long.MAX_VALUE)),
                Double.longBitsToDouble(from.whole("memory", Long.MIN_VALUE, Long.MAX_VALUE)),
                from.whole("hint", 0, Long.MAX_VALUE), from.whole("patience", 0, Long.MAX_VALUE),
                (int) from.whole("failures", 1, Integer.MAX_VALUE));
    }

    String target(long index) {
        return target.contains(INDEX) ? target.replace(INDEX, Long.toString(index)) : target;
    }
}
