package ryemast.consul;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads answers of the catalogue; an {@link IOException} says why a text is none. */
final class CatalogReader {

    private CatalogReader() {
    }

    /** {@code GET /v1/catalog/services}: the names of those services that carry the tag, in order. */
    static List<String> services(Reader text, String tag) throws IOException {
        var found = new ArrayList<String>();
        try (var in = new JsonReader(text)) {
            in.beginObject();
            while (in.hasNext()) {
                var name = in.nextName();
                boolean carries = false;
                in.beginArray();
                while (in.hasNext()) {
                    carries |= in.nextString().equals(tag);
                }
                in.endArray();
                if (carries) {
                    found.add(name);
                }
            }
            in.endObject();
            end(in);
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IOException(e.getMessage(), e);
        }
        found.sort(null);
        return List.copyOf(found);
    }

    /** {@code GET /v1/catalog/service/:name}: the workers that are registered, whatever their checks say. */
    static Set<String> workers(Reader text, Field id) throws IOException {
        var found = new HashSet<String>();
        try (var in = new JsonReader(text)) {
            in.beginArray();
            while (in.hasNext()) {
                var entry = new Entry();
                in.beginObject();
                while (in.hasNext()) {
                    var name = in.nextName();
                    if (in.peek() == JsonToken.NULL) {
                        in.nextNull();
                        continue;
                    }
                    switch (name) {
                        case "Node" -> entry.node = in.nextString();
                        case "Datacenter" -> entry.datacenter = in.nextString();
                        case "NodeMeta" -> texts(in, entry.nodeMeta);
                        case "ServiceID" -> entry.serviceId = in.nextString();
                        case "ServiceName" -> entry.service = in.nextString();
                        case "ServiceMeta" -> texts(in, entry.serviceMeta);
                        default -> in.skipValue();
                    }
                }
                in.endObject();
                var worker = id.of(entry);
                if (worker != null) {
                    found.add(worker);
                }
            }
            in.endArray();
            end(in);
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IOException(e.getMessage(), e);
        }
        return Set.copyOf(found);
    }

    private static void texts(JsonReader in, java.util.Map<String, String> into) throws IOException {
        in.beginObject();
        while (in.hasNext()) {
            into.put(in.nextName(), in.nextString());
        }
        in.endObject();
    }

    private static void end(JsonReader in) throws IOException {
        if (in.peek() != JsonToken.END_DOCUMENT) {
            throw new IOException("more than one value");
        }
    }
}
