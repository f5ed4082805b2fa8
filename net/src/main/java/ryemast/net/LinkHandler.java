package ryemast.net;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import ryemast.core.Loop;

/** Hands what MINA's threads see of a connection to the loop, to the {@link Link} attached there. */
public class LinkHandler extends IoHandlerAdapter {

    private static final Logger LOG = Logger.getLogger(LinkHandler.class.getName());
    private static final AttributeKey LINK = new AttributeKey(LinkHandler.class, "link");

    protected final Loop loop;

    public LinkHandler(Loop loop) {
        this.loop = loop;
    }

    /** To be called on the loop, before the peer can have anything to say. */
    public static void attach(IoSession session, Link link) {
        session.setAttribute(LINK, link);
    }

    /** The same for a connection we have asked for; null if it never came up, or has ended already. */
    public static IoSession attach(ConnectFuture connected, Link link) {
        if (!connected.isConnected()) {
            return null;
        }
        var session = connected.getSession();
        attach(session, link);
        return session.isConnected() ? session : null;
    }

    /** What the loop keeps for a connection; null before it has been attached. */
    protected static Link link(IoSession session) {
        return (Link) session.getAttribute(LINK);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        long at = loop.clock();
        loop.post(() -> ((Link) session.getAttribute(LINK)).received(message, at));
    }

    @Override
    public void sessionClosed(IoSession session) {
        loop.post(() -> {
            // A connection that ended at once has no link yet; whoever attaches it will see its end.
            if (session.getAttribute(LINK) instanceof Link link) {
                link.ended();
            }
        });
    }

    /** Ends a connection on which something went wrong; a peer that went away is no news. */
    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        LOG.log(cause instanceof IOException ? Level.FINE : Level.WARNING, cause,
                () -> "a connection is dropped: " + session);
        session.closeNow();
    }
}
