package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A run's own corner of the loopback network: a host for each dispatcher's view of the site, and one for the
 * dispatcher itself. Two runs at a time rarely draw the same.
 */
record Hosts(String net, int count) {

    static Hosts drawn(int count) {
        var random = new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << Integer.SIZE);
        return new Hosts("127." + random.nextInt(16, 240) + "." + random.nextInt(256) + ".", count);
    }

    /** Where a dispatcher reaches the site. */
    List<String> ofSite() {
        return IntStream.rangeClosed(1, count).mapToObj(number -> net + number).toList();
    }

    /** Chosen before the dispatcher starts, and the same over all its starts. */
    InetSocketAddress ofDispatcher(int number) throws IOException {
        var host = InetAddress.getByName(net + (101 + number));
        // Nothing else uses this host, so that the port stays free while its dispatcher is down.
        try (var socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }
}
