package ryemast.consul;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ryemast.membership.ListedWorker;

/**
 * Reads an answer of {@code GET /v1/health/service/:name} as a stream, entry by entry, so that thousands of
 * entries take the memory of their workers alone. An entry that can't be a worker is told of and left out,
 * and the others are followed; only a text that is no such answer at all is an error.
 */
public final class HealthReader {

    /**
     * @param workers     in the order of the answer
     * @param complaints  one for each entry left out: its place, its key and what was expected
     */
    public record Answer(List<ListedWorker> workers, List<String> complaints) {
    }

    /** An answer full of faulty entries must not fill the memory with their complaints. */
    private static final int MOST_COMPLAINTS = 100;

    private final Mapping mapping;

    public HealthReader(Mapping mapping) {
        this.mapping = mapping;
    }

    /** An {@link IOException} says why the text is no answer of this API. */
    public Answer read(Reader text) throws IOException {
        var workers = new ArrayList<ListedWorker>();
        var complaints = new ArrayList<String>();
        try (var in = new JsonReader(text)) {
            if (in.peek() == JsonToken.NULL) {
                in.nextNull();
            } else {
                in.beginArray();
                for (int place = 0; in.hasNext(); place++) {
                    var entry = entry(in);
                    try {
                        workers.add(mapping.worker(entry));
                    } catch (Mapping.Unusable | IllegalArgumentException e) {
                        if (complaints.size() < MOST_COMPLAINTS) {
                            complaints.add("[" + place + "] " + entry.name() + ": " + e.getMessage());
                        }
                    }
                }
                in.endArray();
            }
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new IOException("more than one value");
            }
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IOException(e.getMessage(), e);
        }
        return new Answer(List.copyOf(workers), List.copyOf(complaints));
    }

    private interface Key {
        void read(String name) throws IOException;
    }

    private static Entry entry(JsonReader in) throws IOException {
        var entry = new Entry();
        object(in, name -> {
            switch (name) {
                case "Node" -> node(in, entry);
                case "Service" -> service(in, entry);
                case "Checks" -> {
                    in.beginArray();
                    while (in.hasNext()) {
                        check(in, entry);
                    }
                    in.endArray();
                }
                default -> in.skipValue();
            }
        });
        return entry;
    }

    private static void node(JsonReader in, Entry entry) throws IOException {
        object(in, name -> {
            switch (name) {
                case "Node" -> entry.node = in.nextString();
                case "Address" -> entry.nodeAddress = in.nextString();
                case "Datacenter" -> entry.datacenter = in.nextString();
                case "Meta" -> texts(in, entry.nodeMeta);
                default -> in.skipValue();
            }
        });
    }

    private static void service(JsonReader in, Entry entry) throws IOException {
        object(in, name -> {
            switch (name) {
                case "ID" -> entry.serviceId = in.nextString();
                case "Service" -> entry.service = in.nextString();
                case "Address" -> entry.serviceAddress = in.nextString();
                case "Port" -> entry.port = in.nextLong();
                case "Meta" -> texts(in, entry.serviceMeta);
                case "Weights" -> weights(in, entry);
                case "CreateIndex" -> entry.createIndex = in.nextLong();
                default -> in.skipValue();
            }
        });
    }

    private static void weights(JsonReader in, Entry entry) throws IOException {
        object(in, name -> {
            switch (name) {
                case "Passing" -> entry.passingWeight = in.nextDouble();
                case "Warning" -> entry.warningWeight = in.nextDouble();
                default -> in.skipValue();
            }
        });
    }

    private static void check(JsonReader in, Entry entry) throws IOException {
        var found = new String[4];
        object(in, name -> {
            switch (name) {
                case "CheckID" -> found[0] = in.nextString();
                case "Status" -> found[1] = in.nextString();
                case "Notes" -> found[2] = in.nextString();
                case "Output" -> found[3] = in.nextString();
                default -> in.skipValue();
            }
        });
        entry.checks.add(new Entry.Check(found[0], found[1], found[2], found[3]));
    }

    private static void texts(JsonReader in, Map<String, String> into) throws IOException {
        object(in, name -> into.put(name, in.nextString()));
    }

    /** One object, key by key; a value of null is as if the key were not there. */
    private static void object(JsonReader in, Key key) throws IOException {
        in.beginObject();
        while (in.hasNext()) {
            var name = in.nextName();
            if (in.peek() == JsonToken.NULL) {
                in.nextNull();
            } else {
                key.read(name);
            }
        }
        in.endObject();
    }
}
