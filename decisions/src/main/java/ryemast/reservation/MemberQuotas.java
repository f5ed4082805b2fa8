package ryemast.reservation;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import ryemast.fleet.choices.SettledMembers;
import ryemast.reservation.AdmissionDecision.Kind;

/**
 * One member's quota of each reservation and of the unreserved capacity. Guarantees that over any period all
 * members together use no more of a reservation than its largest allocation times that period, and the burst;
 * plus one job per member where a member's share of the burst is smaller than the job. This holds during any
 * change of members or of the ledger and under any partition: quotas grow only after others have given theirs
 * up ({@link SettledMembers}), and a member that can't prove its view of both uses neither reserved nor
 * borrowed capacity. Quotas are equal where nothing is requested, and otherwise follow the demand that
 * members report to each other ({@link DemandWeighting}). A member whose settle time differs from the
 * ledger's uses neither reserved nor borrowed capacity, as its views would expire later, or others' capacity
 * be reused sooner, than assumed.
 *
 * <p>Lending: the overflow of a reservation's full bucket is certainly unused and may be borrowed by others,
 * so that lending takes nothing from the holder's bucket. Only jobs that are expected to run for
 * {@link LedgerSettings#lendTime} at most may borrow, at any time no more of them than the reservation's rate
 * clears in that time, or one; and once the holder returns, no more than was saved up for lending, which is
 * as much again. So the holder has its full rate back after twice that time.
 *
 * <p>Unreserved capacity is shared equally among the members last listed, however long ago, as a member that
 * is cut off must go on serving; so these shares may exceed it while members have different lists.
 */
public final class MemberQuotas {

    private static final class ServiceBuckets {
        final TokenBucket reserved = new TokenBucket(0);
        final TokenBucket lendable = new TokenBucket(0);
        double borrowedWork;

        void configure(LedgerSettings settings) {
            reserved.burst(settings.burst());
            lendable.burst(settings.lendTime());
        }
    }

    private final long settleTime;
    private final SettledMembers seats;
    private final DemandWeighting weighting;
    private final DemandMeter demand;
    private LedgerState ledger = LedgerState.EMPTY;
    private LedgerSettings settings;
    private long freshUntil = Long.MIN_VALUE;
    private final Map<String, ServiceBuckets> buckets = new LinkedHashMap<>();
    private TokenBucket free;
    private long lastRefill;

    /**
     * @param self      this process's name with its incarnation, which no other process has had
     * @param settings  its own; used until a state has the site's
     */
    public MemberQuotas(String self, LedgerSettings settings) {
        this(self, settings, new DemandWeighting(self, settings.settleTime(), 2 * settings.settleTime()));
    }

    MemberQuotas(String self, LedgerSettings settings, DemandWeighting weighting) {
        this.settings = settings;
        settleTime = settings.settleTime();
        this.weighting = weighting;
        seats = new SettledMembers(self, settings.settleTime(), 0);
        demand = new DemandMeter(settings.settleTime());
    }

    /** As {@link SettledMembers#observe}: {@code asOf} is when the list was requested. */
    public void updateMembers(long asOf, long now, Collection<ListedMember> members) {
        refill(now);
        seats.observe(asOf, now, members.stream().map(ListedMember::name).toList());
        weighting.updateMembers(now, members);
        refill(now);
    }

    /** What this member reports with its next heartbeat, as {@link ListedMember#demand}. */
    public Map<String, Integer> reportDemand(long now) {
        var report = demand.report(now, ledger.grants());
        setReportedDemand(now, report);
        return report;
    }

    void setReportedDemand(long now, Map<String, Integer> reported) {
        refill(now);
        weighting.setReported(now, reported);
        refill(now);
    }

    /** As {@link SettledMembers#invalidate}: this process's lease has expired or is in doubt. */
    public void leaseLost(long now) {
        refill(now);
        seats.invalidate();
        refill(now);
    }

    /**
     * Takes the ledger's state as it was at some time since {@code asOf}, when it was requested. A state
     * older than the known one is ignored while the known one is fresh.
     */
    public void updateLedger(long asOf, long now, LedgerState read) {
        refill(now);
        if (read.version() < ledger.version() && now <= freshUntil) {
            return;
        }
        ledger = read;
        settings = read.settings() == null ? settings : read.settings();
        freshUntil = Math.max(freshUntil, asOf + settleTime);
        var known = new LinkedHashMap<>(buckets);
        buckets.clear();
        for (var grant : ledger.grants()) {
            var name = grant.reservation().service().name();
            var bucket = known.getOrDefault(name, new ServiceBuckets());
            bucket.configure(settings);
            buckets.put(name, bucket);
        }
        boolean first = free == null;
        free = ledger.isEmpty() ? null : first ? new TokenBucket(0) : free;
        if (free != null) {
            free.burst(settings.burst());
        }
        refill(now);
        if (first && free != null) {
            free.fill();
        }
    }

    /** Between two views a quota only grows or ends, so the smaller of both was valid throughout. */
    private void refill(long now) {
        long micros = Math.max(0, now - lastRefill);
        lastRefill = Math.max(lastRefill, now);
        if (free == null) {
            return;
        }
        double even = evenQuota(lastRefill);
        for (var grant : ledger.grants()) {
            var name = grant.reservation().service().name();
            var bucket = buckets.get(name);
            double rate = weighting.quota(name, even, lastRefill) * grant.allocated();
            double overflow = bucket.reserved.refill(rate, micros);
            bucket.lendable.refill(rate, 0);
            bucket.lendable.add(overflow);
        }
        free.refill((double) ledger.free() / Math.max(1, seats.count(lastRefill)), micros);
    }

    /** Takes capacity for a job; {@code run} is its expected run time, 0: unknown. Time never goes back. */
    public AdmissionDecision acquire(int tenant, int jobClass, double work, long run, long now) {
        refill(now);
        if (free == null) {
            return AdmissionDecision.UNLIMITED;
        }
        Reservation own = null;
        for (var grant : ledger.grants()) {
            own = grant.reservation().service().covers(tenant, jobClass) ? grant.reservation() : own;
        }
        var service = own == null ? "" : own.service().name();
        if (own != null) {
            demand.recordDemand(service, work);
            var bucket = buckets.get(service).reserved;
            if (bucket.canTake(work)) {
                bucket.take(work);
                return AdmissionDecision.of(Kind.RESERVED, service);
            } else if (own.capped()) {
                return new AdmissionDecision(Kind.REFUSED, service, "", bucket.waitTime(work));
            }
        }
        if (free.canTake(work)) {
            free.take(work);
            return AdmissionDecision.of(Kind.FREE, service);
        }
        var lender = run > 0 && run <= settings.lendTime() ? findLender(work) : null;
        if (lender != null) {
            var bucket = buckets.get(lender);
            bucket.lendable.take(work);
            bucket.borrowedWork += work;
            return new AdmissionDecision(Kind.BORROWED, service, lender, 0);
        }
        return new AdmissionDecision(Kind.REFUSED, service, "", free.waitTime(work));
    }

    private String findLender(double work) {
        for (var each : buckets.entrySet()) {
            var bucket = each.getValue();
            boolean fits = bucket.borrowedWork == 0
                    || bucket.borrowedWork + work <= bucket.lendable.rate() * settings.lendTime() / 1e6;
            if (bucket.lendable.canTake(work) && fits) {
                return each.getKey();
            }
        }
        return null;
    }

    /** Refunds what was taken at this moment, as the job was not accepted. */
    public void refund(AdmissionDecision decision, double work) {
        var bucket = buckets.get(decision.kind() == Kind.BORROWED ? decision.lender() : decision.service());
        switch (decision.kind()) {
            case RESERVED -> bucket.reserved.take(-work);
            case FREE -> free.take(-work);
            case BORROWED -> {
                bucket.lendable.take(-work);
                onEnded(decision, work);
            }
            default -> { }
        }
    }

    /** A job admitted by that decision has ended. */
    public void onEnded(AdmissionDecision decision, double work) {
        var bucket = buckets.get(decision.lender());
        if (bucket != null) {
            double remaining = bucket.borrowedWork - work;
            // Rounding errors leave a remainder smaller than any job.
            bucket.borrowedWork = remaining < 0.5 ? 0 : remaining;
        }
    }

    /** This member's equal quota of each reservation now, 0 to 1: 0 unless its views are proven. */
    private double evenQuota(long now) {
        boolean sameSettleTime = ledger.settings() != null && ledger.settings().settleTime() == settleTime;
        return sameSettleTime && now <= freshUntil ? seats.share(now) : 0;
    }

    /** This member's quota of a service's reservation now, 0 to 1: 0 unless its views are proven. */
    public double quota(String service, long now) {
        return weighting.quota(service, evenQuota(now), now);
    }

    /** The work per second that this member may use of a service's reservation now. */
    public double rate(String service, long now) {
        refill(now);
        return buckets.containsKey(service) ? buckets.get(service).reserved.rate() : 0;
    }
}
