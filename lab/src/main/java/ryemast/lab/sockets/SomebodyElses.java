package ryemast.lab.sockets;

import java.util.logging.Logger;
import ryemast.lab.site.DispatcherControl;

/** For a dispatcher that somebody else runs: nothing can be done to it from here, and that is said. */
final class SomebodyElses implements DispatcherControl {

    private static final Logger LOG = Logger.getLogger(SomebodyElses.class.getName());

    @Override
    public void kill(int dispatcher) {
        passedOver("kill");
    }

    @Override
    public void restart(int dispatcher) {
        passedOver("restart");
    }

    @Override
    public void end(int dispatcher) {
        passedOver("end");
    }

    @Override
    public void pause(int dispatcher) {
        passedOver("pause");
    }

    @Override
    public void resume(int dispatcher) {
        passedOver("resume");
    }

    private static void passedOver(String what) {
        LOG.warning("the scenario would " + what + " the dispatcher, but somebody else runs it");
    }
}
