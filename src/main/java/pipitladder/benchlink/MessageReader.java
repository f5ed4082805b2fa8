package pipitladder.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;

/** Reads the wire's messages one by one; fields it does not know are passed over. */
final class MessageReader {

    private final JsonParser json;
    private final Message message = new Message();

    MessageReader(InputStream in) throws IOException {
        json = new JsonFactory().createParser(in);
    }

    int line() {
        return json.currentLocation().getLineNr();
    }

    /** The next message, or null at the end of the input. */
    Message next() throws IOException {
        var token = json.nextToken();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_OBJECT) {
            throw new MalformedInputException("a message must be a JSON object");
        }
        message.clear();
        for (var field = json.nextFieldName(); field != null; field = json.nextFieldName()) {
            if (json.nextToken() != JsonToken.VALUE_NULL) {
                readField(field);
            }
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
            default -> json.skipChildren();
        }
    }

    private List<WorkerInfo> workers(String field) throws IOException {
        expect(JsonToken.START_ARRAY, field, "an array");
        var all = new ArrayList<WorkerInfo>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(JsonToken.START_OBJECT, field, "an array of objects");
            all.add(worker());
        }
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
        for (var field = json.nextFieldName(); field != null; field = json.nextFieldName()) {
            if (json.nextToken() == JsonToken.VALUE_NULL) {
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
                default -> json.skipChildren();
            }
        }
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
        expect(JsonToken.START_OBJECT, field, "an object");
        var map = new LinkedHashMap<String, Object>();
        for (var name = json.nextFieldName(); name != null; name = json.nextFieldName()) {
            json.nextToken();
            map.put(name, value(name));
        }
        return map;
    }

    private Object value(String field) throws IOException {
        return switch (json.currentToken()) {
            case START_OBJECT -> object(field);
            case START_ARRAY -> {
                var list = new ArrayList<>();
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(field));
                }
                yield list;
            }
            case VALUE_STRING -> json.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> json.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    private double[] numbers(String field) throws IOException {
        expect(JsonToken.START_ARRAY, field, "an array");
        var found = new double[4];
        int count = 0;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (count == found.length) {
                found = Arrays.copyOf(found, 2 * count);
            }
            found[count++] = json.currentToken() == JsonToken.VALUE_NULL ? Double.NaN : number(field);
        }
        return Arrays.copyOf(found, count);
    }

    private long integer(String field) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            return (long) number(field);
        }
        return json.getLongValue();
    }

    private double number(String field) throws IOException {
        if (!json.currentToken().isNumeric()) {
            throw new MalformedInputException(field + " must be a number");
        }
        return json.getDoubleValue();
    }

    private boolean bool(String field) throws IOException {
        if (!json.currentToken().isBoolean()) {
            throw new MalformedInputException(field + " must be true or false");
        }
        return json.getBooleanValue();
    }

    private String text(String field) throws IOException {
        expect(JsonToken.VALUE_STRING, field, "text");
        return json.getText();
    }

    private void expect(JsonToken token, String field, String what) throws MalformedInputException {
        if (json.currentToken() != token) {
            throw new MalformedInputException(field + " must be " + what);
        }
    }
}
