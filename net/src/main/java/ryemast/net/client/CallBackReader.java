package ryemast.net.client;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import ryemast.core.CallBack.State;
import ryemast.core.CallBack;

/** Reads a worker's call-back. */
public final class CallBackReader {

    private CallBackReader() {
    }

    /** An {@link IOException} says what is wrong with the text. */
    public static CallBack read(byte[] body) throws IOException {
        try (var in = new JsonReader(new StringReader(new String(body, StandardCharsets.UTF_8)))) {
            String id = null;
            String from = null;
            String state = null;
            String result = "";
            double share = 0;
            in.beginObject();
            while (in.hasNext()) {
                switch (in.nextName()) {
                    case "id" -> id = in.nextString();
                    case "from" -> from = in.nextString();
                    case "state" -> state = in.nextString();
                    case "share" -> share = in.nextDouble();
                    case "result" -> result = in.nextString();
                    default -> in.skipValue();
                }
            }
            in.endObject();
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new IOException("more than one value");
            }
            if (id == null || from == null) {
                throw new IOException(id == null ? "no id" : "no from");
            }
            return new CallBack(id, from, state(state), share, result);
        } catch (IllegalStateException | NumberFormatException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static State state(String word) throws IOException {
        if (word == null) {
            throw new IOException("no state");
        }
        return switch (word) {
            case "started" -> State.STARTED;
            case "running" -> State.RUNNING;
            case "done" -> State.DONE;
            case "failed" -> State.FAILED;
            case "returned" -> State.RETURNED;
            case "lost" -> State.LOST;
            default -> throw new IOException("unknown state '" + word + "'");
        };
    }
}
