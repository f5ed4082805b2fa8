package ryemast.it;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Pattern;

/** The packaged program as deploy/balancer.toml starts it, and what its processes have logged. */
final class Program {

    private static final Pattern LISTENS = Pattern.compile("listens at 127\\.0\\.0\\.1:([0-9]+)");

    final Queue<String> log = new ConcurrentLinkedQueue<>();
    private volatile InetSocketAddress address;

    /** Where it listens; null until it has said so. */
    InetSocketAddress address() {
        return address;
    }

    /** Starts a process with the configuration and the environment. */
    Process start(Path config, Map<String, String> environment) throws IOException {
        var run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        var command = run.substring("run = \"".length(), run.lastIndexOf('"'));
        var builder = new ProcessBuilder("/bin/sh", "-c", command);
        builder.environment().putAll(environment);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        var process = builder.redirectErrorStream(true).start();
        var reader = new Thread(() -> process.inputReader().lines().forEach(this::take));
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    private void take(String line) {
        log.add(line);
        var port = LISTENS.matcher(line);
        if (port.find()) {
            address = new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1)));
        }
    }

    /** Sends a signal by its name, such as HUP. */
    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
}
