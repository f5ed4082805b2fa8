package review;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small site: workers and discovery as stand-ins in this process, and the project's programs as processes of their
 * own, with the commands of the deploy file. All that was started is ended by {@link #close}.
 */
final class Site implements AutoCloseable {

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    record Said(int code, String out) {
    }

    private static final String LAB = "lab/target/ryemast-lab.jar";

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Record record;
    final int listen;
    final int batch;
    final List<Worker.Visit> visits = Worker.visits();
    final List<Worker> workers = new ArrayList<>();
    private final List<Process> started = new ArrayList<>();
    private final String settings;
    private Discovery discovery;
    private int starts;

    Site(Path caseFolder, String settings) throws IOException {
        this.settings = settings;
        folder = Files.createTempDirectory("ryemast-review");
        record = new Record(caseFolder.resolve("record.txt"));
        listen = Http.freePort();
        batch = Http.freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    void workers(int count, long workMs, Worker.Keys keys) throws IOException {
        workers(count, workMs, keys, listen);
    }

    /** {@code backTo}: the port that their call-backs go to. */
    void workers(int count, long workMs, Worker.Keys keys, int backTo) throws IOException {
        for (int i = 1; i <= count; i++) {
            workers.add(new Worker("s-" + i, record, workMs, backTo, visits, keys));
        }
        discovery = new Discovery(workers);
    }

    /** The keys of the batch front, by the project's own commands. */
    void keys() throws Exception {
        if (!Files.isRegularFile(root.resolve(LAB))) {
            throw new CannotRun(LAB + " is missing: run review/build.sh");
        }
        need(cli("keys", "authority", "--folder", folder.resolve("keys").toString()));
        need(cli("keys", "server", "--folder", folder.resolve("keys").toString(), "--names", "127.0.0.1"));
        for (var name : List.of("alice", "bob")) {
            need(cli("keys", "submitter", name, "--account", "aspen-plains-sd", "--folder",
                    folder.resolve("keys").toString()));
        }
    }

    private static void need(Said said) throws CannotRun {
        if (said.code != 0) {
            throw new CannotRun(said.out);
        }
    }

    String contact(String submitter, int port) {
        return "ryemast://127.0.0.1:" + port + "/spring-term?keys=" + folder.resolve("keys/submitters/" + submitter);
    }

    /** A command of the project's command line, until it ends. */
    Said cli(String... words) throws Exception {
        return said(begin(words), 60);
    }

    Process begin(String... words) throws IOException {
        var all = new ArrayList<String>(List.of(System.getProperty("java.home") + "/bin/java", "-XX:TieredStopAtLevel=1",
                "-jar", root.resolve(LAB).toString()));
        all.addAll(List.of(words));
        var builder = new ProcessBuilder(all).directory(root.toFile()).redirectErrorStream(true);
        var process = builder.start();
        started.add(process);
        return process;
    }

    Said said(Process process, int seconds) throws Exception {
        var out = new StringBuilder();
        var reader = new Thread(() -> {
            try {
                out.append(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            } catch (IOException e) {
                // It was ended.
            }
        });
        reader.start();
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            reader.join(2_000);
            return new Said(-1, "did not end within " + seconds + " s: " + out);
        }
        reader.join(2_000);
        return new Said(process.exitValue(), out.toString().strip());
    }

    /** Starts the dispatcher with the batch front, and waits until clients may come. */
    void start() throws Exception {
        start("n0", listen, discovery, "[batch]\nlisten = \"127.0.0.1:" + batch + "\"\nfolder = \""
                + folder.resolve("batch") + "\"\nkeys_folder = \"" + folder.resolve("keys") + "\"\n");
    }

    /** Starts the dispatcher as the platform does, without any of the operators' own features. */
    void startPlain() throws Exception {
        start("n0", listen, discovery, "");
    }

    /** Starts a dispatcher with the deploy file's command, and waits until clients may come. */
    private void start(String name, int at, Discovery table, String operatorFile) throws Exception {
        var run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = \"")).findFirst()
                .orElseThrow(() -> new CannotRun("deploy/balancer.toml has no run"));
        run = run.substring("run = \"".length(), run.lastIndexOf('"'));
        var config = folder.resolve("config-" + name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + at
                + "\",\"discovery\":\"127.0.0.1:" + table.port + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
                + "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + table.list()
                + ",\"settings\":" + settings + "}");
        var temporary = Files.createDirectories(folder.resolve("tmp" + ++starts));
        var builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().putAll(Map.of("BALANCER_NAME", name, "BALANCER_LISTEN", "127.0.0.1:" + at,
                "BALANCER_DISCOVERY", "127.0.0.1:" + table.port, "BALANCER_CONFIG", config.toString(),
                "TMPDIR", temporary.toString()));
        if (!operatorFile.isEmpty()) {
            var operator = folder.resolve("operator-" + name + ".toml");
            Files.writeString(operator, operatorFile);
            builder.environment().put("RYEMAST_OPERATOR", operator.toString());
        }
        var log = new File(folder.toFile(), "dispatcher" + starts + ".log");
        var process = builder.redirectErrorStream(true).redirectOutput(log).start();
        started.add(process);
        long until = record.now() + 30_000;
        while (record.now() < until && process.isAlive()) {
            try {
                if (Http.call(at, "GET", "/_health", Map.of(), new byte[0], 1_000).second().equals("200")) {
                    record.add("test", name + " is ready (start " + starts + ")");
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        throw new CannotRun("the dispatcher is not ready: " + Files.readString(log.toPath()));
    }

    private void endAll() {
        started.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        endAll();
        for (var each : started) {
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        if (System.getenv("KEEP") == null) {
            try (var all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
            }
        }
    }

    /** A case; true if the rule held. */
    interface Play {
        boolean held(Site site, boolean trouble) throws Exception;
    }

    /** Plays a case and ends this process: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void play(Path caseFolder, String settings, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Http.daemon(() -> {
            try {
                Thread.sleep(112_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case took too long");
            System.exit(2);
        });
        int code = 2;
        try (var site = new Site(caseFolder, settings)) {
            try {
                boolean held = play.held(site, trouble);
                site.record.add("test", held ? "the rule held" : "THE RULE WAS BROKEN");
                code = held ? 0 : 1;
            } catch (Exception e) {
                site.record.add("test", "the case could not run: " + e);
            }
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(code);
    }

    /** Settings like those of the page on the wire, for three classes; times in microseconds. */
    static String settings(String buildPack) {
        return """
                {"allowed":{"cancelling":true,"conn_idle":5000000,"connect_timeout":250000,"max_attempts":5,
                 "max_open":2000,"max_retry_after":2000000,"peer_messages":false,"probes":false,"retry_after":true,
                 "second_copies":false,"streams_per_conn":1},
                "areas":["room-1"],"callers":{"marks_retry":false},
                "categories":[
                 {"deadline":5000000,"effect":"free","key_scope":"all","late_worth":0.0,"name":"load-puzzle",
                  "on_time":1000000,"streaming":false,"window":5000000,"worth":3.0},
                 %s,
                 {"deadline":7500000,"effect":"single_shot","key_scope":"all","late_worth":0.0,"name":"award-sticker",
                  "on_time":2000000,"streaming":false,"window":5000000,"worth":5.0}],
                "fleet_size":1,"locality":0,"models":["quick-2c","wide-3c"],
                "obligations":{"ask_every":10000000,"cold":24000000,"drain_grace":500000,"fall":1000000,
                 "fall_multiple":4.0,"grace_to_answer":20000,"start_capacity":0.13},
                "ordinal":0,"over_share_worth":0.1,
                "parties":[{"name":"aspen-plains-sd","portion":0.6,"quota_per_s":10.0},
                 {"name":"coulee-libraries","portion":0.4,"quota_per_s":9.0}],
                "registry_mode":"subscribe","report":{"fields":[],"source":"silent"},"resolution":5000,
                "service_type":"jobs","specifics":{"class_kind":[-1,-1,-1],"class_priority":[0,0,1],
                 "class_stretch":[2.0,2.0,2.0],"progress":2000000,"queue_order":"fifo","tells_start":true},
                "tariffs":{"late_fail":0.03,"waste":0.02},"tier":0,"tiers":["puzzle-boxes"],"weights":"rough",
                "worth_by":"work"}""".formatted(buildPack);
    }

    static final String FREE_PACK = """
            {"deadline":20000000,"effect":"free","key_scope":"all","late_worth":0.0,"name":"build-pack",
             "on_time":1500000,"streaming":false,"window":5000000,"worth":3.0}""";
}
