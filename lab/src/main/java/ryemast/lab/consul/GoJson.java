package ryemast.lab.consul;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Bodies of calls as Go reads them: keys count whatever their case, and null is the same as nothing. */
final class GoJson {

    private GoJson() {
    }

    static JsonObject object(ConsulCall call) {
        return JsonParser.parseString(call.body()).getAsJsonObject();
    }

    /** As Go reads JSON: whatever the case of the key; null where it is absent, or null. */
    static JsonElement value(JsonObject json, String key) {
        for (var each : json.entrySet()) {
            if (each.getKey().equalsIgnoreCase(key) && !each.getValue().isJsonNull()) {
                return each.getValue();
            }
        }
        return null;
    }

    static String text(JsonObject json, String key, String otherwise) {
        var value = value(json, key);
        return value == null || value.getAsString().isEmpty() ? otherwise : value.getAsString();
    }

    static int whole(JsonObject json, String key, int otherwise) {
        var value = value(json, key);
        return value == null ? otherwise : value.getAsInt();
    }

    /** An object's; none where the key is absent. */
    static JsonObject object(JsonObject json, String key) {
        var value = value(json, key);
        return value == null ? null : value.getAsJsonObject();
    }

    static List<JsonElement> array(JsonObject json, String key) {
        var value = value(json, key);
        return value == null ? List.of() : value.getAsJsonArray().asList();
    }

    static Map<String, String> texts(JsonObject json, String key) {
        var found = new TreeMap<String, String>();
        var object = object(json, key);
        if (object != null) {
            object.entrySet().forEach(each -> found.put(each.getKey(), each.getValue().getAsString()));
        }
        return found;
    }
}
