package ryemast.lab.cli;

import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.core.Clock;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.consul.ConsulApi;
import ryemast.lab.consul.ConsulServer;
import ryemast.lab.consul.ConsulState;
import ryemast.lab.sockets.Shard;
import ryemast.net.Addresses;
import ryemast.net.Transport;

/** {@code lab consul}: a stand-in for a Consul agent, for clients to be tried on. */
@Command(name = "consul",
        description = {"Plays a Consul agent until it is ended: catalogue, health, agent, blocking",
    "queries, tokens; faults by PUT /v1/lab/fault (docs/lab-consul.md)."})
final class ConsulCommand implements Callable<Integer> {

    @Option(names = "--port", paramLabel = "N", defaultValue = "8500",
            description = "Where it listens on 127.0.0.1; 0: at any free port (${DEFAULT-VALUE}).")
    private int port;

    @Option(names = "--token", split = ",", paramLabel = "TOKEN",
            description = "Calls must bear one of these.")
    private List<String> tokens = List.of();

    @Option(names = "--tls", paramLabel = "FILE",
            description = "Speaks TLS with the key in this PKCS12 file.")
    private Path tls;

    @Option(names = "--tls-password", paramLabel = "TEXT", defaultValue = "changeit",
            description = "Of that file (${DEFAULT-VALUE}).")
    private String password;

    @Override
    public Integer call() throws IOException {
        try {
            return run();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int run() throws BadCall, IOException {
        LoadOptions.within("--port", port, 0, 65_535);
        var context = tls == null ? null : context(tls, password);
        var ended = new CountDownLatch(1);
        var stop = Stop.onSignals();
        stop.running(ended::countDown);
        var transport = new Transport();
        try (var shard = new Shard("consul", new Clock(), new MemoryBooks())) {
            shard.start();
            var api = shard.ask(() -> {
                var made = new ConsulApi(new ConsulState(shard));
                tokens.forEach(made::allow);
                return made;
            });
            try (var server = new ConsulServer(shard.loop(), transport, api, context)) {
                var address = server.open(new InetSocketAddress("127.0.0.1", port));
                System.out.println("a stand-in for a Consul agent listens at " + Addresses.text(address));
                System.out.flush();
                ended.await();
            }
        } catch (java.net.BindException e) {
            throw new BadCall("--port: " + port + " is taken: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            transport.processor().dispose();
        }
        return Exit.DONE;
    }

    private static SSLContext context(Path file, String password) throws BadCall {
        try (var in = new FileInputStream(file.toFile())) {
            var store = KeyStore.getInstance("PKCS12");
            store.load(in, password.toCharArray());
            var keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            keys.init(store, password.toCharArray());
            var context = SSLContext.getInstance("TLS");
            context.init(keys.getKeyManagers(), null, null);
            return context;
        } catch (IOException | GeneralSecurityException e) {
            throw new BadCall("--tls: " + file + ": " + e.getMessage());
        }
    }
}
