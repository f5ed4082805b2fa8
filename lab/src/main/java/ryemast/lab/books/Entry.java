package ryemast.lab.books;

import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.Books.End;
import ryemast.lab.books.Books.Reply;

/** One line of the books; immutable, and as small as its figures. */
sealed interface Entry {

    long at();

    /** A line about one try. */
    sealed interface OfTry extends Entry {
        String txn();
    }

    /** A line about one attempt of a try, at a box. */
    sealed interface AtBox extends OfTry {
        int box();

        int dispatcher();
    }

    record Asked(String txn, int dispatcher, long at, long body) implements OfTry {
    }

    record Told(String txn, long at, int status, int retryAfterMs, long result) implements OfTry {
    }

    record Left(String txn, long at) implements OfTry {
    }

    record Broke(String txn, long at, boolean sent) implements OfTry {
    }

    record Arrived(int box, int dispatcher, String txn, long firstByteAt, long at, long body)
            implements AtBox {
    }

    record Replied(int box, int dispatcher, String txn, long at, Reply reply) implements AtBox {
    }

    record Began(int box, int dispatcher, String txn, long at) implements AtBox {
    }

    record Ended(int box, int dispatcher, String txn, long at, End end, double work, long result)
            implements AtBox {
    }

    record GivenUp(int box, int dispatcher, String txn, long at) implements AtBox {
    }

    record BoxIs(int box, long at, BoxState state, double capacity) implements Entry {
    }

    record Listed(int dispatcher, int box, long at, BoxState state, long startedAt) implements Entry {
    }

    record Listable(int box, long at, BoxState state, long startedAt) implements Entry {
    }

    record DispatcherIs(int dispatcher, long at, DispatcherState state) implements Entry {
    }
}
