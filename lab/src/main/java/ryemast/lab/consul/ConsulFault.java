package ryemast.lab.consul;

import java.util.Locale;

/**
 * Something that goes wrong at the stand-in, from when it is set until its time or its number of calls is
 * over.
 *
 * @param path   calls whose path begins so are struck; empty: all but those that set faults
 * @param size   what it takes, by kind: milliseconds, or bytes
 * @param until  on the timeline; {@link Long#MAX_VALUE}: until it is taken back
 * @param times  how many calls it still strikes
 */
record ConsulFault(Kind kind, String path, long size, long until, long times) {

    enum Kind {
        /** Answers come so many milliseconds late. */
        LATE,
        /** Calls are taken and never answered. */
        SILENT,
        /** 500 "No cluster leader"; in stale mode answers come, and say that there is none. */
        NO_LEADER,
        /** 500 with another text. */
        ERROR,
        /** 429. */
        RATE_LIMITED,
        /** 403, as for a token that has expired. */
        FORBIDDEN,
        /** The connection is reset in place of an answer. */
        RESET,
        /** Bodies come a few bytes at a time, as many a second as its size says. */
        TRICKLED,
        /** Bodies end after so many bytes, and so does the connection. */
        CUT,
        /** Lists are empty, under an index that has grown. */
        EMPTY,
        /** Bodies are no JSON. */
        GARBLED,
        /** Blocking queries return at once with nothing new. */
        SPINNING,
        /** Lists are those of the time at which the fault was set, with the index of then. */
        OLD;

        static Kind of(String word) {
            try {
                return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
            } catch (IllegalArgumentException e) {
                return null;
            }
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    ConsulFault once() {
        return new ConsulFault(kind, path, size, until, times - 1);
    }
}
