package ryemast.lab.cli;

import ryemast.lab.load.LoadResult;

/** How the lab's commands end: 0 for a run to go by, 1 for one that isn't, 2 for a call that can't be. */
final class Exit {

    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    private Exit() {
    }

    static int badCall(BadCall fault) {
        System.err.println("ryemast: " + fault.getMessage());
        return USAGE;
    }

    static int of(LoadResult result) {
        return result.fine() ? DONE : FAILED;
    }
}
