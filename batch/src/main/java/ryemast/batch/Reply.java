package ryemast.batch;

import ryemast.wire.Fields;

/** The answer that a request is owed: exactly one of these is called, once, on the loop. */
interface Reply {

    void ok(Fields with);

    /** {@code code}: one of {@link ryemast.wire.Words}'. */
    void error(String code, String message);

    /** Whose request it is; jobs that are handed to it are handed to others once it is gone. */
    Object connection();

    /** Whether somebody still hears. */
    boolean isHeard();
}
