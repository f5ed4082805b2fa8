package ryemast.lab.books;

/**
 * Keeps two sets of books apart: what is of {@link OtherJobs} goes to theirs, all else to the run's, which
 * its rules and its measure of service are judged from.
 */
public final class SplitBooks implements Books {

    private final Books own;
    private final OtherJobs others;

    public SplitBooks(Books own, OtherJobs others) {
        this.own = own;
        this.others = others;
    }

    private Books of(String txn) {
        return txn != null && others.find(txn) != null ? others.books() : own;
    }

    @Override
    public void asked(Try sent, int dispatcher, long at) {
        own.asked(sent, dispatcher, at);
    }

    @Override
    public void asked(Try sent, int dispatcher, long at, long body) {
        own.asked(sent, dispatcher, at, body);
    }

    @Override
    public void told(String txn, long at, int status, long retryAfter, String result) {
        of(txn).told(txn, at, status, retryAfter, result);
    }

    @Override
    public void left(String txn, long at) {
        of(txn).left(txn, at);
    }

    @Override
    public void broke(String txn, long at, boolean sent) {
        of(txn).broke(txn, at, sent);
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at) {
        of(txn).arrived(box, dispatcher, txn, firstByteAt, at);
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at, long body) {
        of(txn).arrived(box, dispatcher, txn, firstByteAt, at, body);
    }

    @Override
    public void replied(int box, int dispatcher, String txn, long at, Reply reply) {
        of(txn).replied(box, dispatcher, txn, at, reply);
    }

    @Override
    public void began(int box, int dispatcher, String txn, long at) {
        of(txn).began(box, dispatcher, txn, at);
    }

    @Override
    public void ended(int box, int dispatcher, String txn, long at, End end, double work, String result) {
        of(txn).ended(box, dispatcher, txn, at, end, work, result);
    }

    @Override
    public void givenUp(int box, int dispatcher, String txn, long at) {
        of(txn).givenUp(box, dispatcher, txn, at);
    }

    @Override
    public void box(int box, long at, BoxState state, double capacity) {
        own.box(box, at, state, capacity);
    }

    @Override
    public void listed(int dispatcher, int box, long at, BoxState state, long startedAt) {
        own.listed(dispatcher, box, at, state, startedAt);
    }

    @Override
    public void listable(int box, long at, BoxState state, long startedAt) {
        own.listable(box, at, state, startedAt);
    }

    @Override
    public void dispatcher(int dispatcher, long at, DispatcherState state) {
        own.dispatcher(dispatcher, at, state);
    }

    @Override
    public void late(long at, long by) {
        own.late(at, by);
    }
}
