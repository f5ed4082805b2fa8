package ryemast.settings;

/** Deployment settings that can't be used; the message names the key and what is wrong with it. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }
}
