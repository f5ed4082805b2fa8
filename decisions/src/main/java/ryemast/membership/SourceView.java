package ryemast.membership;

/**
 * How a source does. Immutable.
 *
 * @param heardAt   when it last said anything; {@link Long#MIN_VALUE}: never
 * @param failing   since when it has failed to answer, or 0
 * @param suspect   since when something of what it says has not been believed, or 0
 * @param withheld  workers that it has lost, and that are kept
 */
public record SourceView(String name, long version, long heardAt, long failing, long suspect, int workers,
        int withheld) {
}
