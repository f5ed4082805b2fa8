package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Discovery as the protocol page has it: the whole list, and a watch with an empty line every 2 s. */
final class Discovery {

    final int port;
    private final List<Worker> workers;

    Discovery(List<Worker> workers) throws IOException {
        this.workers = workers;
        port = Http.freePort();
        Http.serve(port, this::take);
    }

    String list() {
        var entries = new ArrayList<String>();
        for (var each : workers) {
            entries.add("{\"id\":\"" + each.id + "\",\"addr\":\"127.0.0.1:" + each.port + "\",\"zone\":\"room-1\","
                    + "\"kind\":\"" + each.kind + "\",\"cell\":0,\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}");
        }
        return "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    }

    private boolean take(Http.Message request, OutputStream out) throws Exception {
        if (!request.second().contains("watch=1")) {
            Http.answer(out, 200, "application/json", list().getBytes(StandardCharsets.UTF_8));
            return true;
        }
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        chunk(out, list() + "\n");
        while (true) {
            Thread.sleep(2_000);
            chunk(out, "\n");
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        var bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
