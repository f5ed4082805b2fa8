package ryemast.lab.sockets;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import ryemast.lab.books.Books;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.Catalogue;
import ryemast.lab.site.Directory;
import ryemast.lab.site.Tell;
import ryemast.net.Addresses;
import ryemast.net.Transport;

/** The platform's own discovery. */
final class PlatformTables implements TablesAt {

    private final Catalogue catalogue;
    private final CatalogueServer server;

    private final Path folder;
    private final String operator;
    private final Between between;

    /** {@code operator}: what each dispatcher's operator file holds; empty: there is none. */
    PlatformTables(Scenario scenario, List<Box> boxes, BoxPorts ports, Shard site, Transport transport,
            Books books, List<String> hosts, Path folder, String operator, Between between) {
        this.between = between;
        this.folder = folder;
        this.operator = operator;
        catalogue = new Catalogue(scenario, boxes, ports::address, site, books);
        server = new CatalogueServer(site, transport, new CatalogueServer.Discovery() {
            @Override
            public void call(int dispatcher, boolean watch, long from, Tell tell) {
                catalogue.call(dispatcher, watch, from, tell);
            }

            @Override
            public void gone(Tell tell) {
                catalogue.gone(tell);
            }
        }, hosts);
    }

    @Override
    public void open() throws IOException {
        server.open();
    }

    @Override
    public String address(int dispatcher) {
        return Addresses.text(between.link(dispatcher, Addresses.parse(server.address(dispatcher))));
    }

    @Override
    public String known(int dispatcher) {
        return catalogue.known(dispatcher);
    }

    @Override
    public Path operatorFile(int dispatcher) {
        if (operator.isEmpty()) {
            return null;
        }
        address(dispatcher);
        try {
            return Files.writeString(folder.resolve("operator-" + dispatcher + ".toml"),
                    between.operator(dispatcher, operator));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public Directory directory() {
        return catalogue;
    }

    @Override
    public void close() {
        server.close();
    }
}
