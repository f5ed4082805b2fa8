package ryemast.config;

/** A configuration the program cannot start with; the message names the faulty key. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
