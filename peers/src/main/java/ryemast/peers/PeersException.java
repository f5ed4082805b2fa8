package ryemast.peers;

import java.io.IOException;
import java.net.InetSocketAddress;

/** The address for signals can't be used; the start is refused, as the operator wanted them. */
public final class PeersException extends IOException {

    private static final long serialVersionUID = 1L;

    PeersException(InetSocketAddress listen, IOException why) {
        super("peers.listen: " + listen.getHostString() + ":" + listen.getPort() + " can't be used for"
                + " datagrams (" + why.getMessage() + "); choose an address and a port of this machine that"
                + " no other process has, or take [peers] out", why);
    }
}
