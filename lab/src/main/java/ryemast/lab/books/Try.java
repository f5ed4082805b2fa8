package ryemast.lab.books;

/**
 * One request of a client: a job's first try or a retry, under a name of its own.
 *
 * @param txn     its X-Txn
 * @param number  0 for the first try
 * @param until   when the client stops waiting for it
 */
public record Try(String txn, Job job, int number, long until) {
}
