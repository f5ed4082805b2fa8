package ryemast.reservation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import ryemast.reservation.AdmissionDecision.Kind;

/**
 * A fleet with one ledger in virtual time: members join, leave, pause, receive answers late and take all they
 * may; any of them writes the ledger by compare-and-set, with a wall clock of its own. New settings arrive,
 * and processes adopt them one by one, with a restart where the settle time differs. What all members assume
 * and use is recorded and checked by sums over every time interval.
 */
final class LedgerSimulation {

    static final long SETTLE = 3_000_000;
    static final long STEP = 200_000;
    static final long S = 1_000_000;
    static final LedgerSettings SETTINGS = new LedgerSettings(SETTLE, 0.1, 0.05, 5 * S, 4 * S, 2 * S);
    /** The site's capacity while no random event changes it. */
    static final long CAPACITY = 100 * S;

    /** How members are created and informed; overridden to plant faults. */
    static class Wiring {
        MemberQuotas quotas(String self, LedgerSettings settings) {
            return new MemberQuotas(self, settings);
        }

        ReservationLedger ledger(LedgerSettings settings) {
            return new ReservationLedger(settings);
        }

        /** The state that a member's quotas receive. */
        LedgerState state(LedgerState read) {
            return read;
        }

        List<ListedMember> members(String self, List<ListedMember> listed) {
            return listed;
        }

        long asOf(long asked, long now) {
            return asked;
        }

        long wall(long wall) {
            return wall;
        }

        long readAt(long now) {
            return now;
        }
    }

    private final class Process {
        final String name;
        final MemberQuotas quotas;
        final ReservationLedger ledger;
        int revision;
        final long skew = random.nextLong(-500_000, 500_000);
        long pausedUntil;
        long cutUntil;
        long asOf = -1;
        long answerAt;
        List<ListedMember> members;
        LedgerState readState;
        /** Its heartbeat on the way to the records; null: none. */
        Map<String, Integer> pendingReport;
        long reportAt;
        /** The newest state it received, which a correct member acts on. */
        LedgerState newestState = LedgerState.EMPTY;
        LedgerState pendingWrite;
        LedgerState expected;
        long writeAt;

        Process(String name, int revision) {
            this.name = name;
            this.revision = revision;
            quotas = wiring.quotas(name, settings());
            ledger = wiring.ledger(settings());
        }

        LedgerSettings settings() {
            return revisions.get(revision);
        }
    }

    private record StoredState(long from, LedgerState state) {
    }

    private final SplittableRandom random;
    private final Wiring wiring;
    private final int size;
    private final List<Process> processes = new ArrayList<>();
    /** By member, the demand its heartbeat reports; empty: it runs an older program. */
    private final Map<String, Optional<Map<String, Integer>>> listed = new HashMap<>();
    private final List<LedgerSettings> revisions = new ArrayList<>(List.of(SETTINGS));
    /** The highest revision that any process had. */
    private int highest;
    private final List<StoredState> history = new ArrayList<>(List.of(new StoredState(0, LedgerState.EMPTY)));
    private final Map<String, Reservation> requests = new HashMap<>();
    /**
     * By service, the work of each step that used its reservation; borrowed work under "lent " and the
     * lender.
     */
    private final Map<String, List<Double>> used = new HashMap<>();
    /** By service, the largest allocation that any member may have seen at each step. */
    private final Map<String, List<Long>> ceilings = new HashMap<>();
    private final double largestJob;
    boolean wallClockSteps;
    /** Some joining members run an older program, which knows equal quotas only. */
    boolean mixed;
    /** New settings arrive. */
    boolean revised;
    int nextMember;
    long now = 10 * S;
    long capacity = CAPACITY;
    /** By service. */
    double[] lastQuotas;
    int statesWritten;
    /** Violations, in the order of detection. */
    final List<String> violations = new ArrayList<>();

    LedgerSimulation(long seed, int members, Wiring wiring) {
        random = new SplittableRandom(seed);
        this.wiring = wiring;
        size = members;
        // A quarter of a member's burst of a reservation of one tenth.
        largestJob = CAPACITY / 10 * 4.0 / members / 4;
        join(members);
        for (int tenant = 0; tenant < 3; tenant++) {
            request(reservation(tenant, 20 * S, tenant));
        }
    }

    LedgerState state() {
        return history.get(history.size() - 1).state();
    }

    void join(int count) {
        for (int i = 0; i < count; i++) {
            var process = new Process("member-" + nextMember++, highest);
            boolean old = mixed && random.nextInt(3) == 0;
            listed.put(process.name, old ? Optional.empty() : Optional.of(Map.of()));
            processes.add(process);
        }
    }

    private void leave(int count) {
        for (int i = 0; i < count && listed.size() > 1; i++) {
            var name = listed.keySet().stream().sorted().skip(random.nextInt(listed.size())).findFirst()
                    .orElseThrow();
            listed.remove(name);
            processes.removeIf(each -> each.name.equals(name) && random.nextBoolean());
        }
    }

    void request(Reservation wanted) {
        requests.put(wanted.service().name(), wanted);
    }

    static Reservation reservation(int tenant, long perSecond, int rank, Span... windows) {
        var service = new Service("service-" + tenant, tenant, Set.of());
        return new Reservation(service, perSecond, List.of(windows), rank, true);
    }

    /** Makes a random request for one of five services; sometimes a cancellation. */
    private void requestAnything() {
        int tenant = random.nextInt(5);
        long from = now + random.nextLong(-10 * S, 10 * S);
        var windows = random.nextBoolean() ? new Span[0] : new Span[] {new Span(from, from + 8 * S),
            new Span(from + 8 * S + random.nextLong(4) * S, from + 16 * S)};
        if (random.nextInt(5) == 0) {
            requests.remove("service-" + tenant);
        } else {
            request(reservation(tenant, (5 + random.nextLong(45)) * S, random.nextInt(3), windows));
        }
    }

    /**
     * Runs on; {@code changes}: rate per second of changes of members, requests and workers, with pauses and
     * partitions.
     */
    LedgerSimulation run(double seconds, double changes) {
        for (long end = now + (long) (seconds * S); now < end; now += STEP) {
            if (random.nextDouble() < changes * STEP / S) {
                int count = random.nextInt(3) == 0 ? Math.max(1, listed.size() / 2) : 1;
                if (random.nextBoolean()) {
                    join(Math.min(count, 2 * size + 10 - listed.size()));
                } else {
                    leave(count);
                }
            }
            if (random.nextDouble() < 3 * changes * STEP / S) {
                requestAnything();
            }
            if (random.nextDouble() < changes * STEP / S / 3) {
                capacity = CAPACITY / 10 * (3 + random.nextInt(10));
            }
            if (revised && changes > 0 && now % (12 * S) == 0) {
                revisions.add(new LedgerSettings(random.nextBoolean() ? SETTLE : SETTLE / 3,
                        random.nextBoolean() ? 0.1 : 0.2, 0.05, 5 * S, (2 + random.nextInt(3)) * S,
                        (1 + random.nextInt(2)) * S));
            }
            used.values().forEach(each -> each.add(0.0));
            for (var each : List.copyOf(processes)) {
                if (each.pausedUntil <= now) {
                    act(each, changes);
                }
            }
            checkAllocations();
            if (changes == 0 && now > end - (long) (seconds * S * 2 / 3)) {
                checkWindows();
            }
        }
        return this;
    }

    /**
     * Adopts new settings; returns whether the process goes on: for another settle time it is replaced by a
     * new one.
     */
    private boolean revise(Process process) {
        int last = revisions.size() - 1;
        if (process.revision == last || process.cutUntil > now || random.nextInt(20) != 0) {
            return true;
        }
        highest = last;
        if (revisions.get(last).settleTime() != process.settings().settleTime()) {
            listed.remove(process.name);
            processes.remove(process);
            join(1);
            return false;
        }
        process.revision = last;
        process.ledger.settings(process.settings());
        return true;
    }

    private void act(Process process, double changes) {
        boolean faults = changes > 0;
        if (!revise(process)) {
            return;
        }
        if (process.asOf >= 0 && process.answerAt <= now) {
            boolean old = process.members.stream().anyMatch(each -> each.name().equals(process.name)
                    && each.demand() == null);
            process.quotas.updateMembers(wiring.asOf(process.asOf, now), now, wiring.members(process.name, old
                    ? process.members.stream().map(each -> new ListedMember(each.name(), Map.of())).toList()
                    : process.members));
            process.quotas.updateLedger(wiring.asOf(process.asOf, now), now, wiring.state(process.readState));
            process.newestState = process.readState.version() >= process.newestState.version()
                    ? process.readState : process.newestState;
            process.asOf = -1;
            if (process.members.stream().noneMatch(each -> each.name().equals(process.name))) {
                processes.remove(process);
                return;
            }
            maintainLedger(process, faults);
        }
        if (process.pendingWrite != null && process.writeAt <= now) {
            if (process.expected == state() && process.revision == highest) {
                history.add(new StoredState(now, process.pendingWrite));
                statesWritten++;
            }
            process.pendingWrite = null;
        }
        if (random.nextDouble() < changes / (revised ? 8 : 45)) {
            process.cutUntil = now + random.nextLong(SETTLE * 5 / 4);
        }
        // At rest a large fleet reads once a second, as reads take most of such a run's time.
        boolean asks = faults ? random.nextInt(3) == 0 : size < 50 || now / STEP % 5 == 0;
        if (process.asOf < 0 && process.cutUntil <= now && asks) {
            process.asOf = now;
            process.members = listed.entrySet().stream()
                    .map(each -> new ListedMember(each.getKey(), each.getValue().orElse(null))).toList();
            process.readState = state();
            boolean late = faults && random.nextInt(4) == 0;
            process.answerAt = now + random.nextLong(late ? SETTLE * 7 / 10 : SETTLE / 20);
        }
        report(process, changes);
        if (random.nextDouble() < changes / 150) {
            process.pausedUntil = now + random.nextLong(4 * SETTLE);
        }
        takeAll(process);
    }

    /** Random demand, in any order; a heartbeat may be seconds late. */
    private void report(Process process, double changes) {
        if (process.pendingReport != null && process.reportAt <= now) {
            if (listed.getOrDefault(process.name, Optional.empty()).isPresent()) {
                listed.put(process.name, Optional.of(process.pendingReport));
            }
            process.pendingReport = null;
        }
        // Rare enough for most to have expired before the next one, and for buckets to fill.
        if (process.pendingReport == null && random.nextDouble() < changes * STEP / S / 4) {
            process.pendingReport = new HashMap<>();
            for (int tenant = 0; tenant < 5; tenant++) {
                if (random.nextBoolean()) {
                    process.pendingReport.put("service-" + tenant, random.nextInt(120));
                }
            }
            process.quotas.setReportedDemand(now, process.pendingReport);
            process.reportAt = now + random.nextLong(SETTLE / 2);
        }
    }

    /** A few members maintain the ledger at a time; which ones doesn't matter, as one write takes effect. */
    private void maintainLedger(Process process, boolean faults) {
        boolean mayWrite = process.pendingWrite == null && process.revision == highest;
        if (!mayWrite || random.nextInt(1 + listed.size() / 3) != 0) {
            return;
        }
        process.ledger.load(process.readState, wiring.readAt(now));
        process.ledger.updateCapacity(capacity, now);
        for (var grant : process.readState.grants()) {
            var name = grant.reservation().service().name();
            if (!requests.containsKey(name)) {
                process.ledger.cancel(name);
            }
        }
        for (var requested : requests.values()) {
            try {
                process.ledger.reserve(requested);
            } catch (ReservationException e) {
                // It is requested again at the next step.
            }
        }
        long hour = wallClockSteps && random.nextInt(4) == 0 ? random.nextLong(-1, 2) * 3600 * S : 0;
        process.ledger.step(now, wiring.wall(now + (faults ? process.skew : 0) + hour));
        if (!process.ledger.state().equals(process.readState)) {
            process.pendingWrite = process.ledger.state();
            process.expected = process.readState;
            process.writeAt = now + random.nextLong(faults ? SETTLE / 2 : 1 + STEP);
        }
    }

    private void takeAll(Process process) {
        // All save up for some seconds, and then take all they can.
        if (now / (8 * S) % 3 != 0 || random.nextInt(3) != 0) {
            return;
        }
        for (int tenant = 0; tenant < 5; tenant++) {
            take(process, tenant, "service-" + tenant);
        }
        take(process, 5, "");
    }

    private void take(Process process, int tenant, String service) {
        while (true) {
            double work = largestJob * (0.1 + 0.9 * random.nextDouble());
            var decision = process.quotas.acquire(tenant, 0, work, (long) work, now);
            if (decision.kind() == Kind.RESERVED) {
                recordUse(service, work);
            } else if (decision.kind() == Kind.BORROWED) {
                recordUse("lent " + decision.lender(), work);
                // Borrowing jobs end at once here, so that only the rate limits them.
                process.quotas.onEnded(decision, work);
            } else if (decision.kind() != Kind.FREE) {
                return;
            }
        }
    }

    private void recordUse(String what, double work) {
        var steps = used.computeIfAbsent(what, name -> new ArrayList<>(List.of(0.0)));
        steps.set(steps.size() - 1, steps.get(steps.size() - 1) + work);
    }

    /** In a fleet at rest no reservation stays allocated long after its window. */
    private void checkWindows() {
        for (var grant : state().grants()) {
            boolean lately = false;
            for (long at = now - 4 * S; at <= now + S; at += S) {
                lately |= grant.reservation().isOpen(at);
            }
            if (grant.allocated() > 0 && !lately) {
                violations.add(now + ": allocated outside its windows: " + grant);
            }
        }
    }

    /**
     * Compares what members permitted to act assume as allocated now with all states stored within the settle
     * time.
     */
    private void checkAllocations() {
        var most = new HashMap<String, Long>();
        long free = 0;
        var quotas = new double[5];
        for (var each : processes) {
            boolean acts = false;
            for (int i = 0; i < 5; i++) {
                double part = each.pausedUntil <= now ? each.quotas.quota("service-" + i, now) : 0;
                quotas[i] += part;
                acts |= part > 0;
            }
            if (acts) {
                free = Math.max(free, each.newestState.free());
                for (var grant : each.newestState.grants()) {
                    most.merge(grant.reservation().service().name(), grant.allocated(), Math::max);
                }
            }
        }
        lastQuotas = quotas;
        double sumOfParts = Arrays.stream(quotas).max().orElseThrow();
        if (sumOfParts > 1 + 1e-9) {
            violations.add(now + ": quotas add up to " + sumOfParts);
        }
        long promises = 0;
        var given = new HashMap<String, Long>();
        for (int i = history.size() - 1; i >= 0; i--) {
            var state = history.get(i).state();
            promises = Math.max(promises, state.settings() == null ? 0
                    : (long) (state.capacity() * (1 - state.settings().margin())));
            state.grants().forEach(each ->
                    given.merge(each.reservation().service().name(), each.allocated(), Math::max));
            if (history.get(i).from() < now - SETTLE) {
                break;
            }
        }
        long sum = most.values().stream().mapToLong(each -> each).sum();
        if (sum > 0 && sum + free > promises) {
            violations.add(now + ": assumed allocations " + most + ", free " + free + ", of " + promises);
        }
        for (int i = 0; i < 5; i++) {
            var service = "service-" + i;
            ceilings.computeIfAbsent(service, name -> new ArrayList<>()).add(given.getOrDefault(service, 0L));
            for (var what : List.of(service, "lent " + service)) {
                while (used.computeIfAbsent(what, name -> new ArrayList<>()).size()
                        < ceilings.get(service).size()) {
                    used.get(what).add(0, 0.0);
                }
            }
        }
    }

    /**
     * Over all intervals of steps: the largest use beyond rate and burst, relative to the tolerance of one
     * job per member.
     */
    double largestExcess() {
        double worst = 0;
        for (var service : ceilings.keySet()) {
            var ceiling = ceilings.get(service);
            for (int first = 0; first < ceiling.size(); first++) {
                double own = 0;
                double both = 0;
                double allowed = 0;
                double burst = ceiling.get(first) * (SETTINGS.burst() + 2.0 * STEP) / S;
                double lent = ceiling.get(first) * (double) SETTINGS.lendTime() / S;
                for (int last = first; last < ceiling.size(); last++) {
                    own += used.get(service).get(last);
                    both = own + used.get("lent " + service).get(last);
                    allowed += (double) ceiling.get(last) * STEP / S;
                    // One job per member, where its share of the burst is smaller.
                    double jobs = largestJob * (size + 5);
                    worst = Math.max(worst, (own - allowed - burst) / jobs);
                    worst = Math.max(worst, (both - allowed - burst - lent) / jobs);
                }
            }
        }
        return worst;
    }

    /** Differences between the stored state and the entitlements, in a fleet at rest. */
    String unsettled() {
        var ledger = new ReservationLedger(revisions.get(revisions.size() - 1));
        ledger.load(state(), now);
        var entitled = ledger.entitlements(now);
        long rest = ledger.reservableCapacity();
        for (int i = 0; i < entitled.size(); i++) {
            if (state().grants().get(i).allocated() != entitled.get(i)) {
                return "allocated " + state().grants().get(i) + ", entitled to " + entitled.get(i);
            }
            rest -= entitled.get(i);
        }
        boolean opens = state().grants().stream().flatMap(each -> each.reservation().windows().stream())
                .anyMatch(each -> each.from() > now && each.from() < now + 2 * SETTLE);
        return !state().released().isEmpty() ? "released " + state().released()
                : !opens && state().free() != rest ? "free " + state().free() + " of " + rest : "";
    }
}
