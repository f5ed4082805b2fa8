package ryemast.lab.members;

/**
 * One drain of one box; times are on the clock of the books.
 *
 * @param markedAt   when it was marked: in Consul's catalogue, or by the operator's signal
 * @param undoneAt   when that was taken back
 * @param inUse      whether the box was being sent jobs right before
 * @param lastAfter  how long after the mark the last new request reached it, in microseconds; 0: none did
 */
public record Drain(int box, long markedAt, long undoneAt, boolean inUse, long lastAfter) {
}
