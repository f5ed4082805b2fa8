package ryemast.lab.books;

import ryemast.lab.books.Books.End;
import ryemast.lab.books.Books.Reply;

/**
 * One attempt of a try at one box, from the request's arrival on. Times that never came are {@link #NEVER},
 * later than any time.
 *
 * @param firstByteAt  when its first byte was there
 * @param at           when it was there whole
 * @param reply        how the box answered the request itself, null if it didn't
 * @param end          how the job ended there, null if it didn't
 * @param givenUpAt    when the dispatcher told the box that it waits no longer
 */
public record Attempt(int box, int dispatcher, long firstByteAt, long at, long body, Reply reply,
        long repliedAt, long beganAt, End end, long endedAt, double work, long result, long givenUpAt) {

    public static final long NEVER = Long.MAX_VALUE;

    public boolean began() {
        return beganAt != NEVER;
    }

    public boolean done() {
        return end == End.DONE;
    }

    /**
     * From when on a dispatcher can know that it has never run: the box has turned it away or handed it back
     * unstarted. Every other reply, silence, or a break leaves open whether it ran; a request that broke off
     * before its last byte had left is no attempt, and in no book.
     */
    public long provedUnrunAt() {
        if (reply == Reply.TURNED_AWAY) {
            return repliedAt;
        }
        return end == End.RETURNED && !began() ? endedAt : NEVER;
    }

    /** From when on nobody can wait for it any more: the box has said so, or was told so, or can't answer. */
    public long overAt() {
        long replied = reply == null || reply == Reply.TAKEN ? NEVER : repliedAt;
        return Math.min(replied, Math.min(endedAt, givenUpAt));
    }
}
