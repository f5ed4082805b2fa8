package ryemast.fleet.choices;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Simulates a fleet whose members join, leave, pause, and learn of each other with any delay up to the settle
 * time, and adds up what all of them do at once.
 */
final class FleetSimulation {

    static final long SETTLE_TIME = 3_000_000;
    private static final long STEP = 100_000;
    static final FleetLimit LIMIT = new FleetLimit("trial", 5, 10_000_000, 200_000);

    /** What a member counts, and its share: {@link SettledMembers}, or a faulty variant of it. */
    interface ShareModel {
        void seen(long asOf, long now, Collection<String> members);

        double part(long now);

        default WindowPermits turn(long now) {
            return new WindowPermits(0, 0, 0);
        }
    }

    static final class CorrectModel implements ShareModel {
        final SettledMembers settledMembers;
        private final FleetPermits fleetPermits;
        private final TenantRateLimiter rateLimiter;

        CorrectModel(String self, long settle, long bornAt) {
            settledMembers = new SettledMembers(self, settle, LIMIT.window());
            fleetPermits = FleetPermits.ofNamed(self, settledMembers, bornAt);
            rateLimiter = TenantRateLimiter.ofNamed(self, settle, new double[] {40}, 2);
        }

        @Override
        public void seen(long asOf, long now, Collection<String> members) {
            settledMembers.observe(asOf, now, members);
            rateLimiter.observe(asOf, now, members);
        }

        @Override
        public double part(long now) {
            return settledMembers.share(now);
        }

        @Override
        public WindowPermits turn(long now) {
            return fleetPermits.permits(LIMIT, "box", 0, now);
        }
    }

    private static final class Member {
        final String name;
        final ShareModel model;
        long pausedUntil;
        long asOf = -1;
        long responseAt;
        Set<String> response;
        long window = -1;
        int used;
        boolean left;

        Member(String name, ShareModel division) {
            this.name = name;
            this.model = division;
        }
    }

    private final SplittableRandom random;
    private final Function<String, ShareModel> modelFactory;
    private final int maxMembers;
    private final List<Member> running = new ArrayList<>();
    private final Set<String> listed = new HashSet<>();
    private final Map<Long, Integer> usedByWindow = new HashMap<>();
    private final List<Long> jobs = new ArrayList<>();
    private int nextNumber;
    private long now;
    double maxTotalShare;
    int maxUsed;
    double lastTotalShare;
    double largestShare;

    FleetSimulation(long seed, int members, Function<String, ShareModel> modelFactory) {
        random = new SplittableRandom(seed);
        this.modelFactory = modelFactory;
        maxMembers = 2 * members + 10;
        join(members);
    }

    private void join(int count) {
        for (int i = 0; i < count; i++) {
            var name = "member-" + nextNumber++;
            listed.add(name);
            running.add(new Member(name, modelFactory.apply(name)));
        }
    }

    /** Removes members from the list; they learn of it as all others do, or stop at once. */
    private void leave(int count) {
        for (int i = 0; i < count && listed.size() > 1; i++) {
            var name = listed.stream().sorted().skip(random.nextInt(listed.size())).findFirst().orElseThrow();
            listed.remove(name);
            running.removeIf(each -> each.name.equals(name) && random.nextBoolean());
        }
    }

    /** A settled fleet of which half leaves at once. */
    FleetSimulation halve() {
        run(15, 0);
        leave(listed.size() / 2);
        return run(5, 0, true);
    }

    /**
     * Runs with {@code changes} per second, of one member or half of them, with pauses and late responses.
     */
    FleetSimulation run(double seconds, double changes) {
        return run(seconds, changes, changes > 0);
    }

    private FleetSimulation run(double seconds, double changes, boolean delays) {
        for (long end = now + (long) (seconds * 1e6); now < end; now += STEP) {
            if (random.nextDouble() < changes * STEP / 1e6) {
                int count = random.nextInt(3) == 0 ? Math.max(1, listed.size() / 2) : 1;
                if (random.nextBoolean()) {
                    join(Math.min(count, maxMembers - listed.size()));
                } else {
                    leave(count);
                }
            }
            double totalShare = 0;
            for (var each : running) {
                if (each.pausedUntil <= now) {
                    totalShare += step(each, delays, changes > 0);
                }
            }
            running.removeIf(each -> each.left);
            maxTotalShare = Math.max(maxTotalShare, totalShare);
            lastTotalShare = totalShare;
        }
        return this;
    }

    private double step(Member member, boolean delays, boolean pauses) {
        if (member.asOf >= 0 && member.responseAt <= now) {
            member.model.seen(member.asOf, now, member.response);
            member.asOf = -1;
            member.left = !member.response.contains(member.name);
        }
        if (member.asOf < 0 && (!delays || random.nextInt(4) == 0)) {
            member.asOf = now;
            member.response = Set.copyOf(listed);
            boolean later = delays && random.nextInt(4) == 0;
            member.responseAt = now + random.nextLong(later ? SETTLE_TIME * 7 / 10 : SETTLE_TIME / 20);
        }
        if (pauses && random.nextInt(400) == 0) {
            member.pausedUntil = now + random.nextLong(4 * SETTLE_TIME);
        }
        var permits = member.model.turn(now);
        if (permits.window() != member.window) {
            member.window = permits.window();
            member.used = 0;
        }
        if (member.used < permits.permits() && random.nextInt(3) == 0) {
            int more = permits.permits() - member.used;
            member.used += more;
            maxUsed = Math.max(maxUsed, usedByWindow.merge(permits.window(), more, Integer::sum));
        }
        if (member.model instanceof CorrectModel sound && random.nextInt(3) == 0) {
            while (sound.rateLimiter.tryAcquire(0, now)) {
                jobs.add(now);
            }
        }
        double share = member.model.part(now);
        largestShare = Math.max(largestShare, share);
        return share;
    }

    /** The maximum number of the tenant's jobs in any period of this length, above its rate without burst. */
    double maxJobsAboveRate(long length, double rate) {
        int first = 0;
        double most = 0;
        for (int last = 0; last < jobs.size(); last++) {
            while (jobs.get(last) - jobs.get(first) > length) {
                first++;
            }
            most = Math.max(most, last - first + 1 - rate * (length + STEP) / 1e6);
        }
        return most;
    }
}
