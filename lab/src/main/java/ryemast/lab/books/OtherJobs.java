package ryemast.lab.books;

/**
 * Jobs that reach the boxes by another way than the emulated clients', and books of their own for what
 * becomes of them there. Any thread may use it.
 */
public interface OtherJobs {

    /** The try of that name; null if the name is none of theirs. */
    Try find(String txn);

    /** The path that a request of that name bears; null if the name is none of theirs. */
    String target(String txn);

    /** Where what happens to them at boxes is written. */
    Books books();
}
