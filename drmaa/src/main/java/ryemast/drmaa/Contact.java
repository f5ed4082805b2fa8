package ryemast.drmaa;

import java.net.URI;
import java.net.URISyntaxException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;

/**
 * Where a session is, and with which key: {@code ryemast://HOST:PORT/SESSION?keys=FOLDER}. The folder is a
 * submitter's, as {@code ./ryemast keys} makes it. Immutable.
 *
 * @param session  empty where the string names none
 */
public record Contact(String host, int port, String session, Path keys) {

    /** Names the contact where a call does not. */
    public static final String VARIABLE = "RYEMAST_BATCH";
    private static final String FORM = "expected ryemast://HOST:PORT/SESSION?keys=FOLDER";

    /** {@code text} null or empty: what {@link #VARIABLE} says. */
    public static Contact of(String text) throws InvalidContactStringException {
        var given = text == null || text.isEmpty() ? System.getenv(VARIABLE) : text;
        if (given == null || given.isEmpty()) {
            throw new InvalidContactStringException("no contact string is given, and " + VARIABLE
                    + " names none; "
                    + FORM);
        }
        try {
            var uri = new URI(given);
            if (!"ryemast".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 1) {
                throw new InvalidContactStringException("contact string " + given + ": " + FORM);
            }
            var words = new HashMap<String, String>();
            for (var each : uri.getRawQuery() == null ? new String[0] : uri.getRawQuery().split("&")) {
                var pair = each.split("=", 2);
                words.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
            }
            if (words.getOrDefault("keys", "").isEmpty()) {
                throw new InvalidContactStringException("contact string " + given + ": names no keys; "
                        + FORM);
            }
            var path = uri.getPath() == null ? "" : uri.getPath();
            var host = uri.getHost();
            return new Contact(host.startsWith("[") ? host.substring(1, host.length() - 1) : host,
                    uri.getPort(),
                    path.startsWith("/") ? path.substring(1) : path, Path.of(words.get("keys")));
        } catch (URISyntaxException | IllegalArgumentException e) {
            throw new InvalidContactStringException("contact string " + given + ": " + e.getMessage() + "; "
                    + FORM);
        }
    }

    /** The same, of another session. */
    public Contact withSession(String other) {
        return new Contact(host, port, other, keys);
    }

    @Override
    public String toString() {
        return "ryemast://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + port + "/" + session
                + "?keys="
                + keys;
    }
}
