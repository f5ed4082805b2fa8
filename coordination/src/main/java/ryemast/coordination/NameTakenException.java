package ryemast.coordination;

/**
 * Another live process goes by this process's name in the fleet. This one does nothing in that name until the
 * other is gone; what it serves otherwise goes on.
 */
public final class NameTakenException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String name;

    private NameTakenException(String name, String message) {
        super(message);
        this.name = name;
    }

    static NameTakenException older(String name, String key, String process, String by) {
        return new NameTakenException(name, "the name '" + name + "' was taken over by another process"
                + " (record " + key + ": process " + by + "; this one is " + process + "). This process"
                + " has stepped down: it fires and owns nothing until that one is gone. If both are to run,"
                + " give each a name of its own; if not, end this one");
    }

    static NameTakenException younger(String name, String key, String process, String by, int times) {
        return new NameTakenException(name, "the name '" + name + "' is held by another live process (record "
                + key + ": process " + by + "; this one is " + process + ") and has gone from hand to hand "
                + times + " times. This process, the younger, yields: it fires and owns nothing until"
                + " that one is gone. If both are to run, give each a name of its own; if not, end one and"
                + " see what starts it again");
    }

    /** The name that two claim. */
    public String name() {
        return name;
    }
}
