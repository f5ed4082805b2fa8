package ryemast.settings;

/** Thrown for invalid deployment settings; the message names the key and the problem. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
