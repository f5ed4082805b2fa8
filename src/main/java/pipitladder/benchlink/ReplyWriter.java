package pipitladder.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.OutputStream;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.Log;
import pipitladder.Dispatcher.Probe;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.SetTimer;
import pipitladder.Dispatcher.Subscribe;
import pipitladder.Dispatcher.TellPeers;

/** Writes actions as the wire's reply lines. */
final class ReplyWriter {

    private final JsonGenerator json;

    ReplyWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    void action(long who, Action action) throws IOException {
        if (action instanceof Send send) {
            begin("try", who);
            json.writeNumberField("ref", send.request());
            json.writeStringField("runner", send.worker());
            if (send.timeOut() > 0) {
                json.writeNumberField("give_up_after", send.timeOut());
            }
        } else if (action instanceof SetTimer timer) {
            begin("remind", who);
            json.writeNumberField("due_at", timer.dueAt());
            json.writeStringField("name", timer.name());
        } else if (action instanceof Refuse refuse) {
            begin("deny", who);
            json.writeNumberField("ref", refuse.request());
            if (refuse.retryAfter() > 0) {
                json.writeNumberField("not_before_for", refuse.retryAfter());
            }
        } else if (action instanceof Fail fail) {
            begin("drop_request", who);
            json.writeNumberField("ref", fail.request());
        } else if (action instanceof Cancel cancel) {
            begin("cancel", who);
            json.writeNumberField("ref", cancel.request());
            json.writeNumberField("round_no", cancel.attempt());
        } else if (action instanceof Probe probe) {
            begin("inspect", who);
            json.writeStringField("runner", probe.worker());
        } else if (action instanceof TellPeers tell) {
            begin("memo_to", who);
            json.writeStringField("target", "all");
            json.writeStringField("raw", tell.text());
        } else if (action instanceof Subscribe) {
            begin("keep_informed", who);
            json.writeBooleanField("want", true);
        } else if (action instanceof Log log) {
            begin("log", who);
            json.writeStringField("reason_text", log.text());
        }
        json.writeEndObject();
    }

    /** Says that an instance's module has failed. */
    void fatal(long who, String cause) throws IOException {
        begin("fatal", who);
        json.writeStringField("reason_text", cause);
        json.writeEndObject();
    }

    void endOfReply() throws IOException {
        json.writeStartObject();
        json.writeStringField("kind", "ok");
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
    }

    private void begin(String kind, long who) throws IOException {
        json.writeStartObject();
        json.writeStringField("kind", kind);
        json.writeNumberField("who", who);
    }
}
