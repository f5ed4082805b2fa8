package ryemast.operator;

import java.util.Map;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;

/**
 * What the operator wants, if there is one. A start without an operator file loads nothing of what it takes
 * to read one.
 */
public final class Operator {

    /** Names the file where the command line does not. */
    public static final String VARIABLE = "RYEMAST_OPERATOR";

    private Operator() {
    }

    /** The file named on the command line, or else by the environment; null if there is none. */
    public static String path(String given, Map<String, String> environment) {
        var path = given != null ? given : environment.get(VARIABLE);
        return path == null || path.isEmpty() ? null : path;
    }

    /** {@code given}: the file named on the command line; may be null. */
    public static Tuning tuning(String given, Map<String, String> environment) throws ConfigException {
        var path = path(given, environment);
        return path == null ? Tuning.DEFAULT : OperatorFile.tuning(path);
    }
}
