package ryemast.consul;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Where in a catalogue entry something stands, as the operator file names it: {@code service-id}, {@code
 * service}, {@code node}, {@code datacenter}, {@code weights}, {@code meta:KEY} (of the service), {@code
 * node-meta:KEY}, or two of them joined by a slash, as {@code node/service-id}. Immutable.
 */
public final class Field {

    /** What a text must look like, in words. */
    public static final String FORM =
            "service-id, service, node, datacenter, weights, meta:KEY or node-meta:KEY, or"
            + " two of these joined by /";
    private static final Pattern ONE =
            Pattern.compile("service-id|service|node|datacenter|weights|(node-)?meta:[A-Za-z0-9_-]{1,128}");

    private final String text;
    private final String[] parts;

    /** An {@link IllegalArgumentException} says that the text is no such place. */
    public Field(String text) {
        this.text = text;
        parts = text.split("/", -1);
        for (var part : parts) {
            if (parts.length > 2 || !ONE.matcher(part).matches()) {
                throw new IllegalArgumentException("'" + text + "' is not one of " + FORM);
            }
        }
    }

    /** What stands there; null where nothing does. */
    String of(Entry entry) {
        var first = one(parts[0], entry);
        if (parts.length == 1 || first == null) {
            return first;
        }
        var second = one(parts[1], entry);
        return second == null ? null : first + "/" + second;
    }

    private static String one(String part, Entry entry) {
        var found = switch (part) {
            case "service-id" -> entry.serviceId;
            case "service" -> entry.service;
            case "node" -> entry.node;
            case "datacenter" -> entry.datacenter;
            case "weights" -> entry.passingWeight == null ? null : Double.toString(entry.passingWeight);
            default -> meta(part, entry);
        };
        return found == null || found.isEmpty() ? null : found;
    }

    private static String meta(String part, Entry entry) {
        Map<String, String> from = part.startsWith("node-") ? entry.nodeMeta : entry.serviceMeta;
        return from.get(part.substring(part.indexOf(':') + 1));
    }

    @Override
    public String toString() {
        return text;
    }
}
