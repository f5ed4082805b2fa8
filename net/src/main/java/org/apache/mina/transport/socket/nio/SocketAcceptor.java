package org.apache.mina.transport.socket.nio;

import org.apache.mina.core.service.IoProcessor;

/** MINA's acceptor, which goes on at once where the system fails its selector for a moment. */
public class SocketAcceptor extends NioSocketAcceptor {

    public SocketAcceptor(IoProcessor<NioSession> processor) {
        super(processor);
    }

    @Override
    protected int select() throws Exception {
        return FaultySelector.select(super::select, this::selectedHandles);
    }

    @Override
    protected void wakeup() {
        FaultySelector.wake(super::wakeup);
    }
}
