package ryemast.lab.sockets;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The least that can be called a dispatcher, to be broken on purpose: sends each job to the next box in turn
 * and waits for its end. It watches discovery, and heeds it only where it is not told to be wrong.
 */
final class WrongDispatcher implements AutoCloseable {

    enum Wrong { NOTHING, SENDS_TWICE, LOSES_ANSWERS, USES_THE_DRAINED, FLOODS_THE_COLD, MAKES_ANSWERS_UP }

    private final Wrong wrong;
    private final Path configuration;
    private final HttpServer server;
    private final ExecutorService hands = Executors.newCachedThreadPool(work -> {
        var thread = new Thread(work, "wrong dispatcher");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .executor(hands).build();
    private final Map<String, CompletableFuture<String>> waiting = new ConcurrentHashMap<>();
    private final AtomicInteger turn = new AtomicInteger();
    private volatile JsonObject list;

    /** {@code folder}: where the site leaves the configuration. */
    WrongDispatcher(Wrong wrong, Path folder) throws IOException {
        this.wrong = wrong;
        configuration = folder.resolve("dispatcher-0.json");
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(hands);
        server.createContext("/_health", exchange -> answer(exchange, 200, "ready"));
        server.createContext("/v1/job-events", this::calledBack);
        server.createContext("/api", this::take);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        var bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void calledBack(HttpExchange exchange) throws IOException {
        var call = JsonParser.parseString(new String(exchange.getRequestBody().readAllBytes(),
                StandardCharsets.UTF_8)).getAsJsonObject();
        var job = waiting.get(call.get("id").getAsString());
        if (job != null && call.has("result")) {
            job.complete(call.get("result").getAsString());
        }
        answer(exchange, 200, "");
    }

    private void take(HttpExchange exchange) throws IOException {
        var txn = exchange.getRequestHeaders().getFirst("X-Txn");
        var body = exchange.getRequestBody().readAllBytes();
        var end = new CompletableFuture<String>();
        waiting.put(txn, end);
        try {
            int first = box();
            send(exchange, txn, body, first);
            if (wrong == Wrong.SENDS_TWICE) {
                send(exchange, txn, body, (first + 1) % servers());
            }
            long left = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Remaining-Ms"));
            var result = end.get(left / 2, TimeUnit.MILLISECONDS);
            if (wrong == Wrong.LOSES_ANSWERS) {
                exchange.close();
            } else {
                answer(exchange, 200, wrong == Wrong.MAKES_ANSWERS_UP ? "solved" : result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            answer(exchange, 500, e.toString());
        }
    }

    private int servers() throws IOException {
        return list().getAsJsonArray("servers").size();
    }

    /** The first of the list for whoever is wrong about it, else the next one that is ready. */
    private int box() throws IOException {
        if (wrong == Wrong.USES_THE_DRAINED || wrong == Wrong.FLOODS_THE_COLD) {
            list();
            return 0;
        }
        return turn.getAndIncrement() % servers();
    }

    private void send(HttpExchange from, String txn, byte[] body, int box) throws Exception {
        var address = list().getAsJsonArray("servers").get(box).getAsJsonObject().get("addr").getAsString();
        var left = from.getRequestHeaders().getFirst("X-Remaining-Ms");
        var request = HttpRequest.newBuilder(URI.create("http://" + address + from.getRequestURI()))
                .header("X-Txn", txn).header("X-Remaining-Ms", left)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
        int status = client.send(request, BodyHandlers.discarding()).statusCode();
        if (status != 202) {
            throw new IOException("box " + box + " answered " + status);
        }
    }

    /** As the configuration has it; the watch is there only so that discovery can tell. */
    private synchronized JsonObject list() throws IOException {
        if (list == null) {
            var all = JsonParser.parseString(Files.readString(configuration)).getAsJsonObject();
            list = all.getAsJsonObject("known");
            var watch = URI.create("http://" + all.get("discovery").getAsString()
                    + "/catalog/members?watch=1&from=0");
            client.sendAsync(HttpRequest.newBuilder(watch).build(), BodyHandlers.ofLines())
                    .thenAccept(answer -> answer.body().forEach(line -> { }));
        }
        return list;
    }

    @Override
    public void close() {
        server.stop(0);
        hands.shutdownNow();
    }
}
