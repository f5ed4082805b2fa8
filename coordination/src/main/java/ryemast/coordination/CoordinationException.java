package ryemast.coordination;

/** What replicas agree by can't be used: says what is wrong, where, what happens now and what to do. */
public class CoordinationException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * @param where   a file, a folder or a key of the operator file
     * @param now     what the program does
     * @param remedy  what an operator can do
     */
    public CoordinationException(String where, String what, String now, String remedy, Throwable cause) {
        super(where + ": " + what + ". " + now + ". " + remedy + ".", cause);
    }
}
