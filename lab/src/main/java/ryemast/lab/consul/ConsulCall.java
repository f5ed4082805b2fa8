package ryemast.lab.consul;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import ryemast.net.http.HttpMessage;

/** One request, taken apart. */
record ConsulCall(String method, String path, Map<String, String> query, HttpMessage message) {

    static ConsulCall of(HttpMessage message) {
        var target = message.head().second();
        int mark = target.indexOf('?');
        var query = new LinkedHashMap<String, String>();
        if (mark >= 0) {
            for (var each : target.substring(mark + 1).split("&")) {
                int equals = each.indexOf('=');
                query.put(decoded(equals < 0 ? each : each.substring(0, equals)),
                        equals < 0 ? "" : decoded(each.substring(equals + 1)));
            }
        }
        return new ConsulCall(message.head().first(), message.head().path(), query, message);
    }

    static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    /** The part of the path behind a beginning, decoded; null if the path does not begin so. */
    String behind(String beginning) {
        // In a path a plus is a plus.
        return path.startsWith(beginning)
                ? decoded(path.substring(beginning.length()).replace("+", "%2B")) : null;
    }

    /** Whether it is there, whatever it says. */
    boolean has(String name) {
        return query.containsKey(name);
    }

    /** Whether it may change something. */
    boolean writes() {
        return !method.equals("GET");
    }

    /** Whether the answer is bytes as they are; each is a character of the text that stands for them. */
    boolean isRaw() {
        return path.startsWith("/v1/kv/") && has("raw") && !writes();
    }

    /** A number without a sign; 0 where it is absent. */
    long number(String name) throws ConsulApi.Refused {
        var text = query.getOrDefault(name, "");
        try {
            return text.isEmpty() ? 0 : Long.parseUnsignedLong(text);
        } catch (NumberFormatException e) {
            throw new ConsulApi.Refused(400, "Invalid " + name);
        }
    }

    /** A flag is on where it stands there with no value, or with true or 1. */
    boolean flag(String name) {
        var value = query.get(name);
        return value != null && (value.isEmpty() || value.equals("true") || value.equals("1"));
    }

    String body() {
        return new String(message.body(), StandardCharsets.UTF_8);
    }

    /** The token that it bears, in any of the three ways. */
    String token() {
        var header = message.head().header("x-consul-token");
        if (header != null) {
            return header;
        }
        var bearer = message.head().header("authorization");
        return bearer != null && bearer.startsWith("Bearer ") ? bearer.substring("Bearer ".length())
                : query.getOrDefault("token", "");
    }

    /** What it asks, whatever index it knows: the same for two calls of one watch. */
    String question() {
        var rest = new LinkedHashMap<>(query);
        rest.remove("index");
        rest.remove("wait");
        return path + rest;
    }
}
