package ryemast.net.discovery;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Clock;
import ryemast.net.Addresses;
import ryemast.net.discovery.ListUpdate.Entry;

/** Reads the service table's JSON; zones and kinds are given the settings' numbers. */
public final class ListReader {

    /** The number of a zone or kind that the settings do not name. */
    private static final int UNKNOWN = -1;

    private final List<String> zones;
    private final List<String> kinds;

    public ListReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The settings' names, by their numbers. */
    public List<String> zones() {
        return zones;
    }

    public List<String> kinds() {
        return kinds;
    }

    /** One object; an {@link IOException} says what is wrong with it. */
    public ListUpdate read(String json) throws IOException {
        try (var in = new JsonReader(new StringReader(json))) {
            long version = 0;
            boolean full = false;
            List<Entry> entries = null;
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "version" -> version = in.nextLong();
                    case "full" -> full = in.nextBoolean();
                    case "servers" -> entries = entries(in);
                    default -> in.skipValue();
                }
            }
            in.endObject();
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new IOException("more than one value");
            }
            if (entries == null) {
                throw new IOException("no servers");
            }
            return new ListUpdate(version, full, entries);
        } catch (IllegalStateException | IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private List<Entry> entries(JsonReader in) throws IOException {
        var found = new ArrayList<Entry>();
        in.beginArray();
        while (in.hasNext()) {
            found.add(entry(in));
        }
        in.endArray();
        return List.copyOf(found);
    }

    private Entry entry(JsonReader in) throws IOException {
        String id = null;
        String address = null;
        WorkerState state = null;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        double weight = 1;
        long started = 0;
        in.beginObject();
        while (in.hasNext()) {
            var name = in.nextName();
            if (in.peek() == JsonToken.NULL) {
                in.nextNull();
                continue;
            }
            switch (name) {
                case "id" -> id = in.nextString();
                case "addr" -> address = in.nextString();
                case "state" -> state = state(in.nextString());
                case "zone" -> zone = number(zones, in.nextString());
                case "kind" -> kind = number(kinds, in.nextString());
                case "cell" -> cell = in.nextInt();
                case "weight" -> weight = in.nextDouble();
                case "started_ms" -> started = Clock.ofUnixMillis((long) in.nextDouble());
                default -> in.skipValue();
            }
        }
        in.endObject();
        if (id == null || state == null) {
            throw new IOException("an entry without " + (id == null ? "id" : "state"));
        }
        if (address == null && state != WorkerState.GONE) {
            throw new IOException("entry " + id + " without addr");
        }
        return new Entry(new WorkerInfo(id, state, kind, zone, cell, weight, started),
                address == null ? null : Addresses.parse(address));
    }

    private static int number(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? UNKNOWN : index;
    }

    private static WorkerState state(String word) throws IOException {
        return switch (word) {
            case "Ready" -> WorkerState.READY;
            case "Terminating" -> WorkerState.DRAINING;
            case "Gone" -> WorkerState.GONE;
            default -> throw new IOException("unknown state '" + word + "'");
        };
    }
}
