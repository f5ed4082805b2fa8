package ryemast.lab.sockets;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import ryemast.lab.books.Books;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.Catalogue;
import ryemast.lab.site.Directory;
import ryemast.lab.site.Tell;
import ryemast.net.Transport;

/** The platform's own discovery. */
final class PlatformTables implements TablesAt {

    private final Catalogue catalogue;
    private final CatalogueServer server;

    PlatformTables(Scenario scenario, List<Box> boxes, BoxPorts ports, Shard site, Transport transport,
            Books books,
            List<String> hosts) {
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
        return server.address(dispatcher);
    }

    @Override
    public String whole(int dispatcher) {
        return catalogue.whole(dispatcher);
    }

    @Override
    public Path operatorFile(int dispatcher) {
        return null;
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
