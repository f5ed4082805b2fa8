package ryemast.net;

import java.net.InetSocketAddress;

/** Addresses as the platform writes them: host:port. There is no DNS, so a host is a number. */
public final class Addresses {

    private static final int MAX_PORT = 65535;

    private Addresses() {
    }

    /** An {@link IllegalArgumentException} says what is wrong with the text. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("'" + text + "' has no valid port");
        }
        var address = new InetSocketAddress(text.substring(0, colon), port);
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form IP:PORT");
        }
        return address;
    }

    public static String text(InetSocketAddress address) {
        var host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
