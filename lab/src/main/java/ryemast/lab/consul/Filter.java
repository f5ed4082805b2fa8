package ryemast.lab.consul;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The part of Consul's filter expressions that clients of a catalogue use: {@code SELECTOR == VALUE}, {@code
 * !=}, {@code is empty}, {@code is not empty}, {@code VALUE in SELECTOR}, {@code not in}, {@code SELECTOR
 * contains VALUE}, {@code not}, {@code and}, {@code or} and brackets. A selector is a path such as {@code
 * Service.Meta.zone} or {@code Service.Meta["zone"]}. {@code and} binds tighter than {@code or}.
 */
final class Filter {

    private static final Pattern TOKEN = Pattern.compile(
            "\\s*(==|!=|\\(|\\)|\"(?:[^\"\\\\]|\\\\.)*\"|`[^`]*`|[A-Za-z0-9_./:-]+(?:\\[\"[^\"]*\"\\])*)");

    private final List<String> tokens = new ArrayList<>();
    private int at;

    private Filter(String text) {
        Matcher matcher = TOKEN.matcher(text);
        int end = 0;
        while (end < text.length() && matcher.region(end, text.length()).lookingAt()) {
            tokens.add(matcher.group(1));
            end = matcher.end();
        }
        if (!text.substring(end).isBlank() || tokens.isEmpty()) {
            throw new IllegalArgumentException("Failed to parse the filter at '" + text.substring(end).strip()
                    + "'");
        }
    }

    /** An {@link IllegalArgumentException} says what is wrong with the expression. */
    static Predicate<JsonObject> of(String text) {
        var parser = new Filter(text);
        var found = parser.either();
        if (parser.at < parser.tokens.size()) {
            throw new IllegalArgumentException("Failed to parse the filter at '"
                    + parser.tokens.get(parser.at) + "'");
        }
        return found;
    }

    private Predicate<JsonObject> either() {
        var found = both();
        while (take("or")) {
            found = found.or(both());
        }
        return found;
    }

    private Predicate<JsonObject> both() {
        var found = one();
        while (take("and")) {
            found = found.and(one());
        }
        return found;
    }

    private Predicate<JsonObject> one() {
        if (take("not")) {
            return one().negate();
        }
        if (take("(")) {
            var inside = either();
            need(")");
            return inside;
        }
        var first = next();
        if (take("==")) {
            var value = value(next());
            return json -> value.equals(text(json, first));
        }
        if (take("!=")) {
            var value = value(next());
            return json -> !value.equals(text(json, first));
        }
        if (take("contains")) {
            return holds(next(), first);
        }
        if (take("is")) {
            boolean not = take("not");
            need("empty");
            return json -> isEmpty(find(json, first)) != not;
        }
        boolean not = take("not");
        need("in");
        var holds = holds(first, next());
        return not ? holds.negate() : holds;
    }

    private static Predicate<JsonObject> holds(String token, String selector) {
        var value = value(token);
        return json -> {
            var found = find(json, selector);
            if (found == null) {
                return false;
            }
            if (found.isJsonArray()) {
                return found.getAsJsonArray().asList().stream()
                        .anyMatch(each -> each.getAsString().equals(value));
            }
            return found.isJsonObject() ? found.getAsJsonObject().has(value)
                    : found.getAsString().contains(value);
        };
    }

    private boolean take(String word) {
        boolean there = at < tokens.size() && tokens.get(at).equals(word);
        at += there ? 1 : 0;
        return there;
    }

    private void need(String word) {
        if (!take(word)) {
            throw new IllegalArgumentException("Failed to parse the filter: expected '" + word + "'");
        }
    }

    private String next() {
        if (at >= tokens.size()) {
            throw new IllegalArgumentException("Failed to parse the filter: it ends too soon");
        }
        return tokens.get(at++);
    }

    private static String value(String token) {
        return token.startsWith("\"")
                || token.startsWith("`") ? token.substring(1, token.length() - 1) : token;
    }

    private static String text(JsonObject json, String selector) {
        var found = find(json, selector);
        return found == null || !found.isJsonPrimitive() ? "" : found.getAsString();
    }

    private static boolean isEmpty(JsonElement found) {
        return found == null || found.isJsonArray() && found.getAsJsonArray().isEmpty()
                || found.isJsonObject() && found.getAsJsonObject().size() == 0
                || found.isJsonPrimitive() && found.getAsString().isEmpty();
    }

    private static JsonElement find(JsonObject json, String selector) {
        JsonElement at = json;
        for (var part : selector.replaceAll("\\[\"([^\"]*)\"\\]", ".$1").split("\\.")) {
            at = at != null && at.isJsonObject() ? at.getAsJsonObject().get(part) : null;
        }
        return at;
    }
}
