package ryemast.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ryemast.lab.books.Try;
import ryemast.lab.site.Caller;
import ryemast.lab.site.Front;
import ryemast.lab.site.Patience;
import ryemast.lab.world.Timeline;
import ryemast.lab.world.VirtualTime;

/**
 * Carries clients' requests to the dispatchers over kept connections, as the emulated clients' pool does: one
 * at a time on each, more are opened when all are busy, the one that has rested longest is used first, and a
 * request that a dispatcher's close has crossed goes out once more on a new one.
 */
final class ModelClients implements Caller {

    private static final long MICROS_PER_MS = 1_000;

    private final VirtualTime time;
    private final Front front;
    private final List<Host> hosts;
    private final List<ModelNet.Party> parties;
    private final Deque<Line> idle = new ArrayDeque<>();
    private final Set<Call> waiting = new LinkedHashSet<>();
    private int open;

    ModelClients(VirtualTime time, Front front, List<Host> hosts, ModelNet net) {
        this.time = time;
        this.front = front;
        this.hosts = hosts;
        parties = hosts.stream().map(host -> net.party("clients", host.number())).toList();
    }

    @Override
    public Runnable send(Try sent, String lane, String org, byte[] body, Ear ear) {
        var call = new Call(sent, body, ear);
        place(call, true);
        return call::leave;
    }

    private void place(Call call, boolean anyLine) {
        var rested = anyLine ? idle.pollFirst() : null;
        if (rested != null) {
            rested.carry(call);
        } else if (open >= Patience.CONNECTIONS) {
            waiting.add(call);
        } else {
            connect(call);
        }
    }

    private void connect(Call call) {
        int dispatcher = front.next();
        if (dispatcher == Front.NOBODY) {
            // Not at once: whoever sends has not heard yet how to go away.
            time.at(time.now(), call::broke);
            return;
        }
        open++;
        new Line(hosts.get(dispatcher)).connect(call);
    }

    private Call nextWaiting() {
        Iterator<Call> calls = waiting.iterator();
        if (!calls.hasNext()) {
            return null;
        }
        var call = calls.next();
        calls.remove();
        return call;
    }

    /** The clients' end of one connection. */
    private final class Line implements Terminals.Line {
        private final Host host;
        private final ModelNet.Way there;
        private final ModelNet.Way back;
        private Terminals.Connection far;
        private Call call;
        private Timeline.Timer limit;
        private boolean used;
        private boolean closed;

        Line(Host host) {
            this.host = host;
            var party = parties.get(host.number());
            there = party.way();
            back = party.way();
        }

        void connect(Call first) {
            call = first;
            first.line = this;
            limit = time.at(time.now() + Patience.CONNECT, this::end);
            there.send(0, () -> {
                var terminals = host.terminals();
                if (terminals == null) {
                    back.send(0, this::end);
                } else {
                    far = terminals.came(this);
                    back.send(0, this::up);
                }
            });
        }

        private void up() {
            limit.cancel();
            if (closed) {
                return;
            }
            if (call == null || call.over) {
                rest();
            } else {
                carry(call);
            }
        }

        void carry(Call next) {
            call = next;
            next.line = this;
            next.writtenAt = time.now();
            long waits = Math.max(1, (next.sent.until() - time.now()) / MICROS_PER_MS) * MICROS_PER_MS;
            there.send(0, () -> far.request(next.sent, waits, next.body));
            next.ear.sent(host.number());
        }

        @Override
        public void answered(long leavesAt, int status, long retryAfter, String result, boolean closes) {
            back.send(leavesAt, () -> {
                if (closed) {
                    return;
                }
                used = true;
                var done = call;
                call = null;
                if (closes) {
                    close();
                } else {
                    rest();
                }
                if (done != null && !done.over) {
                    done.over = true;
                    done.ear.answered(status, retryAfter, result);
                }
            });
        }

        @Override
        public void ended(long leavesAt) {
            back.send(leavesAt, this::end);
        }

        private void rest() {
            call = null;
            var next = nextWaiting();
            if (next == null) {
                idle.addLast(this);
            } else {
                carry(next);
            }
        }

        /** It has ended, and not from here. */
        private void end() {
            if (closed) {
                return;
            }
            var cut = call;
            call = null;
            close();
            if (cut == null || cut.over) {
                return;
            }
            cut.line = null;
            boolean crossed = used && !cut.again && time.now() - cut.writtenAt < Patience.CROSSING;
            if (!crossed) {
                cut.broke();
                return;
            }
            cut.again = true;
            time.at(time.now() + Patience.STILL_ALIVE, () -> {
                if (cut.over) {
                    return;
                }
                if (host.lives()) {
                    place(cut, false);
                } else {
                    cut.broke();
                }
            });
        }

        /** A line that is gone makes room for another one. */
        void close() {
            if (closed) {
                return;
            }
            closed = true;
            limit.cancel();
            idle.remove(this);
            open--;
            there.send(0, () -> {
                if (far != null) {
                    far.left();
                }
            });
            var next = open < Patience.CONNECTIONS ? nextWaiting() : null;
            if (next != null) {
                connect(next);
            }
        }
    }

    /** One request on its way. */
    private final class Call {
        private final Try sent;
        private final byte[] body;
        private final Ear ear;
        private long writtenAt;
        private Line line;
        private boolean again;
        private boolean over;

        Call(Try sent, byte[] body, Ear ear) {
            this.sent = sent;
            this.body = body;
            this.ear = ear;
        }

        void broke() {
            if (!over) {
                over = true;
                ear.broke();
            }
        }

        /** The client goes away: what it waited on ends with it. */
        void leave() {
            if (over) {
                return;
            }
            over = true;
            waiting.remove(this);
            if (line != null) {
                line.close();
            }
        }
    }
}
