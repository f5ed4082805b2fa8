package ryemast.lab.site;

import ryemast.lab.books.Try;

/** Carries clients' requests to whichever dispatcher the front gives them, one at a time on a connection. */
public interface Caller {

    /** What becomes of one request; told on the clients' timeline, one of the last three once. */
    interface Ear {
        /** Its last byte is written to a connection to that dispatcher. */
        void sent(int dispatcher);

        void answered(int status, long retryAfter, String result);

        /** The connection could not be had or ended without a whole answer. */
        void broke();
    }

    /** {@code body}: passed on unchanged. The returned step makes the client go away without an answer. */
    Runnable send(Try sent, String lane, String org, byte[] body, Ear ear);
}
