package ryemast.lab.site;

import ryemast.lab.books.Books.BoxState;

/**
 * A change of a box as discovery may come to know of it.
 *
 * @param startedAt the last start of its process, 0 for long ago
 */
record News(int box, BoxState state, long startedAt, Manner manner) {

    enum Manner {
        /** It was so before the run began. */
        KNOWN,
        STARTED,
        /** The process says so itself, as when it drains or ends in order. */
        TOLD,
        /** Nobody says so: it has to be noticed. */
        UNTOLD
    }
}
