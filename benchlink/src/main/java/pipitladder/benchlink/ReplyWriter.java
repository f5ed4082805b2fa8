package pipitladder.benchlink;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonWriter;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
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

    private final Writer out;
    private final JsonWriter json;

    ReplyWriter(OutputStream stream) {
        out = new BufferedWriter(new OutputStreamWriter(stream, StandardCharsets.UTF_8), 1 << 16);
        json = new JsonWriter(out);
        // A reply is many values, one a line; anything stricter allows a single one.
        json.setStrictness(Strictness.LENIENT);
    }

    void action(long who, Action action) throws IOException {
        if (action instanceof Send send) {
            begin("try", who);
            json.name("ref").value(send.request());
            json.name("runner").value(send.worker());
            if (send.timeOut() > 0) {
                json.name("give_up_after").value(send.timeOut());
            }
        } else if (action instanceof SetTimer timer) {
            begin("remind", who);
            json.name("due_at").value(timer.dueAt());
            json.name("name").value(timer.name());
        } else if (action instanceof Refuse refuse) {
            begin("deny", who);
            json.name("ref").value(refuse.request());
            if (refuse.retryAfter() > 0) {
                json.name("not_before_for").value(refuse.retryAfter());
            }
        } else if (action instanceof Fail fail) {
            begin("drop_request", who);
            json.name("ref").value(fail.request());
        } else if (action instanceof Cancel cancel) {
            begin("cancel", who);
            json.name("ref").value(cancel.request());
            json.name("round_no").value(cancel.attempt());
        } else if (action instanceof Probe probe) {
            begin("inspect", who);
            json.name("runner").value(probe.worker());
        } else if (action instanceof TellPeers tell) {
            begin("memo_to", who);
            json.name("target").value("all");
            json.name("raw").value(tell.text());
        } else if (action instanceof Subscribe) {
            begin("keep_informed", who);
            json.name("want").value(true);
        } else if (action instanceof Log log) {
            begin("log", who);
            json.name("reason_text").value(log.text());
        }
        end();
    }

    /** Says that an instance's module has failed. */
    void fatal(long who, String cause) throws IOException {
        begin("fatal", who);
        json.name("reason_text").value(cause);
        end();
    }

    void endOfReply() throws IOException {
        json.beginObject();
        json.name("kind").value("ok");
        end();
        out.flush();
    }

    private void end() throws IOException {
        json.endObject();
        out.write('\n');
    }

    private void begin(String kind, long who) throws IOException {
        json.beginObject();
        json.name("kind").value(kind);
        json.name("who").value(who);
    }
}
