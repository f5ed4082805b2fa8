package ryemast;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import pipitladder.Brain;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.config.Config;
import ryemast.core.CallBack;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.core.Submission;
import ryemast.core.Terminal;
import ryemast.net.Transport;
import ryemast.net.worker.WorkerConnectionPool;

/**
 * One job, before clients come, of a throw-away module, sent as a call-back to this program's own address.
 * Guards the first real job against the time that loading the classes on its way takes, some 50 ms.
 */
final class Rehearsal implements Region, Terminal {

    private static final String NAME = "rehearsal";
    private static final long SECOND = 1_000_000;
    /** What the way over the sockets takes when everything on it is new. */
    private static final long WAY = 150_000;
    private static final int SOCKETS = 2;

    private final Loop loop;
    private final Exchange exchange;
    private final Region pool;
    private final Runnable then;

    /** To be made on the loop; {@code then} follows there after the rehearsal, or a second at the latest. */
    Rehearsal(Config config, Loop loop, Transport transport, InetSocketAddress self, Runnable then) {
        this.loop = loop;
        this.then = then;
        exchange = new Exchange(loop, new Brain(config.settings(), 0), 1, 1, 0);
        pool = new WorkerConnectionPool(loop, exchange, transport, worker -> self, SECOND, SECOND, SOCKETS,
                config.tuning().regions());
        exchange.connect(this, () -> { });
        exchange.listed(ListKind.COMPLETE, List.of(new WorkerInfo(NAME, WorkerState.READY, 0, 0, 0, 1, 0)));
        var body = "{\"id\":\"" + NAME + "\",\"from\":\"" + NAME + "\",\"state\":\"done\",\"result\":\"\"}";
        exchange.submit(new Submission(NAME, 0, 0, 1, 0, 1, loop.now() + SECOND, "/v1/job-events",
                body.getBytes(StandardCharsets.UTF_8)), this);
    }

    @Override
    public void start(RoutedTask task) {
        pool.start(task);
        exchange.calledBack(new CallBack(NAME, NAME, CallBack.State.STARTED, 0, ""));
        exchange.calledBack(new CallBack(NAME, NAME, CallBack.State.DONE, 0, ""));
    }

    @Override
    public void giveUp(RoutedTask task) {
        pool.giveUp(task);
    }

    @Override
    public void served(String result) {
        loop.at(loop.now() + WAY, then);
    }

    @Override
    public void refused(long retryAfter, boolean mayHaveRun) {
        then.run();
    }

    @Override
    public void failed() {
        then.run();
    }
}
