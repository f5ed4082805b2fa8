package ryemast.core;

/**
 * What a front hands in: a job, as the module wants it described and as a region wants it passed on.
 *
 * @param txn       the front's name for it: opaque text, unlike any other that is open
 * @param deadline  on the loop's clock: until when the client waits
 * @param target    what the job concerns, passed on unchanged
 */
public record Submission(String txn, int jobClass, int tenant, double slots, double memory, long costHint,
        long deadline, String target, byte[] body) {

    private static final byte[] EMPTY = new byte[0];

    /** The same without its body, where it is not sent any more. */
    Submission withoutBody() {
        return new Submission(txn, jobClass, tenant, slots, memory, costHint, deadline, target, EMPTY);
    }

    /** The same with another deadline. */
    Submission withDeadline(long other) {
        return new Submission(txn, jobClass, tenant, slots, memory, costHint, other, target, body);
    }
}
