package ryemast.net.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The start line and the headers of a message.
 *
 * @param first    method, or the version of a response
 * @param second   target, or the status of a response
 * @param third    version, or the reason of a response
 * @param headers  by lower-case name; a header that came repeatedly holds all values, each on
 *                 a line of its own
 */
public record HttpHead(String first, String second, String third, Map<String, String> headers) {

    /** Stands between the values of a header that came repeatedly; no value holds it. */
    public static final String NEXT_VALUE = "\n";

    public static HttpHead request(String method, String target) {
        return new HttpHead(method, target, "HTTP/1.1", new LinkedHashMap<>());
    }

    public static HttpHead response(int status) {
        return new HttpHead("HTTP/1.1", Integer.toString(status), HttpStatus.reason(status),
                new LinkedHashMap<>());
    }

    public HttpHead with(String name, String value) {
        headers.put(name, value);
        return this;
    }

    /** A header's value, or null. */
    public String header(String name) {
        return headers.get(name);
    }

    public int status() {
        return Integer.parseInt(second);
    }

    /** The target of a request without its query. */
    public String path() {
        int query = second.indexOf('?');
        return query < 0 ? second : second.substring(0, query);
    }

    /** Whether the sender ends the connection after this message. */
    public boolean closes() {
        boolean old = "HTTP/1.0".equals(first) || "HTTP/1.0".equals(third);
        return lists("connection", "close") || old && !lists("connection", "keep-alive");
    }

    /** Whether a header that is a list holds a word. */
    public boolean lists(String name, String word) {
        var value = headers.get(name);
        if (value != null) {
            for (var each : value.split("[,\n]")) {
                if (each.strip().toLowerCase(Locale.ROOT).equals(word)) {
                    return true;
                }
            }
        }
        return false;
    }
}
