package ryemast.fleet.signals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges load and health reports on workers with the other fleet members, and merges what they report:
 * state-based gossip in a small full mesh. Mitzenmacher's "How Useful Is Old Information?" (PODC 1997)
 * shows why load reports must be fresh; the merge is a median as in Yin et al., "Byzantine-Robust
 * Distributed Learning" (ICML 2018).
 *
 * <p>Guarantees, whatever peers send: a duplicate, old, malformed or implausible digest changes nothing,
 * and an implausible or replayed one suspends its sender for {@link Peer#SUSPENSION}. Estimates of speed
 * and suspicion need two peers and are medians that include our own estimate, so one false report decides
 * nothing. Speeds stay within {@link #MAX_SPEED_FACTOR} of our own estimate. No peer's jobs count for more
 * than {@link #MAX_MEDIAN_MULTIPLE} times those of the median member. With all peers silent, the result is
 * empty. A report counts as old as it can be by {@link PeerClock}, however late it arrives; a peer that has
 * not echoed a digest of this process is ignored. A period costs one pass over workers and peers, a
 * datagram one pass over its reports; at most {@link #MAX_DATAGRAMS_PER_PERIOD} datagrams of each peer are
 * read per period.
 */
public final class LoadGossip {

    /**
     * A report is implausible beyond this factor of our own estimate: above or below the speed, above the
     * slots.
     */
    static final double IMPLAUSIBLE_FACTOR = 16;
    /** Jobs allowed beyond that factor, as the estimate of a worker that was never used is a guess. */
    static final double IMPLAUSIBLE_JOBS_MARGIN = 64;
    /** Maximum factor between a merged speed and our own estimate. */
    static final double MAX_SPEED_FACTOR = 3;
    /**
     * Clients spread evenly over dispatchers: jobs beyond this multiple of the median member's are ignored.
     */
    static final double MAX_MEDIAN_MULTIPLE = 2;
    /** In jobs: the limit is never lower, so that a few jobs in an idle fleet count in full. */
    static final double MIN_JOBS_LIMIT = 4;
    /** Twice the number of datagrams that a member may send. */
    static final int MAX_DATAGRAMS_PER_PERIOD = 2 * DigestBuilder.MAX_DIGESTS;
    /** A suspicion with less evidence is ignored, and so is a speed with fewer samples. */
    private static final double MIN_EVIDENCE = 0.5;
    private static final double MIN_SAMPLES = 2;
    /** Speed and suspicion reported by a single peer are ignored, as nothing contradicts a false report. */
    private static final int QUORUM = 2;
    /**
     * With fewer peers one false report could decide, so our own estimate is included even without
     * evidence.
     */
    private static final int MIN_VOTES = 3;
    /** Peers' samples are worth at most as much as the prior of the kind of worker. */
    private static final double MAX_SAMPLES = 12;

    private final int self;
    private final long process;
    private final DigestBuilder digestBuilder;
    private final Peer[] peers;
    private final int[] datagramsThisPeriod;
    private Map<Integer, LocalEstimate> ownEstimates = Map.of();

    /**
     * @param self     this member's name
     * @param process  random ID drawn at the start of the process
     * @param peers    maximum number of other members, identified by the address their datagrams come from
     */
    public LoadGossip(String self, long process, int peers) {
        this.self = WorkerReport.nameHash(self);
        this.process = process;
        digestBuilder = new DigestBuilder(this.self, process);
        this.peers = new Peer[peers];
        Arrays.setAll(this.peers, i -> new Peer());
        datagramsThisPeriod = new int[peers];
    }

    /** Handles a datagram from the peer of that number, from 0; returns null if it was accepted. */
    public DigestRejection receive(long now, int peer, byte[] datagram) {
        if (peer < 0 || peer >= peers.length) {
            return DigestRejection.UNKNOWN_SENDER;
        }
        if (++datagramsThisPeriod[peer] > MAX_DATAGRAMS_PER_PERIOD) {
            return DigestRejection.SUSPENDED;
        }
        var digest = Digest.decode(datagram).orElse(null);
        if (digest == null) {
            return DigestRejection.MALFORMED;
        }
        for (int i = 0; i < peers.length; i++) {
            if (digest.member() == self || i != peer && peers[i].isMember(digest.member())) {
                return DigestRejection.UNKNOWN_SENDER;
            }
        }
        return peers[peer].receive(now, process, digest, this::isPlausible);
    }

    /** A speed is judged only against a measured one: the initial estimate of a new member is a guess. */
    private boolean isPlausible(WorkerReport report) {
        var estimate = ownEstimates.get(report.nameHash());
        if (!report.isPlausible() || estimate == null) {
            return report.isPlausible();
        }
        boolean measured = isMeasured(report) && isMeasured(estimate.report());
        return report.jobs() <= IMPLAUSIBLE_FACTOR * estimate.slots() + IMPLAUSIBLE_JOBS_MARGIN
                && (!measured || report.speed() <= IMPLAUSIBLE_FACTOR * estimate.speed()
                && report.speed() >= estimate.speed() / IMPLAUSIBLE_FACTOR);
    }

    private static boolean isMeasured(WorkerReport report) {
        return report != null && report.speed() > 0 && report.samples() >= MIN_SAMPLES;
    }

    /**
     * To be called once a period: the datagrams for each peer, by its number, from own observations alone.
     */
    public List<List<byte[]>> digests(long now, Collection<LocalEstimate> estimates) {
        Arrays.fill(datagramsThisPeriod, 0);
        var byHash = new HashMap<Integer, LocalEstimate>();
        var collisions = new ArrayList<Integer>();
        for (var estimate : estimates) {
            if (byHash.put(WorkerReport.nameHash(estimate.worker()), estimate) != null) {
                collisions.add(WorkerReport.nameHash(estimate.worker()));
            }
        }
        byHash.keySet().removeAll(collisions);
        ownEstimates = byHash;
        var digests = digestBuilder.digests(now, byHash.values());
        return Arrays.stream(peers).map(Peer::echo)
                .map(echo -> digests.stream().map(each -> each.withEcho(echo).encode()).toList()).toList();
    }

    /** How many peers are trusted now. */
    public int trustedPeers(long now) {
        return (int) Arrays.stream(peers).filter(peer -> peer.isTrusted(now)).count();
    }

    /**
     * The merged estimates of the peers by worker; empty if all are silent. To be called after
     * {@link #digests}.
     */
    public Map<String, Borrowed> peerEstimates(long now) {
        var trusted = Arrays.stream(peers).filter(peer -> peer.isTrusted(now)).toList();
        Arrays.stream(peers).forEach(peer -> peer.expire(now));
        if (trusted.isEmpty()) {
            return Map.of();
        }
        var totals = new ArrayList<Double>();
        totals.add(ownEstimates.values().stream().filter(each -> each.report() != null)
                .mapToDouble(each -> each.report().jobs()).sum());
        trusted.forEach(peer -> totals.add(peer.totalJobs(now)));
        double jobsLimit = Math.max(MIN_JOBS_LIMIT, MAX_MEDIAN_MULTIPLE * median(totals));
        var result = new HashMap<String, Borrowed>();
        for (var each : ownEstimates.entrySet()) {
            var merged = merge(each.getKey(), each.getValue(), trusted, jobsLimit, now);
            if (merged != null) {
                result.put(each.getValue().worker(), merged);
            }
        }
        return result;
    }

    private static Borrowed merge(int nameHash, LocalEstimate own, List<Peer> trusted, double jobsLimit,
            long now) {
        double jobs = 0;
        double work = 0;
        var speeds = new ArrayList<Double>();
        var samples = new ArrayList<Double>();
        var suspicions = new ArrayList<Double>();
        for (var peer : trusted) {
            var report = peer.report(nameHash);
            if (report == null || peer.earliestTime(nameHash) < own.startedAt()) {
                continue;
            }
            double weight = peer.loadWeight(nameHash, now)
                    * Math.min(1, jobsLimit / Math.max(1e-9, peer.totalJobs(now)));
            jobs += report.jobs() * weight;
            work += report.work() * weight;
            double decay = Borrowed.decay(now - peer.earliestTime(nameHash) + report.age(),
                    Borrowed.ESTIMATE_DECAY_SECONDS);
            if (report.speed() > 0 && report.samples() * decay >= MIN_SAMPLES) {
                speeds.add(Math.log(report.speed()));
                samples.add(report.samples() * decay);
            }
            boolean ofThisProcess = peer.earliestTime(nameHash) - report.age() >= own.startedAt();
            if (ofThisProcess && report.evidence() * decay >= MIN_EVIDENCE) {
                suspicions.add(report.suspicion() * decay);
            }
        }
        if (jobs == 0 && work == 0 && speeds.isEmpty() && suspicions.isEmpty()) {
            return null;
        }
        double ownSamples = samples.size() < QUORUM ? 0 : Math.min(MAX_SAMPLES, median(samples));
        double ownLog = Math.log(Math.max(1e-3, own.speed()));
        boolean hasReport = own.report() != null;
        if (speeds.size() < MIN_VOTES || isMeasured(own.report())) {
            speeds.add(ownLog);
        }
        double maxDeviation = Math.log(MAX_SPEED_FACTOR);
        double speed = Math.max(ownLog - maxDeviation, Math.min(ownLog + maxDeviation, median(speeds)));
        boolean hasQuorum = suspicions.size() >= QUORUM;
        if (suspicions.size() < MIN_VOTES || hasReport) {
            suspicions.add(hasReport ? own.report().suspicion() : 0);
        }
        return new Borrowed(now, jobs, work, speed, ownSamples, hasQuorum ? median(suspicions) : 0);
    }

    /** For an even number of values, the mean of the middle two. */
    static double median(List<Double> values) {
        var sorted = values.stream().sorted().toList();
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(half) : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }
}
