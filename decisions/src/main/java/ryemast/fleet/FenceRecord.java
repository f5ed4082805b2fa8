package ryemast.fleet;

/**
 * The record of who may act under a name (a fencing token), as it was read. Every write that a process makes
 * in that name requires this record at the version that the process wrote.
 *
 * @param process the process that holds the name; empty where the last one has left or was declared gone
 * @param takeovers consecutive takeovers from a process that was alive
 */
public record FenceRecord(long incarnation, String process, int takeovers, long version) {

    /** The name has never been used. */
    public static final FenceRecord NONE = new FenceRecord(0, "", 0, 0);
}
