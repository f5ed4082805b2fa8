package pipitladder.benchlink;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;

/** Reads the wire's messages one by one, a line each; fields it does not know are passed over. */
final class MessageReader {

    private final BufferedReader lines;
    private final Message message = new Message();
    private int line;
    private JsonReader json;

    MessageReader(InputStream in) {
        lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    }

    int line() {
        return line;
    }

    /** The next message, or null at the end of the input. */
    Message next() throws IOException {
        String text;
        do {
            text = lines.readLine();
            line++;
        } while (text != null && text.isBlank());
        if (text == null) {
            return null;
        }
        json = new JsonReader(new StringReader(text));
        expect(JsonToken.BEGIN_OBJECT, "a message", "a JSON object");
        message.clear();
        json.beginObject();
        while (json.hasNext()) {
            var field = json.nextName();
            if (json.peek() == JsonToken.NULL) {
                json.nextNull();
            } else {
                readField(field);
            }
        }
        json.endObject();
        if (json.peek() != JsonToken.END_DOCUMENT) {
            throw new MalformedInputException("more than one message on a line");
        }
        if (message.kind == null) {
            throw new MalformedInputException("a message without kind");
        }
        return message;
    }

    private void readField(String field) throws IOException {
        switch (field) {
            case "kind" -> message.kind = text(field);
            case "who" -> message.who = integer(field);
            case "ref" -> message.ref = integer(field);
            case "t" -> message.time = integer(field);
            case "random_seed" -> message.seed = integer(field);
            case "expires_in" -> message.expiresIn = integer(field);
            case "customer" -> message.tenant = integer(field);
            case "size_hint" -> message.costHint = integer(field);
            case "state_bits" -> message.flags = integer(field);
            case "category" -> message.category = integer(field);
            case "round_no" -> message.attempt = integer(field);
            case "origin_peer" -> message.from = integer(field);
            case "what" -> message.what = integer(field);
            case "needs" -> message.slots = number(field);
            case "ram_units" -> message.memory = number(field);
            case "x" -> message.done = number(field);
            case "ended" -> message.closed = bool(field);
            case "code" -> message.code = text(field);
            case "runner" -> message.worker = text(field);
            case "name" -> message.name = text(field);
            case "scope" -> message.scope = text(field);
            case "raw" -> message.text = text(field);
            case "gauge" -> message.report = numbers(field);
            case "env" -> message.settings = object(field);
            case "entries" -> message.workers = workers(field);
            default -> json.skipValue();
        }
    }

    private List<WorkerInfo> workers(String field) throws IOException {
        expect(JsonToken.BEGIN_ARRAY, field, "an array");
        var all = new ArrayList<WorkerInfo>();
        json.beginArray();
        while (json.hasNext()) {
            expect(JsonToken.BEGIN_OBJECT, field, "an array of objects");
            all.add(worker());
        }
        json.endArray();
        return all;
    }

    private WorkerInfo worker() throws IOException {
        String id = null;
        WorkerState state = null;
        int kind = 0;
        int zone = 0;
        int cell = 0;
        double weight = 1;
        long startedAt = 0;
        json.beginObject();
        while (json.hasNext()) {
            var field = json.nextName();
            if (json.peek() == JsonToken.NULL) {
                json.nextNull();
                continue;
            }
            switch (field) {
                case "runner" -> id = text(field);
                case "condition" -> state = state(text(field));
                case "model" -> kind = (int) integer(field);
                case "zone" -> zone = (int) integer(field);
                case "block" -> cell = (int) integer(field);
                case "weight" -> weight = number(field);
                case "last_start" -> startedAt = integer(field);
                default -> json.skipValue();
            }
        }
        json.endObject();
        if (id == null || state == null) {
            throw new MalformedInputException("an entry without " + (id == null ? "runner" : "condition"));
        }
        return new WorkerInfo(id, state, kind, zone, cell, weight, startedAt);
    }

    private static WorkerState state(String word) throws MalformedInputException {
        return switch (word) {
            case "healthy" -> WorkerState.READY;
            case "cordoned" -> WorkerState.DRAINING;
            case "deregistered" -> WorkerState.GONE;
            default -> throw new MalformedInputException("unknown condition '" + word + "'");
        };
    }

    private Map<String, Object> object(String field) throws IOException {
        expect(JsonToken.BEGIN_OBJECT, field, "an object");
        var map = new LinkedHashMap<String, Object>();
        json.beginObject();
        while (json.hasNext()) {
            var name = json.nextName();
            map.put(name, value(name));
        }
        json.endObject();
        return map;
    }

    private Object value(String field) throws IOException {
        return switch (json.peek()) {
            case BEGIN_OBJECT -> object(field);
            case BEGIN_ARRAY -> {
                var list = new ArrayList<>();
                json.beginArray();
                while (json.hasNext()) {
                    list.add(value(field));
                }
                json.endArray();
                yield list;
            }
            case STRING -> json.nextString();
            case NUMBER -> json.nextDouble();
            case BOOLEAN -> json.nextBoolean();
            default -> {
                json.skipValue();
                yield null;
            }
        };
    }

    private double[] numbers(String field) throws IOException {
        expect(JsonToken.BEGIN_ARRAY, field, "an array");
        var found = new double[4];
        int count = 0;
        json.beginArray();
        while (json.hasNext()) {
            if (count == found.length) {
                found = Arrays.copyOf(found, 2 * count);
            }
            if (json.peek() == JsonToken.NULL) {
                json.nextNull();
                found[count++] = Double.NaN;
            } else {
                found[count++] = number(field);
            }
        }
        json.endArray();
        return Arrays.copyOf(found, count);
    }

    private long integer(String field) throws IOException {
        expect(JsonToken.NUMBER, field, "a number");
        try {
            return json.nextLong();
        } catch (NumberFormatException e) {
            return (long) json.nextDouble();
        }
    }

    private double number(String field) throws IOException {
        expect(JsonToken.NUMBER, field, "a number");
        return json.nextDouble();
    }

    private boolean bool(String field) throws IOException {
        expect(JsonToken.BOOLEAN, field, "true or false");
        return json.nextBoolean();
    }

    private String text(String field) throws IOException {
        expect(JsonToken.STRING, field, "text");
        return json.nextString();
    }

    private void expect(JsonToken token, String field, String what) throws IOException {
        if (json.peek() != token) {
            throw new MalformedInputException(field + " must be " + what);
        }
    }
}
