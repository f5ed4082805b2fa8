package ryemast.lab.cli;

/** A call that can't be carried out as it is; the message is for whoever typed it. Exit code 2. */
final class BadCall extends Exception {

    private static final long serialVersionUID = 1;

    BadCall(String message) {
        super(message);
    }
}
