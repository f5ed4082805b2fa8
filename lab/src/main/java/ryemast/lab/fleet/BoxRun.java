package ryemast.lab.fleet;

import ryemast.lab.books.Books.End;

/**
 * A job that ran at a box, as the box has it; times on the books' clock.
 *
 * @param id          its X-Txn
 * @param path        that its request bore; empty for clients' jobs, whose boxes refuse any but the sent one
 * @param dispatcher  whose request it was
 * @param end         null: it had not ended when the books were closed
 * @param endedAt     {@link Long#MAX_VALUE} if it had not
 */
public record BoxRun(String id, String path, int jobClass, int box, int dispatcher, long beganAt, End end,
        long endedAt) {
}
