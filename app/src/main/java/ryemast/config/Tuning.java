package ryemast.config;

import java.net.InetSocketAddress;
import java.util.List;
import ryemast.core.Exchange;
import ryemast.log.LogTuning;
import ryemast.membership.MembershipLimits;
import ryemast.net.client.ClientTuning;
import ryemast.net.discovery.DiscoveryTuning;
import ryemast.net.worker.WorkerTuning;

/**
 * What an operator may set, as the parts of the program use it. Times are in microseconds. It knows nothing
 * of the file that it may come from, so that a start without one loads nothing for it.
 *
 * @param recording  null: nothing is recorded
 * @param drained    the file that names workers which operators want drained; null: there is none
 * @param members    how far a source of workers that can be wrong is believed
 * @param consul     null: workers come from the platform's discovery
 * @param batch      null: there is no batch submission
 * @param coordination  null: this dispatcher agrees with no other, and keeps no records
 * @param timetable  the file with its entries; null: there is none
 * @param reservations  the file with them; null: nothing is reserved
 * @param peers      null: dispatchers tell each other nothing
 */
public record Tuning(Unsaid unsaid, Limits limits, ClientTuning terminals, WorkerTuning regions,
        DiscoveryTuning table, Ending ending, LogTuning log, Recording recording, String drained,
        MembershipLimits members,
        Consul consul, Batch batch, Coordination coordination, String timetable, String reservations,
        Peers peers) {

    public static final Tuning DEFAULT = new Tuning(
            new Unsaid("dispatcher", null, null, 1024, Integer.MAX_VALUE, 250_000, 5_000_000, 20_000),
            new Limits(48, 3, 8, Exchange.NAMES), ClientTuning.DEFAULT, WorkerTuning.DEFAULT,
            DiscoveryTuning.DEFAULT, new Ending(450_000, 100_000, 700_000), LogTuning.DEFAULT, null, null,
            MembershipLimits.DEFAULT, null, null, null, null, null, null);

    /** What holds where the platform says nothing; an address may be null, which then is a fault. */
    public record Unsaid(String name, InetSocketAddress listen, InetSocketAddress discovery, int sockets,
            int maxOpen, long connectLimit, long connIdle, long grace) {
    }

    /**
     * How the sockets are shared out.
     *
     * @param reservedSockets  for all that is no connection: jar, standard streams, selectors, discovery
     * @param regionsShare     one part in so many of the others is for connections to workers
     * @param callBackShare    of the connections to us, one part in so many is one that jobs leave free, so
     *                         that call-backs always get through
     * @param namesRemembered  so many transactions' names can't be used again
     */
    public record Limits(int reservedSockets, int regionsShare, int callBackShare, int namesRemembered) {
    }

    /**
     * How the program ends in order.
     *
     * @param clientsCome  after SIGTERM, clients still use connections, old ones and new, for so long
     * @param rest         a connection this young may have been opened for a call-back that is on its way
     * @param least        the program stays for so long at least
     */
    public record Ending(long clientsCome, long rest, long least) {

        /** How often it looks whether all is answered. */
        public static final long CHECK = 20_000;
    }

    /**
     * What is recorded of traffic and outcomes.
     *
     * @param places  how many things may wait for the disk
     */
    public record Recording(String folder, long partBytes, long totalBytes, int places) {
    }

    /**
     * Consul as the source of workers, in plain words: a start without it loads no class of its module.
     *
     * @param service  null where {@code tag} says which
     * @param mode     default, consistent or stale
     */
    public record Consul(List<InetSocketAddress> agents, String service, String tag, String mode,
            String datacentre,
            String filter, String tokenFile, String authorityFile, String tlsName, long hold,
            long connectLimit,
            int longestAnswer, Fields fields, String registerAs, long timeToLive) {
    }

    /** Where in a catalogue entry something stands. */
    public record Fields(String id, String kind, String zone, String cell, String weight, String started) {
    }

    /**
     * Batch submission, in plain words: a start without it loads no class of its module. Times in
     * microseconds.
     *
     * @param folder    where accepted jobs are kept
     * @param keys      where certificates and keys are
     * @param mostOut   and what follows: as the operator file's keys have it
     */
    public record Batch(InetSocketAddress listen, String folder, String keys, int mostOut, int mostWaiting,
            int connections, long helloLimit, long frameLimit, long idleLimit, int window, long storeBytes,
            long reserveBytes, long retain, int failures) {
    }

    /**
     * What dispatchers agree by, in plain words: a start without it loads no class of its module.
     *
     * @param folder    of the embedded store; null where {@code kv} takes its place
     * @param kv        null where {@code folder} takes its place
     * @param replicas  how many dispatchers the site is meant to have
     * @param lasts     a lease without a beat
     * @param drift     by which part two machines' clocks may run apart
     */
    public record Coordination(String folder, Kv kv, int replicas, long lasts, double drift) {
    }

    /**
     * Consul's KV.
     *
     * @param agents  empty where none is named, which is a fault
     */
    public record Kv(String prefix, List<InetSocketAddress> agents, String tokenFile, String authorityFile,
            String tlsName, long hold, long connectLimit, int longestAnswer) {
    }

    /**
     * Signals between dispatchers, in plain words: a start without them loads no class of their module.
     *
     * @param addresses  of all other dispatchers
     * @param period     between two tellings
     */
    public record Peers(InetSocketAddress listen, List<InetSocketAddress> addresses, long period) {
    }
}
