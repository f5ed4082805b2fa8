package ryemast.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import ryemast.core.Clock;
import ryemast.core.Submission;
import ryemast.core.Terminal;
import ryemast.core.Transaction;
import ryemast.lab.books.Try;
import ryemast.lab.scenario.Scenario;
import ryemast.net.client.ClientServer;
import ryemast.net.client.ClientTuning;

/**
 * The clients' connections at one dispatcher, as {@link ClientServer} keeps them: so many at once, those
 * beyond wait in the kernel; which of those at rest make room; and how they end when the dispatcher does.
 * Call-backs come over connections of their own, which take no room here.
 */
final class Terminals {

    private static final int SERVED = 200;
    private static final int USED_BEFORE = 400;
    private static final int FAILED = 500;
    private static final int REFUSED = 503;

    private final Instance instance;
    private final Scenario scenario;
    private final int most;
    private final ClientTuning tuning;
    private final Deque<Connection> unaccepted = new ArrayDeque<>();
    private final Set<Connection> open = new LinkedHashSet<>();
    private final Set<Connection> strangers = new LinkedHashSet<>();
    private final Set<Connection> resting = new LinkedHashSet<>();
    private int accepted;
    private boolean draining;
    private boolean looking;

    Terminals(Instance instance, Scenario scenario, int most, ClientTuning tuning) {
        this.instance = instance;
        this.scenario = scenario;
        this.most = most;
        this.tuning = tuning;
        instance.loop().at(instance.loop().now() + ClientServer.SWEEP, this::sweep);
    }

    /** A client's end of a connection, as the dispatcher speaks to it; each arrives some time later. */
    interface Line {
        void answered(long leavesAt, int status, long retryAfter, String result, boolean closes);

        void ended(long leavesAt);
    }

    /** The machine has taken a connection; whether the process takes it too is seen later. */
    Connection came(Line line) {
        var connection = new Connection(line);
        unaccepted.add(connection);
        accept();
        return connection;
    }

    private void accept() {
        while (!unaccepted.isEmpty() && accepted < most) {
            unaccepted.poll().begin();
        }
        if (!unaccepted.isEmpty() && !looking) {
            looking = true;
            instance.receive(at -> lookForRoom());
        }
    }

    private void lookForRoom() {
        makeRoom();
        if (unaccepted.isEmpty()) {
            looking = false;
        } else {
            var loop = instance.loop();
            loop.at(loop.now() + ClientServer.FULL_PAUSE_MS * Clock.MICROS_PER_MS, this::lookForRoom);
        }
    }

    private void makeRoom() {
        int over = open.size() - (most - Math.max(1, most / tuning.freeShare()));
        if (over > 0) {
            strangers.stream().filter(each -> each.restedFor(tuning.young())).limit(over).toList()
                    .forEach(Connection::close);
        }
        if (open.size() >= most && strangers.isEmpty()) {
            resting.stream().limit(1).toList().forEach(Connection::close);
        }
    }

    private void sweep() {
        closeResting(tuning.idleLimit());
        instance.loop().at(instance.loop().now() + ClientServer.SWEEP, this::sweep);
    }

    void closeResting(long restedFor) {
        List<Connection> due = new ArrayList<>(strangers);
        due.addAll(resting);
        due.removeIf(each -> !each.restedFor(restedFor));
        due.forEach(Connection::close);
    }

    void drain() {
        draining = true;
    }

    boolean isQuiet() {
        return open.isEmpty();
    }

    void die() {
        open.forEach(each -> each.line.ended(0));
        unaccepted.forEach(each -> each.line.ended(0));
    }

    /** The dispatcher's end of a client's connection. */
    final class Connection implements Terminal {
        private final Line line;
        private final List<LongConsumer> unread = new ArrayList<>();
        private Transaction transaction;
        private boolean read;
        private boolean closing;
        private boolean stranger = true;
        private long restingSince;

        private Connection(Line line) {
            this.line = line;
        }

        private void begin() {
            accepted++;
            read = true;
            instance.receive(at -> {
                open.add(this);
                rest();
                makeRoom();
            });
            unread.forEach(instance::receive);
            unread.clear();
        }

        private void hear(LongConsumer step) {
            if (read) {
                instance.receive(step);
            } else {
                unread.add(step);
            }
        }

        /** A whole request has arrived; {@code waits}: for how long the client says that it will wait. */
        void request(Try sent, long waits, byte[] body) {
            hear(at -> take(sent, at + waits, body));
        }

        /** The client has ended it. */
        void left() {
            hear(at -> {
                forget();
                closing = true;
                if (transaction != null) {
                    instance.exchange().left(transaction);
                    transaction = null;
                }
            });
        }

        private void take(Try sent, long deadline, byte[] body) {
            if (closing) {
                return;
            }
            strangers.remove(this);
            resting.remove(this);
            stranger = false;
            var job = sent.job();
            if (!instance.exchange().isFree(sent.txn())) {
                closing = true;
                answer(USED_BEFORE, 0, "");
                return;
            }
            int tenant = scenario.tenants().isEmpty() ? 0 : job.tenant();
            transaction = instance.exchange().submit(new Submission(sent.txn(), job.jobClass(), tenant,
                    job.slots(), 0, job.hint(), deadline, "", body), this);
        }

        @Override
        public void served(String result) {
            answer(SERVED, 0, result);
        }

        @Override
        public void refused(long retryAfter, boolean mayHaveRun) {
            // In whole milliseconds, as the header bears it.
            long advised = retryAfter <= 0 ? 0
                    : Math.max(1, Math.round((double) retryAfter / Clock.MICROS_PER_MS));
            answer(REFUSED, advised * Clock.MICROS_PER_MS, "");
        }

        @Override
        public void failed() {
            answer(FAILED, 0, "");
        }

        private void answer(int status, long retryAfter, String result) {
            transaction = null;
            closing |= draining;
            line.answered(instance.leavesAt(), status, retryAfter, result, closing);
            if (closing) {
                forget();
            } else {
                rest();
            }
        }

        private void rest() {
            restingSince = instance.loop().now();
            (stranger ? strangers : resting).add(this);
        }

        private boolean restedFor(long limit) {
            return instance.loop().now() - restingSince >= limit;
        }

        private void close() {
            closing = true;
            line.ended(instance.leavesAt());
            forget();
        }

        private void forget() {
            strangers.remove(this);
            resting.remove(this);
            if (open.remove(this)) {
                accepted--;
                accept();
            }
        }
    }
}
