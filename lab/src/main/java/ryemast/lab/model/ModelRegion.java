package ryemast.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import ryemast.config.Config;
import ryemast.core.Clock;
import ryemast.core.Loop;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.lab.site.Machine;
import ryemast.lab.site.Visit;
import ryemast.net.worker.Outcomes;
import ryemast.net.worker.RestLimit;
import ryemast.net.worker.WorkerConnectionPool;
import ryemast.net.worker.WorkerTuning;

/**
 * A dispatcher's pooled connections to boxes, as {@link WorkerConnectionPool} keeps them, and each
 * connection's other end at its box: which one is taken, how long one rests, when one is given up, and what a
 * break means are the pool's rules by the pool's figures.
 */
final class ModelRegion implements Region {

    private static final int UNAVAILABLE = 503;

    private final Instance instance;
    private final int dispatcher;
    private final Site site;
    private final Loop loop;
    private final WorkerTuning tuning;
    private final RestLimit restLimit;
    private final long connectLimit;
    private final int most;
    /** Idle connections by box; the one used last is taken first, so that spare ones can age. */
    private final Map<Integer, Deque<Connection>> idle = new HashMap<>();
    /** The same in the order in which they fell idle. */
    private final Set<Connection> resting = new LinkedHashSet<>();
    private final Set<Connection> open = new LinkedHashSet<>();
    private final Set<Integer> followed = new HashSet<>();
    private final Map<Integer, ModelNet.Party> parties = new HashMap<>();
    private boolean sweeping;

    ModelRegion(Instance instance, int dispatcher, Site site, Config config, int most) {
        this.instance = instance;
        this.dispatcher = dispatcher;
        this.site = site;
        this.most = most;
        loop = instance.loop();
        tuning = config.tuning().regions();
        restLimit = new RestLimit(config.connIdle(), tuning);
        connectLimit = config.connectLimit();
    }

    /** One message to a box; without a task it is a cancel, whose answer means nothing. */
    private final class Call {
        private final RoutedTask task;
        private final String txn;
        private final long waits;
        private final long startedAt = loop.now();
        private boolean written;

        Call(RoutedTask task, String txn, long waits) {
            this.task = task;
            this.txn = txn;
            this.waits = waits;
        }

        boolean overdue() {
            return (task == null || task.ended()) && loop.now() - startedAt > tuning.patience();
        }

        void broke() {
            if (task != null) {
                instance.exchange().ended(task, Outcomes.ofBreak(written));
            }
        }

        void answered(int status, boolean turnedAway) {
            if (task == null) {
                return;
            }
            if (status == Outcomes.TAKEN) {
                instance.exchange().accepted(task);
            } else {
                instance.exchange().ended(task, Outcomes.ofAnswer(status, turnedAway));
            }
        }
    }

    @Override
    public void start(RoutedTask task) {
        long left = Math.max(1, (task.until() - loop.now()) / Clock.MICROS_PER_MS);
        task.carrier(call(site.boxes().get(task.worker()),
                new Call(task, task.submission().txn(), left * Clock.MICROS_PER_MS)));
    }

    @Override
    public void giveUp(RoutedTask task) {
        var carrier = (Connection) task.carrier();
        if (carrier == null) {
            return;
        }
        if (carrier.call != null && carrier.call.task == task) {
            carrier.close();
        } else {
            call(carrier.box, new Call(null, task.submission().txn(), 0));
        }
    }

    private Connection call(Machine box, Call call) {
        var pooled = idle.get(box.index());
        if (pooled != null && rested(pooled.peekLast()) <= restLimit.limit()) {
            var connection = pooled.peekLast();
            unpool(connection);
            connection.carry(call);
            return connection;
        }
        if (open.size() >= most && !dropOldestIdle()) {
            call.broke();
            return null;
        }
        var connection = new Connection(box);
        if (!sweeping) {
            sweeping = true;
            loop.at(loop.now() + WorkerConnectionPool.SWEEP, this::sweep);
        }
        open.add(connection);
        if (followed.add(box.index())) {
            box.onDoor(door -> follow(box));
        }
        connection.connect(call);
        return connection;
    }

    /** A path that was cut and is whole again: nobody knows the connections on which something was lost. */
    private void follow(Machine box) {
        if (!box.isCutOff(dispatcher)) {
            open.stream().filter(each -> each.box == box && each.far.lossy).toList()
                    .forEach(each -> each.far.reset());
        }
    }

    private long rested(Connection connection) {
        return loop.now() - connection.idleSince;
    }

    private void unpool(Connection connection) {
        var pooled = idle.get(connection.box.index());
        if (pooled != null && pooled.remove(connection) && pooled.isEmpty()) {
            idle.remove(connection.box.index());
        }
        resting.remove(connection);
    }

    private boolean dropOldestIdle() {
        if (resting.isEmpty()) {
            return false;
        }
        resting.iterator().next().close();
        return true;
    }

    private void sweep() {
        restLimit.forgive(loop.now());
        for (var connection : new ArrayList<>(open)) {
            if (connection.call == null && rested(connection) > restLimit.limit()
                    || connection.call != null && connection.call.overdue()) {
                connection.close();
            }
        }
        sweeping = !open.isEmpty();
        if (sweeping) {
            loop.at(loop.now() + WorkerConnectionPool.SWEEP, this::sweep);
        }
    }

    /** The process is gone. */
    void die() {
        for (var connection : new ArrayList<>(open)) {
            connection.closed = true;
            connection.there.send(0, connection.far::left);
        }
        open.clear();
    }

    /** The dispatcher's end of one connection. */
    private final class Connection {
        private final Machine box;
        private final ModelNet.Way there;
        private final BoxEnd far;
        private Call call;
        private long idleSince;
        /** For how long it had rested before the call that it carries; negative for its first one. */
        private long restBefore = -1;
        private boolean closed;

        Connection(Machine box) {
            this.box = box;
            var party = parties.computeIfAbsent(box.index(),
                    index -> site.net().party("box " + index, dispatcher));
            there = party.way();
            far = new BoxEnd(this, party.way());
        }

        void connect(Call first) {
            call = first;
            var endOfLimit = loop.at(loop.now() + connectLimit, this::close);
            there.send(instance.leavesAt(), () -> far.knocked(endOfLimit));
        }

        void up() {
            if (!closed) {
                carry(call);
            }
        }

        void carry(Call next) {
            call = next;
            restBefore = idleSince == 0 ? -1 : rested(this);
            next.written = true;
            there.send(instance.leavesAt(), () -> far.arrived(next));
        }

        void answered(int status, boolean turnedAway) {
            if (closed) {
                return;
            }
            if (call == null) {
                close();
                return;
            }
            var done = call;
            call = null;
            idleSince = loop.now();
            idle.computeIfAbsent(box.index(), index -> new ArrayDeque<>()).addLast(this);
            resting.add(this);
            done.answered(status, turnedAway);
        }

        /** The box has ended it. */
        void ended() {
            if (!closed && call != null && restBefore >= 0) {
                restLimit.brokeAfter(restBefore, loop.now());
            }
            close();
        }

        /** Ends the connection; a call on it has broken, before or after its last byte was written. */
        void close() {
            if (closed) {
                return;
            }
            closed = true;
            open.remove(this);
            unpool(this);
            there.send(instance.leavesAt(), far::left);
            if (call != null) {
                call.broke();
            }
        }
    }

    /** The box's end of one connection. */
    private final class BoxEnd implements Visit {
        private final Connection near;
        private final ModelNet.Way back;
        private boolean admitted;
        private boolean busy;
        private boolean over;
        /** Something on its way has been lost, so that nothing passes any more. */
        private boolean lossy;

        BoxEnd(Connection near, ModelNet.Way back) {
            this.near = near;
            this.back = back;
        }

        /** Something goes back to the dispatcher. */
        private void tell(Runnable step) {
            if (!lost()) {
                back.send(0, () -> instance.receive(at -> step.run()));
            }
        }

        private boolean lost() {
            lossy |= near.box.isCutOff(dispatcher);
            return lossy;
        }

        void knocked(Runnable endOfLimit) {
            switch (near.box.door(dispatcher)) {
                case OPEN -> {
                    tell(() -> {
                        endOfLimit.run();
                        near.up();
                    });
                    admitted = near.box.opened(this);
                    if (!admitted) {
                        close();
                    }
                }
                case REFUSES -> {
                    over = true;
                    tell(() -> {
                        endOfLimit.run();
                        near.close();
                    });
                }
                default -> over = true;
            }
        }

        void arrived(Call request) {
            if (over || lost() || near.box.door() == Machine.Door.SILENT) {
                return;
            }
            if (request.task == null) {
                near.box.cancel(dispatcher, request.txn);
                tell(() -> near.answered(200, false));
            } else if (busy) {
                reset();
            } else {
                busy = true;
                long now = site.time().now();
                near.box.take(this, new Machine.Parcel(dispatcher, request.txn, request.waits, now, now,
                        request.task.submission().body()));
            }
        }

        /** The dispatcher has ended it. */
        void left() {
            if (!over && !lost()) {
                over = true;
                forgotten();
            }
        }

        private void forgotten() {
            if (admitted) {
                admitted = false;
                near.box.ended(this);
            }
        }

        @Override
        public void accept() {
            answer(Outcomes.TAKEN, false);
        }

        @Override
        public void turnAway() {
            answer(UNAVAILABLE, true);
        }

        @Override
        public void answer(int status) {
            answer(status, false);
        }

        private void answer(int status, boolean turnedAway) {
            busy = false;
            tell(() -> near.answered(status, turnedAway));
        }

        @Override
        public void reset() {
            boolean untold = over && lossy;
            lossy = false;
            close();
            if (untold) {
                tell(near::ended);
            }
        }

        @Override
        public void close() {
            if (!over) {
                over = true;
                tell(near::ended);
                // As where a socket tells of its end: not while the box is still about it.
                site.time().at(site.time().now(), this::forgotten);
            }
        }
    }
}
