package ryemast.lab.model.theory;

import java.util.HashMap;
import java.util.Map;
import ryemast.lab.books.Books;
import ryemast.lab.books.Tries;
import ryemast.lab.books.Try;

/**
 * Books that keep nothing of a job but how long it waited at its box, from its arrival to its start, and
 * forget its name once it is over: so that millions of jobs need no room. The first jobs, which found the
 * queue emptier than it is in the long run, are left out.
 */
final class Waits implements Books {

    private final Tries tries;
    private final long warmUp;
    private final Map<String, Long> arrivals = new HashMap<>();
    private double sum;
    private long waited;
    private long jobs;
    private long notServed;

    Waits(Tries tries, long warmUp) {
        this.tries = tries;
        this.warmUp = warmUp;
    }

    double mean() {
        return sum / jobs;
    }

    double shareThatWaits() {
        return (double) waited / jobs;
    }

    long jobs() {
        return jobs;
    }

    /** Anything but 0 makes it another queue than the theory's. */
    long notServed() {
        return notServed;
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at) {
        arrivals.put(txn, at);
    }

    @Override
    public void began(int box, int dispatcher, String txn, long at) {
        long wait = at - arrivals.remove(txn);
        if (tries.find(txn).job().number() >= warmUp) {
            jobs++;
            sum += wait;
            waited += wait > 0 ? 1 : 0;
        }
    }

    @Override
    public void told(String txn, long at, int status, long retryAfter, String result) {
        notServed += status == 200 ? 0 : 1;
        tries.forget(txn);
    }

    @Override
    public void left(String txn, long at) {
        notServed++;
    }

    @Override
    public void broke(String txn, long at, boolean sent) {
        notServed++;
    }

    @Override
    public void asked(Try sent, int dispatcher, long at) {
        // A job counts from its arrival at the box.
    }

    @Override
    public void replied(int box, int dispatcher, String txn, long at, Reply reply) {
        notServed += reply == Reply.TAKEN ? 0 : 1;
    }

    @Override
    public void ended(int box, int dispatcher, String txn, long at, End end, double work, String result) {
        // Its wait was over long before.
    }

    @Override
    public void box(int box, long at, BoxState state, double capacity) {
        // There is one, and nothing happens to it.
    }

    @Override
    public void listed(int dispatcher, int box, long at, BoxState state, long startedAt) {
        // As above.
    }

    @Override
    public void listable(int box, long at, BoxState state, long startedAt) {
        // As above.
    }

    @Override
    public void dispatcher(int dispatcher, long at, DispatcherState state) {
        // As above.
    }

    @Override
    public void late(long at, long by) {
        // In virtual time nothing is.
    }
}
