package pipitladder;

import java.util.Optional;
import java.util.regex.Pattern;

/** A send as reported to peers: the worker's code and the work, in a few bytes. */
record SendReport(int worker, double work) {
    private static final Pattern FORMAT = Pattern.compile("[0-9a-z]{1,5}");
    /** How many codes of workers fit into a report; a power of two. */
    static final int WORKER_CODES = 4096;
    private static final int WORK_BUCKETS = 64;
    private static final double BUCKETS_PER_E = 6;
    /** The fraction of the worth that messages may cost: the smallest measurable difference. */
    private static final double MAX_MESSAGE_COST = 0.01;
    /** The charged size of a short message, in bytes. */
    private static final double SHORT_MESSAGE_BYTES = 16;

    /** The fraction of sends that may be reported to peers, from 0 to 1. */
    static double reportedFraction(Dispatcher.Settings settings) {
        double price = settings.prices().peerMessage() * (settings.dispatchers() - 1)
                * SHORT_MESSAGE_BYTES
                / Dispatcher.Prices.MESSAGE_BYTES;
        return settings.limits().peerMessages() ? MAX_MESSAGE_COST / Math.max(MAX_MESSAGE_COST, price)
                : 0;
    }

    /** Empty for a text in another format, such as another version may send. */
    static Optional<SendReport> parse(String text) {
        if (!FORMAT.matcher(text).matches()) {
            return Optional.empty();
        }
        int number = Integer.parseInt(text, Character.MAX_RADIX);
        double work = Math.exp((number % WORK_BUCKETS - WORK_BUCKETS / 2) / BUCKETS_PER_E);
        return Optional.of(new SendReport(number / WORK_BUCKETS, work));
    }

    String encode() {
        int size = (int) Math.round(BUCKETS_PER_E * Math.log(work)) + WORK_BUCKETS / 2;
        int number = worker * WORK_BUCKETS + Math.max(0, Math.min(WORK_BUCKETS - 1, size));
        return Integer.toString(number, Character.MAX_RADIX);
    }
}
