package ryemast.peers;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import pipitladder.Dispatcher.PeersTold;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.fleet.signals.Digest;
import ryemast.fleet.signals.LoadGossip;
import ryemast.fleet.signals.LocalEstimate;

/**
 * Tells the peers, once a period, what the module has seen of workers, and hands the module what they told:
 * {@link LoadGossip} decides what is told and what is believed. Owned by the loop. When all peers are silent
 * the module hears nothing of it.
 */
public final class Peers implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Peers.class.getName());
    /** Of each peer no more than a line in so long. */
    private static final long LINE_EVERY = 10_000_000;

    /**
     * Where to listen, whom to tell and how often.
     *
     * @param process  drawn by each process
     * @param period   in microseconds
     */
    public record Terms(String name, long process, InetSocketAddress listen, List<InetSocketAddress> peers,
            long period) {
    }

    private final Loop loop;
    private final Exchange exchange;
    private final LongFunction<List<LocalEstimate>> beliefs;
    private final Terms terms;
    private final LoadGossip signals;
    private final Datagrams datagrams;
    private final long[] lineAt;
    private boolean told;
    private int heard;
    private boolean over;

    /** Listens from now on, and tells from {@link #begin} on. */
    public Peers(Loop loop, Exchange exchange, LongFunction<List<LocalEstimate>> beliefs, Terms terms)
            throws PeersException {
        this.loop = loop;
        this.exchange = exchange;
        this.beliefs = beliefs;
        this.terms = terms;
        signals = new LoadGossip(terms.name, terms.process, terms.peers.size());
        lineAt = new long[terms.peers.size()];
        datagrams = new Datagrams(loop, terms.listen, terms.peers, Digest.MAX_BYTES, this::hear);
    }

    InetSocketAddress address() {
        return datagrams.address();
    }

    /** On the loop. */
    public void begin() {
        if (over) {
            return;
        }
        long now = loop.now();
        var digests = signals.digests(now, beliefs.apply(now));
        for (int i = 0; i < terms.peers.size(); i++) {
            for (var digest : digests.get(i)) {
                datagrams.send(i, digest);
            }
        }
        var borrowed = signals.peerEstimates(now);
        if (told || !borrowed.isEmpty()) {
            told = !borrowed.isEmpty();
            exchange.told(new PeersTold(borrowed));
        }
        count(signals.trustedPeers(now));
        loop.at(now + terms.period, this::begin);
    }

    /** Sessions and deaths are seen by this line alone, as nothing else changes. */
    private void count(int now) {
        if (now != heard) {
            Note.info(LOG, "signals: {heard} of {peers} peers are heard", "heard", now, "peers",
                    terms.peers.size());
            heard = now;
        }
    }

    private void hear(int peer, byte[] datagram) {
        var refused = signals.receive(loop.now(), peer, datagram);
        if (refused != null && loop.now() >= lineAt[peer]) {
            boolean grave = refused.suspendsPeer();
            lineAt[peer] = grave ? loop.now() + LINE_EVERY : lineAt[peer];
            Note.log(LOG, grave ? Level.WARNING : Level.FINE, null,
                    "signals: what came from peer {peer} {why}; it is not used{then}", "peer",
                    terms.peers.get(peer), "why", refused.reason, "then",
                    grave ? ", and the peer is not believed for 10 s" : "");
        }
    }

    @Override
    public void close() {
        over = true;
        datagrams.close();
    }
}
