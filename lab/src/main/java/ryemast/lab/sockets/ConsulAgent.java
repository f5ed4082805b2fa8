package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import ryemast.core.Clock;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.consul.ConsulApi;
import ryemast.lab.consul.ConsulServer;
import ryemast.lab.consul.ConsulState;
import ryemast.lab.consul.Written;
import ryemast.net.Transport;

/**
 * A stand-in for a Consul agent under a trial's hand: what the trial's thread asks of it is done on the
 * stand-in's own thread, and is done when the call returns. It has a thread of its own, or is the agent of an
 * emulated site. Not to be called from a shard's thread.
 */
public final class ConsulAgent implements AutoCloseable {

    private final Shard shard;
    private final ConsulApi api;
    private final ConsulServer server;
    /** Null where another one owns the sockets. */
    private final Transport transport;
    private final InetSocketAddress address;

    private ConsulAgent(Shard shard, ConsulApi api, ConsulServer server, Transport transport,
            InetSocketAddress address) {
        this.shard = shard;
        this.api = api;
        this.server = server;
        this.transport = transport;
        this.address = address;
    }

    /** One with no site behind it, on loopback; {@code port} 0: any free one, which stays the same then. */
    public static ConsulAgent alone(int port) throws IOException {
        var shard = new Shard("consul", new Clock(), new MemoryBooks());
        shard.start();
        var transport = new Transport();
        var api = shard.ask(() -> new ConsulApi(new ConsulState(shard)));
        var server = new ConsulServer(shard.loop(), transport, api, null);
        try {
            return new ConsulAgent(shard, api, server, transport,
                    server.open(new InetSocketAddress("127.0.0.1", port)));
        } catch (IOException e) {
            server.close();
            transport.processor().dispose();
            shard.close();
            throw e;
        }
    }

    /** The agent of a site, which goes on to own it; {@code address}: the first of those it listens at. */
    static ConsulAgent of(Shard site, ConsulApi api, ConsulServer server, InetSocketAddress address) {
        return new ConsulAgent(site, api, server, null, address);
    }

    public InetSocketAddress address() {
        return address;
    }

    /**
     * Sets a fault of {@code docs/lab-consul.md}; an {@link IllegalStateException} says which there are.
     *
     * @param path       calls whose path begins so; empty for all
     * @param size       as the kind has it: milliseconds, or bytes
     * @param forMicros  0: until {@link #clear}
     * @param times      for so many calls; 0 for all
     */
    public void fault(String kind, String path, long size, long forMicros, long times) {
        run(then -> then.faults().set(kind, path, size, forMicros, times));
    }

    /** Takes back all faults that last. */
    public void clear() {
        run(ConsulApi::clear);
    }

    /** Nothing listens any more, and all connections are reset; what it knows stays. */
    public void goDown() {
        server.goDown();
    }

    /** It listens again, at the same address. */
    public void comeUp() throws IOException {
        server.comeUp();
    }

    /**
     * Goes down and comes up at the same address; in between happens to its state what is given, as
     * {@link ConsulApi#newLeader}, which each restart of a real one brings, or {@link ConsulApi#loseDisk}.
     */
    public void restart(Consumer<ConsulApi> inBetween) throws IOException {
        goDown();
        run(inBetween);
        comeUp();
    }

    /** Has something done with the state. */
    public void run(Consumer<ConsulApi> step) {
        ask(then -> {
            step.accept(then);
            return null;
        });
    }

    public <T> T ask(Function<ConsulApi, T> question) {
        return shard.ask(() -> question.apply(api));
    }

    /** What is under a prefix now: value by key. */
    public Map<String, byte[]> records(String prefix) {
        return ask(then -> then.records(prefix));
    }

    /** Given the changes of keys from now on, those of one step at once, on the stand-in's thread. */
    public void onWrite(Consumer<List<Written>> listener) {
        run(then -> then.onWrite(listener));
    }

    /** Steps that failed by the stand-in's own fault; anything but 0 makes a trial worthless. */
    public long failures() {
        return shard.failures() + ask(ConsulApi::failures);
    }

    /** A site's goes with the site. */
    @Override
    public void close() {
        if (transport != null) {
            server.close();
            transport.processor().dispose();
            shard.close();
        }
    }
}
