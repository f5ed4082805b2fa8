package ryemast.membership;

/**
 * Status of a source. Immutable.
 *
 * @param lastContactAt when it last responded; {@link Long#MIN_VALUE}: never
 * @param failingSince since when it has failed to respond, or 0
 * @param suspectSince since when some of its reports have been withheld, or 0
 * @param withheld number of workers that it has lost and that are retained
 */
public record SourceStatus(String name, long version, long lastContactAt, long failingSince,
        long suspectSince, int workers,
        int withheld) {
}
