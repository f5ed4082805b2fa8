package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.Remote;

/**
 * A small site on loopback: the project's own program, started with the command of the deploy file, beside
 * stand-ins for discovery and workers that do what the protocol page says and no more. Whatever is sent,
 * run and answered goes into the record.
 */
final class Site implements AutoCloseable {

    /** The script's exit codes. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long PATIENCE_S = 30;
    private static final long LONGEST_S = 110;

    final Path folder;
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final int port = freePort();
    final Discovery discovery;
    private final Path record;
    private final long began = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Map<String, String> environment = new HashMap<>();
    private final List<String> kept = new CopyOnWriteArrayList<>();
    private volatile String wanted;
    private String settings;

    /** {@code recordIn}: the folder of the case. */
    Site(Path recordIn, int count) throws Exception {
        record = recordIn.resolve("record.txt");
        Files.deleteIfExists(record);
        folder = Files.createTempDirectory("review-2-");
        var guard = new Thread(this::endProcesses);
        Runtime.getRuntime().addShutdownHook(guard);
        var limit = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(LONGEST_S);
            } catch (InterruptedException e) {
                return;
            }
            note("the case took longer than " + LONGEST_S + " s");
            Runtime.getRuntime().exit(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        for (int i = 1; i <= count; i++) {
            workers.add(new Worker("s-" + i));
        }
        discovery = new Discovery();
    }

    /** Runs a case: its exit code is the script's; anything that goes wrong means that it could not run. */
    static void run(String[] arguments, int workers, Case steps) {
        int code = COULD_NOT_RUN;
        try (var site = new Site(Path.of(arguments[0]), workers)) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            site.note(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
            try {
                code = steps.run(site, trouble) ? HELD : BROKEN;
            } catch (Exception | AssertionError e) {
                site.note("could not run: " + e);
                e.printStackTrace();
            }
            site.note(code == HELD ? "result: the rule held" : code == BROKEN ? "result: the rule was broken"
                    : "result: the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().exit(code);
    }

    /** The steps of a case; true if the rule held. */
    interface Case {
        boolean run(Site site, boolean trouble) throws Exception;
    }

    synchronized void note(String text) {
        var line = String.format(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - began) / 1e9, text);
        System.out.print(line);
        try {
            Files.writeString(record, line, java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void until(String what, Callable<Boolean> condition) throws Exception {
        until(what, PATIENCE_S, condition);
    }

    static void until(String what, long seconds, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("waited in vain for: " + what);
            }
            Thread.sleep(5);
        }
    }

    /** From now on lines of the log that hold these words are kept. */
    void keep(String words) {
        wanted = words;
    }

    List<String> kept() {
        return kept;
    }

    void settings(String json) {
        settings = json;
    }

    /** The settings of a small deployment with the three classes and the tenants of the wire page. */
    static String smallSite(String... tenants) {
        var parties = new StringBuilder();
        for (var each : tenants) {
            parties.append(parties.length() == 0 ? "" : ",").append("{\"name\":\"").append(each)
                    .append("\",\"quota_per_s\":20.0,\"portion\":0.5}");
        }
        return "{\"allowed\":{\"cancelling\":true,\"conn_idle\":5000000,\"connect_timeout\":250000,"
                + "\"max_attempts\":5,\"max_open\":1000,\"max_retry_after\":2000000,\"probes\":false,"
                + "\"peer_messages\":false,\"retry_after\":true,\"second_copies\":true,"
                + "\"streams_per_conn\":1},\"areas\":[\"room-1\"],\"callers\":{\"marks_retry\":false},"
                + "\"categories\":["
                + "{\"name\":\"load-puzzle\",\"effect\":\"free\",\"key_scope\":\"all\",\"on_time\":150000,"
                + "\"deadline\":5000000,\"late_worth\":0.0,\"window\":5000000,\"worth\":3.0,"
                + "\"streaming\":false},"
                + "{\"name\":\"build-pack\",\"effect\":\"free\",\"key_scope\":\"all\",\"on_time\":1500000,"
                + "\"deadline\":20000000,\"late_worth\":0.0,\"window\":5000000,\"worth\":3.0,"
                + "\"streaming\":false},"
                + "{\"name\":\"award-sticker\",\"effect\":\"single_shot\",\"key_scope\":\"all\","
                + "\"on_time\":500000,\"deadline\":7500000,\"late_worth\":0.0,\"window\":5000000,"
                + "\"worth\":5.0,\"streaming\":false}],"
                + "\"fleet_size\":1,\"locality\":0,\"models\":[\"quick-2c\"],"
                + "\"obligations\":{\"ask_every\":10000000,\"cold\":24000000,\"drain_grace\":500000,"
                + "\"fall\":1000000,\"fall_multiple\":4.0,\"grace_to_answer\":20000,"
                + "\"start_capacity\":0.13},\"ordinal\":0,\"over_share_worth\":0.1,\"parties\":[" + parties
                + "],\"registry_mode\":\"subscribe\",\"report\":{\"fields\":[],\"source\":\"silent\"},"
                + "\"resolution\":5000,\"service_type\":\"jobs\",\"specifics\":{\"class_kind\":[-1,-1,-1],"
                + "\"class_priority\":[0,0,1],\"class_stretch\":[2.0,2.0,2.0],\"progress\":2000000,"
                + "\"queue_order\":\"fifo\",\"tells_start\":true},\"tier\":0,\"tiers\":[\"puzzle-boxes\"],"
                + "\"weights\":\"rough\",\"worth_by\":\"work\"}";
    }

    void environment(String name, String value) {
        environment.put(name, value);
    }

    /** Starts the program by `run` of the deploy file and waits until clients may come. */
    Process start(String name, int listen) throws Exception {
        var config = folder.resolve("config-" + name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen
                + "\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\"" + Long.toHexString(
                        System.nanoTime()) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                + "\"sockets\":1024},\"known\":" + discovery.list(true) + ",\"settings\":" + settings + "}");
        var run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        var command = run.substring("run = \"".length(), run.lastIndexOf('"')).replace("\\\"", "\"");
        var builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().putAll(environment);
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + listen);
        builder.environment().put("BALANCER_DISCOVERY", discovery.address());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createTempDirectory(folder, "tmp-").toString());
        var process = builder.redirectErrorStream(true).start();
        processes.add(process);
        note("started dispatcher " + name + ", process " + process.pid());
        var reader = new Thread(() -> process.inputReader().lines().forEach(line -> {
            if (wanted != null && line.contains(wanted)) {
                kept.add(line);
            }
            note("log of " + name + ": " + line);
        }));
        reader.setDaemon(true);
        reader.start();
        until("the dispatcher to be ready", () -> {
            if (!process.isAlive()) {
                throw new AssertionError("the dispatcher ended with " + process.exitValue());
            }
            try {
                return ask(listen, "GET", "/_health", "", "").startsWith("200 ");
            } catch (IOException e) {
                return false;
            }
        });
        note("dispatcher " + name + " is ready");
        return process;
    }

    /** Starts another program of the project's, whose output goes into the record. */
    Process start(String name, List<String> command) throws IOException {
        var process = new ProcessBuilder(command).redirectErrorStream(true).start();
        processes.add(process);
        note("started " + name + ", process " + process.pid());
        var reader = new Thread(() -> process.inputReader().lines().forEach(
                line -> note("log of " + name + ": " + line)));
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    /** Sends a signal by its name, such as KILL, to a process of this case. */
    void signal(Process process, String name) throws Exception {
        note("signal " + name + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** One request on a connection of its own; the answer is status, a blank and the body. */
    static String ask(int port, String method, String target, String headers, String body)
            throws IOException {
        try (var socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(30_000);
            send(socket.getOutputStream(), method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + port
                    + "\r\n" + headers, body);
            var message = Message.read(new BufferedInputStream(socket.getInputStream()));
            if (message == null) {
                throw new EOFException("no answer");
            }
            return message.first.split(" ")[1] + " " + message.body;
        }
    }

    static void send(OutputStream out, String head, String body) throws IOException {
        var bytes = body.getBytes(StandardCharsets.UTF_8);
        var all = new ByteArrayOutputStream();
        all.write((head + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    private void endProcesses() {
        for (var each : processes) {
            each.destroyForcibly();
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        try (var all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        }
    }

    /** One HTTP message with a body of a stated length. */
    static final class Message {
        String first;
        final Map<String, String> headers = new HashMap<>();
        String body = "";

        /** Null at the end of the connection. */
        static Message read(InputStream in) throws IOException {
            var first = line(in);
            if (first == null) {
                return null;
            }
            var message = new Message();
            message.first = first;
            for (var line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            return message;
        }

        private static String line(InputStream in) throws IOException {
            var line = new ByteArrayOutputStream();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                if (c != '\r') {
                    line.write(c);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private static void background(Runnable step) {
        var thread = new Thread(step);
        thread.setDaemon(true);
        thread.start();
    }

    private interface Talk {
        void with(Socket socket) throws Exception;
    }

    private static ServerSocket listen(Talk talk) throws IOException {
        var server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        accept(server, talk);
        return server;
    }

    private static void accept(ServerSocket server, Talk talk) {
        background(() -> {
            while (!server.isClosed()) {
                try {
                    var socket = server.accept();
                    background(() -> {
                        try (socket) {
                            socket.setTcpNoDelay(true);
                            talk.with(socket);
                        } catch (Exception e) {
                            // The other side has gone.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** What a worker does with a job. */
    record Work(long millis, boolean fails) {
    }

    /** One run of a job at a worker. */
    record Run(String worker, String txn, String target) {
    }

    /** All runs, in the order of their starts. */
    final List<Run> runs = new CopyOnWriteArrayList<>();
    /** By target; others take 50 ms and are done. */
    final Map<String, Work> work = new ConcurrentHashMap<>();

    long runsOf(String target) {
        return runs.stream().filter(each -> each.target.equals(target)).count();
    }

    /** Where call-backs about a job go, by its name; by default to the one dispatcher there is. */
    volatile ToIntFunction<String> callBacks = txn -> port;

    /** A worker: takes each job, tells that it has started, then how it has ended. */
    final class Worker {
        final String id;
        private final ServerSocket server;
        volatile String state = "Ready";
        volatile String kind = "quick-2c";
        /** Connections that were made to it. */
        final AtomicInteger connections = new AtomicInteger();
        private final Map<String, Boolean> dropped = new ConcurrentHashMap<>();

        Worker(String id) throws IOException {
            this.id = id;
            server = listen(this::serve);
        }

        /** One whose connections come up only once it {@link #opens}: until then its queue is full. */
        Worker(String id, List<Socket> fillers) throws IOException {
            this.id = id;
            server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            while (fillers.size() < 16) {
                var filler = new Socket();
                try {
                    filler.connect(server.getLocalSocketAddress(), 300);
                    fillers.add(filler);
                } catch (IOException e) {
                    filler.close();
                    return;
                }
            }
            throw new IOException("the queue of connections does not fill");
        }

        void opens() {
            accept(server, this::serve);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            connections.incrementAndGet();
            var in = new BufferedInputStream(socket.getInputStream());
            for (var request = Message.read(in); request != null; request = Message.read(in)) {
                var parts = request.first.split(" ");
                if (parts[0].equals("DELETE")) {
                    note(id + " is told to drop " + parts[1]);
                    dropped.put(parts[1].substring("/jobs/".length()), true);
                    send(socket.getOutputStream(), "HTTP/1.1 200 OK\r\n", "");
                    continue;
                }
                var txn = request.headers.get("x-txn");
                if (txn == null) {
                    send(socket.getOutputStream(), "HTTP/1.1 404 Not Found\r\n", "");
                    continue;
                }
                note(id + " takes job " + txn + " " + parts[1]);
                var target = parts[1];
                send(socket.getOutputStream(), "HTTP/1.1 202 Accepted\r\n", "");
                background(() -> carryOut(txn, target));
            }
        }

        private void carryOut(String txn, String target) {
            try {
                var its = work.getOrDefault(target, new Work(50, false));
                runs.add(new Run(id, txn, target));
                note(id + " runs " + txn + " " + target);
                tell(txn, "\"state\":\"started\"");
                Thread.sleep(its.millis);
                if (dropped.containsKey(txn)) {
                    return;
                }
                tell(txn, its.fails ? "\"state\":\"failed\"" : "\"state\":\"done\",\"result\":\"made of "
                        + target + "\"");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Each call is tried until it is answered, at most ten times. */
        private void tell(String txn, String what) throws InterruptedException {
            for (int i = 0; i < 10; i++) {
                try {
                    var answer = ask(callBacks.applyAsInt(txn), "POST", "/v1/job-events", "Content-Type: application/json\r\n",
                            "{\"id\":\"" + txn + "\",\"from\":\"" + id + "\"," + what + "}");
                    note(id + " tells of " + txn + ": " + what + "; answered " + answer.strip());
                    if (answer.startsWith("20")) {
                        return;
                    }
                } catch (IOException e) {
                    // Nobody is there; tried again.
                }
                Thread.sleep(200);
            }
        }
    }

    /** The platform's list of workers. */
    final class Discovery {
        private final ServerSocket server = listen(this::serve);
        private volatile int version = 41;

        Discovery() throws IOException {
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** The present states are told to all watches. */
        void changed() {
            version++;
        }

        String list(boolean full) {
            var list = new ArrayList<String>();
            for (var each : workers) {
                list.add("{\"id\":\"" + each.id + "\",\"addr\":\"" + each.address()
                        + "\",\"zone\":\"room-1\",\"kind\":\"" + each.kind
                        + "\",\"cell\":0,\"state\":\"" + each.state
                        + "\",\"weight\":2.0,\"started_ms\":0}");
            }
            return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                    + String.join(",", list) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            var in = new BufferedInputStream(socket.getInputStream());
            for (var request = Message.read(in); request != null; request = Message.read(in)) {
                if (!request.first.contains("watch=1")) {
                    send(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
                            list(true));
                    continue;
                }
                var out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                int told = version;
                chunk(out, list(true));
                for (long beat = System.nanoTime();;) {
                    Thread.sleep(20);
                    if (told != version) {
                        told = version;
                        chunk(out, list(false));
                    } else if (System.nanoTime() - beat > 2_000_000_000L) {
                        beat = System.nanoTime();
                        chunk(out, "");
                    }
                }
            }
        }

        private void chunk(OutputStream out, String line) throws IOException {
            out.write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n").getBytes());
            out.flush();
        }
    }

    /** Keys as `./ryemast keys` makes them, by the JDK's own keytool, and the operator file's section. */
    final class Batch {
        final int listen = freePort();
        final Path keys = Files.createDirectories(folder.resolve("keys"));
        final Path store = Files.createDirectories(folder.resolve("batch"));

        Batch() throws Exception {
            tool("-genkeypair", "-alias", "ca", "-dname", "CN=authority", "-ext", "bc:c=ca:true", "-ext",
                    "ku:c=keyCertSign,cRLSign");
            pem("ca", keys.resolve("authority.crt"), null);
            signed("server", "CN=dispatcher", "eku=serverAuth", "san=ip:127.0.0.1");
            pem("server", keys.resolve("server.crt"), keys.resolve("server.key"));
            var operator = folder.resolve("operator.toml");
            Files.writeString(operator, "[batch]\nlisten = \"127.0.0.1:" + listen + "\"\nfolder = \"" + store
                    + "\"\nkeys_folder = \"" + keys + "\"\n");
            environment("RYEMAST_OPERATOR", operator.toString());
        }

        /** A folder with the keys of a submitter of an account. */
        Path submitter(String name, String account) throws Exception {
            var mine = Files.createDirectories(folder.resolve("submitter-" + name));
            signed(name, "CN=" + name + ",O=" + account, "eku=clientAuth", null);
            pem(name, mine.resolve("submitter.crt"), mine.resolve("submitter.key"));
            Files.copy(keys.resolve("authority.crt"), mine.resolve("authority.crt"));
            return mine;
        }

        /** A submitter's calls over a connection of its own, to the session that all cases use. */
        Remote remote(Path mine) throws DrmaaException {
            return new Remote(Contact.of("ryemast://127.0.0.1:" + listen + "/spring-term?keys=" + mine),
                    30_000);
        }

        private void signed(String alias, String subject, String use, String address) throws Exception {
            var arguments = new ArrayList<>(List.of("-genkeypair", "-alias", alias, "-dname", subject,
                    "-signer", "ca", "-ext", "ku:c=digitalSignature", "-ext", use));
            if (address != null) {
                arguments.addAll(List.of("-ext", address));
            }
            tool(arguments.toArray(new String[0]));
        }

        private void tool(String... what) throws Exception {
            var command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "keytool")
                    .toString()));
            command.addAll(List.of(what));
            command.addAll(List.of("-keystore", folder.resolve("all.p12").toString(), "-storetype", "PKCS12",
                    "-storepass", "changeit", "-keyalg", "EC", "-groupname", "secp256r1", "-validity", "30",
                    "-startdate", "-1d"));
            var process = new ProcessBuilder(command).redirectErrorStream(true).start();
            var said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (process.waitFor() != 0) {
                throw new IOException("keytool: " + said);
            }
        }

        private void pem(String alias, Path certificate, Path key) throws Exception {
            var store = KeyStore.getInstance("PKCS12");
            try (var in = Files.newInputStream(folder.resolve("all.p12"))) {
                store.load(in, "changeit".toCharArray());
            }
            Files.writeString(certificate, text("CERTIFICATE", store.getCertificate(alias).getEncoded()));
            if (key != null) {
                Files.writeString(key, text("PRIVATE KEY",
                        store.getKey(alias, "changeit".toCharArray()).getEncoded()));
            }
        }

        private String text(String kind, byte[] bytes) {
            return "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'})
                    .encodeToString(bytes) + "\n-----END " + kind + "-----\n";
        }
    }

    /** A proxy between one submitter and the front: a network that can be cut. */
    final class Proxy {
        private final ServerSocket server;
        private final int to;
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        /** No connection comes up. */
        private volatile boolean cut;
        /** What comes from the front is dropped and the network is cut, as soon as something comes. */
        private volatile boolean cutsAtAnswer;

        Proxy(int to) throws IOException {
            this.to = to;
            server = listen(this::serve);
        }

        int port() {
            return server.getLocalPort();
        }

        void cutAtNextAnswer() {
            cutsAtAnswer = true;
        }

        boolean isCut() {
            return cut;
        }

        void mend() {
            note("the network between submitter and front is whole again");
            cut = false;
        }

        private void serve(Socket client) throws Exception {
            if (cut) {
                return;
            }
            try (var front = new Socket("127.0.0.1", to)) {
                open.add(client);
                open.add(front);
                background(() -> pipe(client, front, false));
                pipe(front, client, true);
            }
        }

        private void pipe(Socket from, Socket into, boolean answers) {
            var buffer = new byte[64 * 1024];
            try (from; into) {
                for (int n = from.getInputStream().read(buffer); n >= 0;
                        n = from.getInputStream().read(buffer)) {
                    if (answers && cutsAtAnswer) {
                        cutsAtAnswer = false;
                        cut = true;
                        note("the network between submitter and front is cut before an answer (" + n
                                + " bytes) has come through");
                        open.forEach(each -> {
                            try {
                                each.close();
                            } catch (IOException e) {
                                // It is gone already.
                            }
                        });
                        return;
                    }
                    into.getOutputStream().write(buffer, 0, n);
                    into.getOutputStream().flush();
                }
            } catch (IOException e) {
                // One side has gone: so does the other.
            }
        }
    }
}
