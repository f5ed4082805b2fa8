package ryemast.fleet.signals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import pipitladder.Brain;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.PeersTold;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.SetTimer;
import pipitladder.Dispatcher.Settings;
import pipitladder.Dispatcher.TimerDue;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerState;

/**
 * Randomised simulation of a fleet in virtual time: 3 to 6 members with policies of their own, of which up
 * to two are Byzantine, and workers that become faulty and restart. Datagrams are lost, delayed,
 * duplicated, cut off and replayed; members are killed and restarted; one address reflects to a member its
 * own digests, or another's. Clocks of members differ by up to an hour and drift by up to 1%; in half of
 * the simulations links are delayed by up to 3 s.
 *
 * <p>It is checked by {@link LoadGossipChecker} from what crossed the links and what was sent to workers,
 * never from what the members report about themselves. The same seed gives the same simulation.
 */
public final class LoadGossipSimulation {

    static final long MS = 1000;
    static final long S = 1_000_000;
    private static final long PERIOD = S / 10;
    private static final long BEGIN = 1000 * S;
    private static final long LENGTH = 20 * S;
    private static final int SLOTS = 4;

    private record Step(long at, long order, Runnable action) {
    }

    /**
     * A digest as sent: by which incarnation of the sender, as decoded for each addressee, and when in real
     * time.
     */
    record Sent(int sender, int incarnation, List<Digest> digests, long sentAt, boolean implausible) {
    }

    /** How links are delayed throughout a simulation. */
    private enum DelayPattern {
        /** Equally in both directions. */
        SYMMETRIC,
        /** Only from a lower to a higher number. */
        ASYMMETRIC,
        /** By a growing delay. */
        GROWING,
        NONE
    }

    /** A simulated worker. */
    private static final class SimulatedWorker {
        final String id;
        final double speed;
        final long[] freeAt = new long[SLOTS];
        long startedAt;
        boolean faulty;
        final List<Attempt> runs = new ArrayList<>();

        SimulatedWorker(String id, double speed) {
            this.id = id;
            this.speed = speed;
        }
    }

    /** An attempt sent by one incarnation of a member. */
    private static final class Attempt {
        final Member member;
        final int incarnation;
        final long request;
        final int attempt;
        final SimulatedWorker worker;
        final long sentAt;
        boolean ended;

        Attempt(Member member, Send send, SimulatedWorker worker, long sentAt) {
            this.member = member;
            incarnation = member.incarnation;
            request = send.request();
            attempt = member.attempts.merge(request, 1, Integer::sum) - 1;
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }

    /** A dispatcher, or a Byzantine member in its place, and its own history. */
    private final class Member {
        final int number;
        final boolean byzantine;
        final List<Sent> sentDigests = new ArrayList<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        int incarnation;
        boolean up;
        double clockRate;
        /** What its clock, in this incarnation, shows at time 0. */
        long clockOffset;
        Brain brain;
        LoadGossip gossip;
        LoadGossipChecker checker;
        boolean notified;
        boolean busy;

        Member(int number, boolean lies) {
            this.number = number;
            this.byzantine = lies;
        }

        void start() {
            incarnation++;
            up = true;
            attempts.clear();
            brain = new Brain(settings(number), random.nextLong());
            long process = random.nextLong();
            clockRate = 0.99 + 0.01 * clockAndDelayRandom.nextInt(3);
            clockOffset = clockAndDelayRandom.nextInt(3600) * S;
            gossip = new LoadGossip("m" + number, process, members.size() + 1);
            checker = new LoadGossipChecker(process, members.size(), liars);
            notified = false;
            handle(new WorkerList(ListKind.COMPLETE,
                    workers.values().stream().map(this::info).toList()));
            int started = incarnation;
            after(random.nextInt((int) PERIOD), () -> runPeriod(started));
            after(random.nextInt(100_000), () -> submit(started));
        }

        void submit(int started) {
            if (up && incarnation == started && !byzantine) {
                long length = hints ? 50 * MS + random.nextInt(200_000) : 20 * MS + random.nextInt(20_000);
                lengths.put(++requests, length);
                long hint = hints ? (long) (length * Math.exp(0.4 * random.nextGaussian())) : 0;
                handle(new Request(requests, 0, 0, 1, 0, hint, 5 * S));
                after((long) (-Math.log(1 - random.nextDouble()) * S / (busy ? 25 : 3)),
                        () -> submit(started));
            }
        }

        void runPeriod(int started) {
            if (!up || incarnation != started) {
                return;
            }
            long localNow = clock(now);
            var estimates = brain.ownEvidence(localNow);
            var reported = byzantine ? estimates.stream().map(LoadGossipSimulation.this::falsified).toList()
                    : estimates;
            if (!byzantine) {
                estimates.forEach(each -> checker.checkOwnReport(localNow, each, violations));
            }
            // A Byzantine member does not use its own false reports.
            var digests = gossip.digests(localNow, reported);
            for (int i = 0; i < digests.get(0).size(); i++) {
                int index = i;
                var perPeer = digests.stream().map(each -> Digest.decode(each.get(index)).orElseThrow())
                        .toList();
                boolean implausible = perPeer.get(0).reports().stream()
                        .anyMatch(tale -> tale.jobs() > 10_000);
                var sent = new Sent(number, incarnation, perPeer, now, implausible);
                sentDigests.add(sent);
                members.stream().filter(each -> each != this).forEach(each -> transmit(sent, each, number));
                members.forEach(each -> reflect(sent, each));
            }
            if (!byzantine) {
                var borrowed = gossip.peerEstimates(localNow);
                checker.checkEstimates(localNow, estimates, borrowed, violations);
                checker.checkTrustedPeers(localNow, gossip.trustedPeers(localNow), this::isEchoedBy,
                        violations);
                if (notified || !borrowed.isEmpty()) {
                    notified = !borrowed.isEmpty();
                    handle(new PeersTold(borrowed));
                }
                workers.values().forEach(each -> checker.checkHealth(localNow, each.id,
                        brain.health().worker(each.id), violations));
            }
            after(PERIOD, () -> runPeriod(started));
        }

        /** What its clock shows. */
        long clock(long at) {
            return clockOffset + (long) (at * clockRate);
        }

        /** A worker as in its discovery list, by its clock; 0: it has run since long ago. */
        WorkerInfo info(SimulatedWorker worker) {
            long since = Math.min(now, worker.startedAt);
            return new WorkerInfo(worker.id, WorkerState.READY, 0, 0, 0, 1, since == 0 ? 0 : clock(since));
        }

        /** Whether the connection has been stable for long enough that an echo must have arrived. */
        boolean isEchoedBy(int peer) {
            var other = members.get(peer);
            return other.up && other.checker.isStable(other.clock(now), number, incarnation,
                    2 * S + delay(peer, number));
        }

        void handle(Event event) {
            var actions = new ArrayList<Action>();
            brain.handle(clock(now), event, actions::add);
            actions.forEach(this::execute);
        }

        private void execute(Action action) {
            int started = incarnation;
            if (action instanceof SetTimer timer) {
                after((long) Math.ceil((timer.dueAt() - clock(now)) / clockRate), () -> {
                    if (up && incarnation == started) {
                        handle(new TimerDue(timer.name()));
                    }
                });
            } else if (action instanceof Send send) {
                startAttempt(new Attempt(this, send, workers.get(send.worker()), clock(now)));
            } else if (action instanceof Cancel cancel) {
                workers.values().stream().flatMap(each -> each.runs.stream()).filter(run ->
                        run.member == this && run.incarnation == incarnation
                                && run.request == cancel.request()
                        && run.attempt == cancel.attempt()).findFirst()
                        .ifPresent(run -> after(MS, () -> endAttempt(run, Outcome.CANCELLED)));
            }
        }
    }

    private final Random random;
    /** Separate, so that everything else is drawn as it is without clocks and delays. */
    private final Random clockAndDelayRandom;
    private final PriorityQueue<Step> steps = new PriorityQueue<>(
            Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
    private final List<Member> members = new ArrayList<>();
    private final Map<String, SimulatedWorker> workers = new TreeMap<>();
    private final Map<String, String> violations = new TreeMap<>();
    private final Map<Long, Long> lengths = new HashMap<>();
    /** Whether jobs have cost estimates; otherwise speeds are far from 1, and a new member knows none. */
    private final boolean hints;
    /** Until when the link from one to the other is cut. */
    private final long[][] cutUntil;
    private final double lossProbability;
    private final double delayProbability;
    private final boolean replays;
    private final DelayPattern delayPattern;
    private final long baseDelay;
    /** Whose digests each member receives again from an extra address; -1: nobody's. */
    private final int[] reflected;
    private final int liars;
    private final int lieKind;
    private long now = BEGIN;
    private long order;
    private long requests;

    private LoadGossipSimulation(long seed) {
        random = new Random(seed);
        clockAndDelayRandom = new Random(-seed);
        int count = 3 + random.nextInt(4);
        liars = Math.min(random.nextInt(3), (count - 1) / 2);
        lieKind = random.nextInt(4);
        hints = random.nextInt(4) > 0;
        lossProbability = random.nextInt(2) * random.nextDouble() * 0.3;
        delayProbability = random.nextInt(2) * random.nextDouble() * 0.3;
        replays = random.nextBoolean();
        delayPattern = DelayPattern.values()[Math.min(3, clockAndDelayRandom.nextInt(6))];
        baseDelay = 300 * MS + clockAndDelayRandom.nextInt(2_700_000);
        cutUntil = new long[count][count];
        reflected = new int[count];
        for (int i = 0; i < count; i++) {
            reflected[i] = random.nextInt(3) > 0 ? -1 : random.nextBoolean() ? i : random.nextInt(count);
        }
        for (int i = 0; i < 4 + random.nextInt(3); i++) {
            workers.put("w" + i, new SimulatedWorker("w" + i, 0.5 + 2 * random.nextDouble()));
        }
        for (int i = 0; i < count; i++) {
            members.add(new Member(i, i >= count - liars));
        }
    }

    /** The violated invariants, each with its first violation. */
    public static Map<String, String> violations(long seed) {
        var simulation = new LoadGossipSimulation(seed);
        simulation.simulate();
        return simulation.violations;
    }

    private void simulate() {
        long end = now + LENGTH;
        members.forEach(Member::start);
        after(0, this::injectFault);
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            var step = steps.poll();
            now = step.at();
            step.action().run();
        }
    }

    private void after(long wait, Runnable does) {
        steps.add(new Step(now + Math.max(0, wait), order++, does));
    }

    /** Ten times a second a fault may affect a member, a worker or a link. */
    private void injectFault() {
        after(S / 10, this::injectFault);
        var member = members.get(random.nextInt(members.size()));
        var worker = List.copyOf(workers.values()).get(random.nextInt(workers.size()));
        switch (random.nextInt(40)) {
            case 0, 1, 2 -> member.busy = !member.busy;
            case 3 -> worker.faulty = !worker.faulty;
            case 4 -> restart(worker);
            case 5, 6 -> cutUntil[member.number][random.nextInt(members.size())] = now + 300 * MS
                    + random.nextInt(3_000_000);
            case 7 -> kill(member);
            default -> {
                if (replays && member.sentDigests.size() > 10) {
                    replay(member.sentDigests, random.nextInt(members.size()));
                }
            }
        }
    }

    /**
     * Replays a digest sent up to 15 s ago, possibly by a former incarnation, even over a link that is cut.
     */
    private void replay(List<Sent> sent, int to) {
        int back = random.nextInt(random.nextInt(4) == 0 ? 150 : 60);
        var old = sent.get(Math.max(0, sent.size() - 1 - back));
        if (old.sender() != to && random.nextInt(4) == 0) {
            after(MS, () -> deliver(old, members.get(to), old.sender()));
        }
    }

    private void kill(Member member) {
        if (member.up && member.number > 0) {
            member.up = false;
            after(600 * MS + random.nextInt(2_000_000), member::start);
        }
    }

    /** Its jobs end at once; members learn of the new process one after the other, as from discovery. */
    private void restart(SimulatedWorker worker) {
        worker.startedAt = now + 300 * MS;
        worker.faulty = false;
        Arrays.fill(worker.freeAt, 0);
        List.copyOf(worker.runs).forEach(run -> endAttempt(run, Outcome.RESET));
        for (var member : members) {
            after(300 * MS + random.nextInt(1_500_000), () -> {
                if (member.up) {
                    member.checker.restarted(worker.id);
                    member.handle(new WorkerList(ListKind.CHANGES, List.of(member.info(worker))));
                }
            });
        }
    }

    private void transmit(Sent sent, Member to, int slot) {
        if (now < cutUntil[sent.sender()][to.number] || random.nextDouble() < lossProbability) {
            return;
        }
        long latency = delay(sent.sender(), to.number) + MS / 2 + random.nextInt(1000)
                + (random.nextDouble() < delayProbability ? random.nextInt(900_000) : 0);
        after(latency, () -> deliver(sent, to, slot));
        if (random.nextInt(40) == 0) {
            after(latency + random.nextInt(300_000), () -> deliver(sent, to, slot));
        }
    }

    /** The systematic delay of datagrams from one to the other now. */
    private long delay(int from, int to) {
        return switch (delayPattern) {
            case SYMMETRIC -> baseDelay;
            case ASYMMETRIC -> from < to ? baseDelay : 0;
            case GROWING -> baseDelay * (now - BEGIN) / LENGTH;
            default -> 0;
        };
    }

    private void reflect(Sent sent, Member to) {
        int from = sent.sender();
        // The address heard first owns the name; that must be the right one, except for our own.
        if (reflected[to.number] == from && to.up
                && (to.number == from || to.checker.hasReceivedFrom(from))) {
            after(MS, () -> deliver(sent, to, members.size()));
        }
    }

    private void deliver(Sent sent, Member to, int slot) {
        if (to.up) {
            // Our own digests return from the address that they were sent to.
            var digest = sent.digests().get(sent.sender() == to.number ? slot : to.number);
            if (slot == sent.sender()) {
                to.checker.receive(to.clock(now), to.clock(sent.sentAt()), sent, digest);
            }
            to.gossip.receive(to.clock(now), slot, digest.encode());
        }
    }

    private void startAttempt(Attempt attempt) {
        var worker = attempt.worker;
        worker.runs.add(attempt);
        attempt.member.checker.sent(worker.id, attempt.sentAt);
        int slot = 0;
        for (int i = 1; i < SLOTS; i++) {
            slot = worker.freeAt[i] < worker.freeAt[slot] ? i : slot;
        }
        long begin = Math.max(now + MS, worker.freeAt[slot]);
        boolean fails = worker.faulty && random.nextInt(10) < 8;
        long duration = fails ? 5 * MS : (long) (lengths.get(attempt.request) / worker.speed);
        worker.freeAt[slot] = begin + duration;
        after(begin - now, () -> {
            if (!attempt.ended && attempt.member.up && attempt.member.incarnation == attempt.incarnation) {
                attempt.member.handle(new AttemptStarted(attempt.request, attempt.attempt, worker.id));
            }
        });
        after(begin + duration - now, () -> endAttempt(attempt, fails ? Outcome.ERROR : Outcome.SUCCESS));
    }

    private void endAttempt(Attempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.worker.runs.remove(attempt);
        if (attempt.member.up && attempt.member.incarnation == attempt.incarnation) {
            attempt.member.checker.ended(attempt.worker.id, attempt.sentAt, outcome == Outcome.SUCCESS,
                    attempt.member.clock(now));
            attempt.member.handle(new AttemptEnded(attempt.request, attempt.attempt, attempt.worker.id,
                    outcome,
                    outcome == Outcome.SUCCESS, null));
        }
    }

    /** False values as extreme as plausible ones can be, and occasionally implausible ones. */
    private LocalEstimate falsified(LocalEstimate truth) {
        int code = WorkerReport.nameHash(truth.worker());
        double jobs = random.nextInt(2000) == 0 ? 12_000 : 40;
        var report = switch (lieKind) {
            case 0 -> new WorkerReport(code, jobs, 40, truth.speed(), 50, 1, 20, 0);
            case 1 -> new WorkerReport(code, 0, 0, truth.speed() * 8, 50, 0, 20, 0);
            case 2 -> new WorkerReport(code, 0, 0, truth.speed() / 8, 50, 1, 20, 0);
            default -> new WorkerReport(code, jobs, 1, truth.speed(), 50, random.nextInt(2), 20, 0);
        };
        return new LocalEstimate(truth.worker(), truth.startedAt(), truth.slots(), truth.speed(), report);
    }

    private Settings settings(int self) {
        var jobs = new JobClass(Effect.REPEATABLE, KeyScope.ALL, -1, 400 * MS, 2, 5 * S, 1, 0, 5 * S);
        return new Settings(self, members.size(), 0, MS, true, false, true, S, List.of(jobs), List.of(),
                List.of(), new Limits(4, true, true, false, false, false, 0, 250 * MS),
                new Rules(10 * S, 2 * S, 0.3, 4, 2 * S), new Prices(0, 0, 0, 0));
    }
}
