package ryemast.lab.sockets;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.lab.site.Mouth;
import ryemast.lab.site.Patience;
import ryemast.net.Addresses;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Carries call-backs to the dispatchers over kept connections, one call at a time on each.
 *
 * <p>A real box has connections of its own. Thousands of them would take all the descriptors that a
 * dispatcher has, so the mouths of a large site share one bounded set, which a proxy beside the boxes would
 * also do; what finds all of them busy waits its turn. Owned by the boxes' shard.
 */
final class CallBacks {

    private record Post(HttpMessage message, IntConsumer answered, long until) {
    }

    private final Shard shard;
    private final SocketConnector connector;
    private final IntFunction<InetSocketAddress> addresses;
    private final boolean shared;
    private final int most;
    private final Map<Long, Lines> sets = new HashMap<>();

    /**
     * @param shared  whether all boxes share their connections; else each has its own
     * @param most    how many to one dispatcher, of all or of each
     */
    CallBacks(Shard shard, Transport transport, IntFunction<InetSocketAddress> addresses, boolean shared,
            int most) {
        this.shard = shard;
        this.addresses = addresses;
        this.shared = shared;
        this.most = most;
        connector = transport.connector(HttpCodec.responses(), new LinkHandler(shard.loop()));
        connector.setConnectTimeoutMillis(Patience.CALL_BACK / 1_000);
        shard.at(shard.now() + Patience.CALL_BACK_SWEEP, this::sweep);
    }

    Mouth of(int box) {
        return (dispatcher, json, answered) -> {
            var address = addresses.apply(dispatcher);
            var head = HttpHead.request("POST", "/v1/job-events").with("Host", Addresses.text(address))
                    .with("Content-Type", "application/json");
            var message = new HttpMessage(head, json.getBytes(StandardCharsets.UTF_8));
            long key = (shared ? 0 : box + 1L) << Integer.SIZE | dispatcher;
            sets.computeIfAbsent(key, none -> new Lines(dispatcher))
                    .take(new Post(message, answered, shard.now() + Patience.CALL_BACK));
        };
    }

    private void sweep() {
        sets.values().forEach(Lines::sweep);
        shard.at(shard.now() + Patience.CALL_BACK_SWEEP, this::sweep);
    }

    /** The connections that some boxes share to one dispatcher. */
    private final class Lines implements Line.Owner {
        private final int dispatcher;
        private final Deque<Line> idle = new ArrayDeque<>();
        private final Map<Line, Post> busy = new LinkedHashMap<>();
        private final Deque<Post> waiting = new ArrayDeque<>();

        Lines(int dispatcher) {
            this.dispatcher = dispatcher;
        }

        void take(Post post) {
            var line = idle.pollLast();
            if (line != null) {
                carry(line, post);
            } else if (busy.size() < most) {
                busy.put(Line.connect(shard, this, dispatcher, connector, addresses.apply(dispatcher)), post);
            } else {
                waiting.addLast(post);
            }
        }

        private void carry(Line line, Post post) {
            busy.put(line, post);
            line.write(post.message, null);
        }

        @Override
        public void up(Line line) {
            line.write(busy.get(line).message, null);
        }

        @Override
        public void answered(Line line, HttpMessage answer) {
            var post = busy.remove(line);
            if (answer.head().closes()) {
                line.close();
                next();
            } else {
                idle.addLast(line);
                next();
            }
            post.answered.accept(answer.head().status());
        }

        @Override
        public void ended(Line line) {
            idle.remove(line);
            var post = busy.remove(line);
            next();
            if (post != null) {
                post.answered.accept(0);
            }
        }

        private void next() {
            var post = waiting.poll();
            if (post != null) {
                take(post);
            }
        }

        private void sweep() {
            long now = shard.now();
            while (!waiting.isEmpty() && waiting.peek().until <= now) {
                waiting.poll().answered.accept(0);
            }
            var overdue = new ArrayDeque<Post>();
            for (Iterator<Map.Entry<Line, Post>> each = busy.entrySet().iterator(); each.hasNext();) {
                var entry = each.next();
                if (entry.getValue().until <= now) {
                    entry.getKey().close();
                    overdue.add(entry.getValue());
                    each.remove();
                }
            }
            overdue.forEach(post -> {
                next();
                post.answered.accept(0);
            });
        }
    }
}
