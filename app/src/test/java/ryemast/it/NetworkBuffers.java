package ryemast.it;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Connections of clients that read nothing, with the buffers of a network, where segments have some 1,400
 * bytes. On loopback, where they have 64 KB, the kernel takes in megabytes before the program keeps anything.
 */
final class NetworkBuffers {

    private static final int SEND_BUFFER = 23_040;
    private static final int RECEIVE_BUFFER = 4_096;

    private NetworkBuffers() {
    }

    /** The program's side of each connection that is accepted from now on. */
    static void limit(Faults faults) {
        faults.sendBuffer(SEND_BUFFER);
    }

    static Socket connect(InetSocketAddress address) throws IOException {
        var socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", address.getPort()));
        return socket;
    }
}
