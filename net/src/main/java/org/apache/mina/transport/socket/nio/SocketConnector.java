package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.TransportMetadata;
import org.apache.mina.transport.socket.DefaultSocketSessionConfig;
import org.apache.mina.transport.socket.SocketSessionConfig;

/**
 * Opens TCP connections. MINA's own connector is final, sleeps for a second after each selection that the
 * system fails, and for up to a second where it fails a wake-up; this one goes on at once, and looks for new
 * connections every {@link FaultySelector#LONGEST_WAIT_MS} whether it was woken or not. In MINA's package, as
 * its sessions are made there.
 */
public final class SocketConnector extends AbstractPollingIoConnector<NioSession, SocketChannel> {

    private volatile Selector selector;

    public SocketConnector(IoProcessor<NioSession> processor) {
        super(new DefaultSocketSessionConfig(), processor);
        ((DefaultSocketSessionConfig) getSessionConfig()).init(this);
    }

    @Override
    protected void init() throws IOException {
        selector = Selector.open();
    }

    @Override
    protected void destroy() throws IOException {
        if (selector != null) {
            selector.close();
        }
    }

    @Override
    public TransportMetadata getTransportMetadata() {
        return NioSocketSession.METADATA;
    }

    @Override
    public SocketSessionConfig getSessionConfig() {
        return (SocketSessionConfig) sessionConfig;
    }

    @Override
    protected SocketChannel newHandle(SocketAddress local) throws IOException {
        var channel = SocketChannel.open();
        try {
            if (local != null) {
                channel.bind(local);
            }
            channel.configureBlocking(false);
            return channel;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    @Override
    protected boolean connect(SocketChannel channel, SocketAddress remote) throws IOException {
        return channel.connect(remote);
    }

    @Override
    protected void register(SocketChannel channel, ConnectionRequest request) throws IOException {
        channel.register(selector, SelectionKey.OP_CONNECT, request);
    }

    @Override
    protected boolean finishConnect(SocketChannel channel) throws IOException {
        if (!channel.finishConnect()) {
            return false;
        }
        var key = channel.keyFor(selector);
        if (key != null) {
            key.cancel();
        }
        return true;
    }

    @Override
    protected NioSession newSession(IoProcessor<NioSession> processor, SocketChannel channel) {
        return new NioSocketSession(this, processor, channel);
    }

    @Override
    protected void close(SocketChannel channel) throws IOException {
        var key = channel.keyFor(selector);
        if (key != null) {
            key.cancel();
        }
        channel.close();
    }

    @Override
    protected int select(int timeout) throws Exception {
        int wait = Math.max(1, Math.min(timeout, FaultySelector.LONGEST_WAIT_MS));
        return FaultySelector.select(() -> selector.select(wait), this::selectedHandles);
    }

    @Override
    protected void wakeup() {
        FaultySelector.wake(selector::wakeup);
    }

    @Override
    protected Iterator<SocketChannel> selectedHandles() {
        return new Channels(selector.selectedKeys().iterator());
    }

    @Override
    protected Iterator<SocketChannel> allHandles() {
        return new Channels(selector.keys().iterator());
    }

    @Override
    @SuppressWarnings("unchecked")
    protected ConnectionRequest getConnectionRequest(SocketChannel channel) {
        var key = channel.keyFor(selector);
        return key == null || !key.isValid() ? null : (ConnectionRequest) key.attachment();
    }

    @Override
    public InetSocketAddress getDefaultRemoteAddress() {
        return (InetSocketAddress) super.getDefaultRemoteAddress();
    }

    /** The channels of some keys. */
    private record Channels(Iterator<SelectionKey> keys) implements Iterator<SocketChannel> {

        @Override
        public boolean hasNext() {
            return keys.hasNext();
        }

        @Override
        public SocketChannel next() {
            return (SocketChannel) keys.next().channel();
        }

        @Override
        public void remove() {
            keys.remove();
        }
    }
}
