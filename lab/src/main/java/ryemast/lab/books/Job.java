package ryemast.lab.books;

/**
 * What a client wants done, from its first try to its last.
 *
 * @param number   counts the jobs of a run, from 0
 * @param work     microseconds on one core of speed 1, as it really is
 * @param slots    how many slots it takes at a box
 * @param hint     what the client says of the work, 0: nothing
 * @param askedAt  when the first try was due, whether or not it left in time
 * @param poisoned it ends in an error wherever it runs
 */
public record Job(long number, int jobClass, int tenant, double work, double slots, long hint, long askedAt,
        long deadlineAt, boolean poisoned) {
}
