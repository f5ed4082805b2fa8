package ryemast.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.books.Books;
import ryemast.lab.consul.ConsulApi;
import ryemast.lab.consul.ConsulBoxes;
import ryemast.lab.consul.ConsulServer;
import ryemast.lab.consul.ConsulState;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.ConsulCatalogue;
import ryemast.lab.site.Directory;
import ryemast.net.Addresses;
import ryemast.net.Transport;

/**
 * A stand-in for Consul in the place of the platform's discovery: an agent's address for each dispatcher,
 * which shows it the boxes at the addresses that it reaches them by, and an operator file for each that
 * chooses Consul. Belongs to the boxes' shard.
 */
public final class ConsulTables implements TablesAt {

    private static final String NOBODY = "{\"version\":0,\"full\":true,\"servers\":[]}";

    private final List<String> hosts;
    private final Path folder;
    private final ConsulApi api;
    private final ConsulCatalogue catalogue;
    private final ConsulServer server;
    private final Shard site;
    private final List<InetSocketAddress> agents = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final String more;
    private final Between between;

    /** {@code more}: further lines of the operator files' section about Consul. */
    ConsulTables(Scenario scenario, List<Box> boxes, BoxPorts ports, Shard site, Transport transport,
            Books books,
            List<String> hosts, Path folder, String more, Between between) {
        this.between = between;
        this.more = more;
        this.site = site;
        this.hosts = hosts;
        this.folder = folder;
        boxes.forEach(box -> numbers.put(box.spec().id(), box.index()));
        api = new ConsulApi(new ConsulState(site));
        catalogue = new ConsulCatalogue(scenario, boxes, api, site, books);
        server = new ConsulServer(site.loop(), transport, api, null, dispatcher -> service -> {
            var box = numbers.get(service);
            return box == null ? null : Addresses.parse(ports.address(dispatcher, box));
        }, catalogue::answered);
        catalogue.servedBy(server);
    }

    @Override
    public void open() throws IOException {
        for (var host : hosts) {
            agents.add(server.open(new InetSocketAddress(host, 0)));
        }
    }

    @Override
    public String address(int dispatcher) {
        return Addresses.text(between.link(dispatcher, agents.get(dispatcher)));
    }

    @Override
    public String known(int dispatcher) {
        return NOBODY;
    }

    @Override
    public Path operatorFile(int dispatcher) {
        var file = folder.resolve("operator-" + dispatcher + ".toml");
        try {
            return Files.writeString(file, "[membership]\ndrained_file = \"" + drainedFile(dispatcher)
                    + "\"\n"
                    + "[consul]\nagents = \"" + address(dispatcher) + "\"\nworkers = \"service:"
                    + ConsulCatalogue.SERVICE + "\"\n"
                    + between.operator(dispatcher, more));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The file in which an operator names the boxes to be drained. */
    public Path drainedFile(int dispatcher) {
        return folder.toAbsolutePath().resolve("drained-" + dispatcher);
    }

    @Override
    public Directory directory() {
        return catalogue;
    }

    /** What is listed; on the boxes' shard. */
    public ConsulBoxes listed() {
        return catalogue.listed();
    }

    /** For a trial's thread; once it is open. */
    public ConsulAgent agent() {
        return ConsulAgent.of(site, api, server, agents.get(0));
    }

    public ConsulApi api() {
        return api;
    }

    public ConsulServer server() {
        return server;
    }

    @Override
    public void close() {
        server.close();
    }
}
