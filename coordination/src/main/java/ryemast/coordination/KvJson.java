package ryemast.coordination;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ryemast.coordination.Coordination.Entry;

/**
 * Records and steps as Consul's KV and transaction endpoints have them in JSON. What can't be read is an
 * exception: an {@link IOException}, or one of Gson's unchecked ones.
 *
 * <p>A removal is two operations, as {@code delete-cas} alone is content with a key that is gone already.
 */
final class KvJson {

    private final String prefix;

    /** {@code prefix}: what Consul's keys have before ours. */
    KvJson(String prefix) {
        this.prefix = prefix;
    }

    /** An array of KV entries, in the order of their keys. */
    List<Entry> entries(Reader text) throws IOException {
        var found = new ArrayList<Entry>();
        try (var in = new JsonReader(text)) {
            in.beginArray();
            while (in.hasNext()) {
                found.add(entry(in));
            }
            in.endArray();
        }
        found.sort(Comparator.comparing(Entry::key));
        return List.copyOf(found);
    }

    private Entry entry(JsonReader in) throws IOException {
        String key = null;
        var value = new byte[0];
        long version = 0;
        in.beginObject();
        while (in.hasNext()) {
            var name = in.nextName();
            if (in.peek() == JsonToken.NULL) {
                in.nextNull();
            } else if (name.equals("Key")) {
                key = in.nextString();
            } else if (name.equals("Value")) {
                value = Base64.getDecoder().decode(in.nextString());
            } else if (name.equals("ModifyIndex")) {
                version = in.nextLong();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        if (key == null || !key.startsWith(prefix) || version <= 0) {
            throw new IOException("an entry with key " + key + " and index " + version);
        }
        return new Entry(key.substring(prefix.length()), value, version);
    }

    byte[] transaction(Step step) {
        var all = new JsonArray();
        for (var change : step.changes()) {
            boolean absent = change.version() == Coordination.ABSENT;
            switch (change.kind()) {
                case PUT -> {
                    var put = operation("cas", change);
                    put.addProperty("Value", Base64.getEncoder().encodeToString(change.value()));
                    all.add(wrapped(put));
                }
                case REMOVE -> {
                    all.add(wrapped(operation("check-index", change)));
                    all.add(wrapped(operation("delete-cas", change)));
                }
                default -> all.add(wrapped(operation(absent ? "check-not-exists" : "check-index", change)));
            }
        }
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }

    private JsonObject operation(String verb, Step.Change change) {
        var operation = new JsonObject();
        operation.addProperty("Verb", verb);
        operation.addProperty("Key", prefix + change.key());
        operation.addProperty("Index", change.version());
        return operation;
    }

    private static JsonObject wrapped(JsonObject operation) {
        var outer = new JsonObject();
        outer.add("KV", operation);
        return outer;
    }

    /** By key, the versions that the answer to a transaction names. */
    Map<String, Long> versions(byte[] body) throws IOException {
        var found = new HashMap<String, Long>();
        for (var each : array(body, "Results")) {
            var entry = each.getAsJsonObject().getAsJsonObject("KV");
            var key = entry.get("Key").getAsString();
            found.put(key.startsWith(prefix) ? key.substring(prefix.length()) : key,
                    entry.get("ModifyIndex").getAsLong());
        }
        return found;
    }

    /** What the answer to a transaction that did not take effect says of each operation that failed. */
    List<String> errors(byte[] body) throws IOException {
        var found = new ArrayList<String>();
        for (var each : array(body, "Errors")) {
            found.add(each.getAsJsonObject().get("What").getAsString());
        }
        return found;
    }

    private static JsonArray array(byte[] body, String name) throws IOException {
        JsonElement all = JsonParser.parseString(new String(body, StandardCharsets.UTF_8));
        if (!all.isJsonObject()) {
            throw new IOException("not an object");
        }
        var found = all.getAsJsonObject().get(name);
        return found == null || found.isJsonNull() ? new JsonArray() : found.getAsJsonArray();
    }
}
