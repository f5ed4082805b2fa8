package ryemast.net.worker;

import org.apache.mina.core.session.IoSession;
import ryemast.core.Loop;
import ryemast.net.LinkHandler;

/** Notes on the thread that reads and writes what had been written when an answer was read. */
final class AnswerHandler extends LinkHandler {

    AnswerHandler(Loop loop) {
        super(loop);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        super.messageReceived(session, new Answer(message, session.getWrittenBytes()));
    }
}
