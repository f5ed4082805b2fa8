package ryemast.reservation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

/**
 * Shifts one member's quota of each reservation towards the members its clients use. Given equal quotas that
 * add up to at most one whole ({@link ryemast.fleet.choices.SettledMembers}), guarantees that the quotas
 * derived here do too, without agreement between members: demand on which a member bases its quota is counted
 * by every other member with a quota, with at least that value.
 *
 * <p>Each member reports its demand with its heartbeat. An increase counts at once with all who read it, and
 * with the member itself when it has been listed for twice the settle time; a decrease counts with the member
 * itself before it is written, and with others the settle time after they read it. These are the times of
 * {@link ryemast.fleet.choices.SettledMembers}, for the same reason: nobody acts on an older list (leases:
 * Gray and Cheriton, 1989). With e the equal quota, a the demand the member uses for itself and W the sum of
 * that and what it counts for all others, the quota is (e + 9a) / (1 + 9W): as nobody's W is less than the
 * sum of all a, the quotas add up to at most 1.
 *
 * <p>A member that is no longer listed has no demand, but counts for the settle time. While any listed member
 * doesn't report its demand, no quota exceeds the equal one, as that member uses the equal one.
 */
final class DemandWeighting {

    /**
     * Demand for a whole reservation; larger values are capped to it, so that retries don't raise a quota.
     */
    static final int FULL_DEMAND = 100;
    /**
     * Weight of the demand against the equal quota: at full demand a tenth of a reservation stays equally
     * shared, for clients that switch to another member, until that member has reported its demand.
     */
    private static final double DEMAND_WEIGHT = 9;
    private static final long NEVER = Long.MAX_VALUE;

    /** The demand counted for one member: what it reports, and for a while what it reported before. */
    private static final class MemberDemand {
        int reported;
        int earlier;
        long earlierUntil = Long.MIN_VALUE;

        int effective(long now) {
            return now <= earlierUntil ? Math.max(reported, earlier) : reported;
        }
    }

    /** Demand for one service's reservation. */
    private static final class ServiceDemand {
        final Map<String, MemberDemand> members = new HashMap<>();
        int ownDemand;
        /** Own demand from {@code nextOwnAt} on; equal to {@code ownDemand} if no increase is pending. */
        int nextOwnDemand;
        long nextOwnAt;
        int othersSum;
        /** Until when {@code othersSum} is valid. */
        long othersSumUntil;
    }

    private final String self;
    private final long decreaseHold;
    private final long increaseWait;
    private final Map<String, ServiceDemand> services = new HashMap<>();
    /** What this member's heartbeats report from now on, whichever of them is listed. */
    private Map<String, Integer> reported = Map.of();
    /** Until when no quota exceeds the equal one. */
    private long evenUntil = Long.MIN_VALUE;

    /**
     * @param decreaseHold  how long an earlier report counts after a smaller one was read: the settle time
     * @param increaseWait  how long an increase must have been listed until this member uses it: twice that
     */
    DemandWeighting(String self, long hold, long wait) {
        this.self = self;
        this.decreaseHold = hold;
        this.increaseWait = wait;
    }

    /**
     * Sets what this member's next heartbeat reports. Its own demand doesn't exceed that from now on: of a
     * small report soon followed by a larger one, it may never see the small one listed, as others do.
     */
    void setReported(long now, Map<String, Integer> reports) {
        reported = Map.copyOf(reports);
        services.forEach((service, demand) -> {
            int most = reported.getOrDefault(service, 0);
            demand.ownDemand = Math.min(effectiveOwn(now, demand), most);
            demand.nextOwnDemand = Math.max(demand.ownDemand, Math.min(demand.nextOwnDemand, most));
        });
    }

    /** Takes a new list of members. */
    void updateMembers(long now, Collection<ListedMember> listed) {
        boolean unreported = false;
        var demandByService = new HashMap<String, Map<String, Integer>>();
        for (var each : listed) {
            unreported |= each.demand() == null;
            if (each.demand() != null) {
                each.demand().forEach((service, hundredths) ->
                        demandByService.computeIfAbsent(service, key -> new HashMap<>())
                        .put(each.name(), Math.max(0, Math.min(FULL_DEMAND, hundredths))));
            }
        }
        evenUntil = unreported ? NEVER : evenUntil == NEVER ? now + decreaseHold : evenUntil;
        demandByService.keySet().forEach(service -> services.computeIfAbsent(service,
                key -> new ServiceDemand()));
        services.forEach((service, demand) -> {
            var reports = demandByService.getOrDefault(service, Map.<String, Integer>of());
            updateMembers(now, demand, reports);
            updateOwn(now, demand, Math.min(reports.getOrDefault(self, 0),
                    reported.getOrDefault(service, 0)));
        });
        services.values().removeIf(demand -> demand.members.isEmpty());
    }

    private void updateMembers(long now, ServiceDemand demand, Map<String, Integer> reports) {
        var names = new HashSet<>(demand.members.keySet());
        names.addAll(reports.keySet());
        for (var name : names) {
            var count = demand.members.computeIfAbsent(name, key -> new MemberDemand());
            int newDemand = reports.getOrDefault(name, 0);
            if (newDemand < count.reported) {
                count.earlier = count.effective(now);
                count.earlierUntil = now + decreaseHold;
            }
            count.reported = newDemand;
        }
        demand.members.values().removeIf(count -> count.reported == 0 && now > count.earlierUntil);
        demand.othersSumUntil = Long.MIN_VALUE;
    }

    private void updateOwn(long now, ServiceDemand demand, int newDemand) {
        demand.ownDemand = effectiveOwn(now, demand);
        if (newDemand <= demand.ownDemand) {
            demand.ownDemand = newDemand;
        } else if (newDemand > demand.nextOwnDemand || demand.nextOwnDemand <= demand.ownDemand) {
            demand.nextOwnAt = now + increaseWait;
        }
        demand.nextOwnDemand = newDemand;
    }

    private static int effectiveOwn(long now, ServiceDemand demand) {
        return demand.nextOwnDemand > demand.ownDemand && now >= demand.nextOwnAt ? demand.nextOwnDemand
                : demand.ownDemand;
    }

    /** This member's quota of a service's reservation; {@code even}: its equal one, 0 if it has none now. */
    double quota(String service, double even, long now) {
        var demand = services.get(service);
        if (demand == null || even == 0) {
            return even;
        }
        // For itself it counts the demand it uses, not the one it reports: otherwise an increase would reduce
        // its own quota.
        int own = effectiveOwn(now, demand);
        double quota = (even + DEMAND_WEIGHT * own / FULL_DEMAND) / (1
                + DEMAND_WEIGHT * (othersDemand(now, demand) + own) / FULL_DEMAND);
        return now <= evenUntil ? Math.min(even, quota) : quota;
    }

    private int othersDemand(long now, ServiceDemand demand) {
        if (now > demand.othersSumUntil) {
            demand.othersSum = 0;
            demand.othersSumUntil = NEVER;
            demand.members.forEach((name, count) -> {
                demand.othersSum += name.equals(self) ? 0 : count.effective(now);
                if (now <= count.earlierUntil) {
                    demand.othersSumUntil = Math.min(demand.othersSumUntil, count.earlierUntil);
                }
            });
        }
        return demand.othersSum;
    }
}
