package ryemast.net;

import org.apache.mina.core.filterchain.DefaultIoFilterChainBuilder;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.SocketConnector;
import org.apache.mina.transport.socket.nio.SocketProcessor;
import ryemast.net.http.HttpCodec;

/** MINA's threads and settings: one selector serves all connections, in and out. */
public final class Transport {

    private static final int READ_BUFFER = 2048;
    /** How much is read of a connection before the next one has its turn, in bytes. */
    private static final int MAX_READ_BUFFER = 4 * 1024;
    /**
     * MINA measures its own time limits on the wall clock, which may be stepped by an hour: every one of them
     * is put out of reach, and those that are needed run on the loop's clock ({@link Dialer}, and the sweeps
     * of whoever owns connections).
     */
    private static final int NEVER = Integer.MAX_VALUE;

    private final IoProcessor<NioSession> processor = new SimpleIoProcessorPool<>(SocketProcessor.class, 1);

    public IoProcessor<NioSession> processor() {
        return processor;
    }

    /** A connector of its own for each kind of peer, as each speaks in its own form. */
    public SocketConnector connector(HttpCodec codec, LinkHandler handler) {
        var connector = new SocketConnector(processor);
        setUp(connector.getSessionConfig(), connector.getFilterChain(), codec);
        connector.setHandler(handler);
        connector.setConnectTimeoutMillis(NEVER);
        return connector;
    }

    public static void setUp(SocketSessionConfig config, DefaultIoFilterChainBuilder chain, HttpCodec codec) {
        setOptions(config);
        setUpWithoutOptions(config, chain, codec);
    }

    /** For connections whose socket options are set one by one, as they come up. */
    public static void setUpWithoutOptions(SocketSessionConfig config, DefaultIoFilterChainBuilder chain,
            HttpCodec codec) {
        config.setWriteTimeout(NEVER);
        config.setReadBufferSize(READ_BUFFER);
        config.setMaxReadBufferSize(MAX_READ_BUFFER);
        chain.addLast("http", new ProtocolCodecFilter(codec));
    }

    /** Small writes leave at once, and the system looks for peers that are gone. */
    public static void setOptions(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setKeepAlive(true);
    }
}
