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
 * A fleet by chance in virtual time: 3 to 6 members with their own policies, of which up to two only lie, and
 * workers that turn sick and start anew. Datagrams are lost, late, doubled, cut off and played again old;
 * members are killed and start anew; one address gives a member its own digests back, or another's. Clocks of
 * members differ by up to an hour and drift by up to 1%; in half of the plays links are late by up to 3 s.
 *
 * <p>It is judged from what came over the links and what was sent to workers, never from what the members say
 * of themselves: {@link SignalsJudge}. The same seed gives the same play.
 */
public final class SignalsTrial {

    static final long MS = 1000;
    static final long S = 1_000_000;
    private static final long PERIOD = S / 10;
    private static final long BEGIN = 1000 * S;
    private static final long LENGTH = 20 * S;
    private static final int SLOTS = 4;

    private record Step(long at, long order, Runnable does) {
    }

    /** What one member sent: of which life, to each as anybody can read it, and when in truth. */
    record Sent(int sender, int life, List<Digest> to, long at, boolean blatant) {
    }

    /** How links are late all the time. */
    private enum Late {
        /** By the same, both ways. */
        BOTH,
        /** From a lower to a higher number alone. */
        UP,
        /** More and more. */
        GROWING,
        NOT
    }

    /** A worker as it is. */
    private static final class Machine {
        final String id;
        final double speed;
        final long[] freeAt = new long[SLOTS];
        long startedAt;
        boolean sick;
        final List<Run> runs = new ArrayList<>();

        Machine(String id, double speed) {
            this.id = id;
            this.speed = speed;
        }
    }

    /** An attempt of one life of a member. */
    private static final class Run {
        final Member member;
        final int life;
        final long request;
        final int attempt;
        final Machine machine;
        final long sentAt;
        boolean ended;

        Run(Member member, Send send, Machine machine, long sentAt) {
            this.member = member;
            life = member.life;
            request = send.request();
            attempt = member.attempts.merge(request, 1, Integer::sum) - 1;
            this.machine = machine;
            this.sentAt = sentAt;
        }
    }

    /** A dispatcher, or a liar in its place, and what it did itself. */
    private final class Member {
        final int number;
        final boolean lies;
        final List<Sent> told = new ArrayList<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        int life;
        boolean up;
        double rate;
        /** What its clock, of this life, shows at time 0. */
        long zero;
        Brain brain;
        Signals signals;
        SignalsJudge judge;
        boolean hasTold;
        boolean busy;

        Member(int number, boolean lies) {
            this.number = number;
            this.lies = lies;
        }

        void begin() {
            life++;
            up = true;
            attempts.clear();
            brain = new Brain(settings(number), random.nextLong());
            long process = random.nextLong();
            rate = 0.99 + 0.01 * more.nextInt(3);
            zero = more.nextInt(3600) * S;
            signals = new Signals("m" + number, process, members.size() + 1);
            judge = new SignalsJudge(process, members.size(), liars);
            hasTold = false;
            handle(new WorkerList(ListKind.COMPLETE,
                    machines.values().stream().map(this::info).toList()));
            int of = life;
            after(random.nextInt((int) PERIOD), () -> turn(of));
            after(random.nextInt(100_000), () -> ask(of));
        }

        void ask(int of) {
            if (up && life == of && !lies) {
                long length = hints ? 50 * MS + random.nextInt(200_000) : 20 * MS + random.nextInt(20_000);
                lengths.put(++requests, length);
                long hint = hints ? (long) (length * Math.exp(0.4 * random.nextGaussian())) : 0;
                handle(new Request(requests, 0, 0, 1, 0, hint, 5 * S));
                after((long) (-Math.log(1 - random.nextDouble()) * S / (busy ? 25 : 3)), () -> ask(of));
            }
        }

        void turn(int of) {
            if (!up || life != of) {
                return;
            }
            long here = clock(now);
            var beliefs = brain.ownEvidence(here);
            var said = lies ? beliefs.stream().map(SignalsTrial.this::lied).toList() : beliefs;
            if (!lies) {
                beliefs.forEach(each -> judge.told(here, each, breaches));
            }
            // What a liar says is of no use to itself.
            var digests = signals.tell(here, said);
            for (int i = 0; i < digests.get(0).size(); i++) {
                int nth = i;
                var to = digests.stream().map(each -> Digest.of(each.get(nth)).orElseThrow()).toList();
                boolean blatant = to.get(0).tales().stream().anyMatch(tale -> tale.jobs() > 10_000);
                var sent = new Sent(number, life, to, now, blatant);
                told.add(sent);
                members.stream().filter(each -> each != this).forEach(each -> carry(sent, each, number));
                members.forEach(each -> reflect(sent, each));
            }
            if (!lies) {
                var borrowed = signals.borrowed(here);
                judge.believed(here, beliefs, borrowed, breaches);
                judge.heard(here, signals.heard(here), this::isHeardBy, breaches);
                if (hasTold || !borrowed.isEmpty()) {
                    hasTold = !borrowed.isEmpty();
                    handle(new PeersTold(borrowed));
                }
                machines.values().forEach(each -> judge.stands(here, each.id,
                        brain.health().worker(each.id), breaches));
            }
            after(PERIOD, () -> turn(of));
        }

        /** What its clock shows. */
        long clock(long at) {
            return zero + (long) (at * rate);
        }

        /** A worker as its list tells of it, by its clock; 0: it runs since long ago. */
        WorkerInfo info(Machine machine) {
            long since = Math.min(now, machine.startedAt);
            return new WorkerInfo(machine.id, WorkerState.READY, 0, 0, 0, 1, since == 0 ? 0 : clock(since));
        }

        /** For so long that it must have answered, and the answer be here. */
        boolean isHeardBy(int peer) {
            var other = members.get(peer);
            return other.up && other.judge.isWell(other.clock(now), number, life,
                    2 * S + lateness(peer, number));
        }

        void handle(Event event) {
            var actions = new ArrayList<Action>();
            brain.handle(clock(now), event, actions::add);
            actions.forEach(this::carryOut);
        }

        private void carryOut(Action action) {
            int of = life;
            if (action instanceof SetTimer timer) {
                after((long) Math.ceil((timer.dueAt() - clock(now)) / rate), () -> {
                    if (up && life == of) {
                        handle(new TimerDue(timer.name()));
                    }
                });
            } else if (action instanceof Send send) {
                run(new Run(this, send, machines.get(send.worker()), clock(now)));
            } else if (action instanceof Cancel cancel) {
                machines.values().stream().flatMap(each -> each.runs.stream()).filter(run ->
                        run.member == this && run.life == life && run.request == cancel.request()
                        && run.attempt == cancel.attempt()).findFirst()
                        .ifPresent(run -> after(MS, () -> end(run, Outcome.CANCELLED)));
            }
        }
    }

    private final Random random;
    /** For clocks and links that are late, so that all else is drawn as it is without them. */
    private final Random more;
    private final PriorityQueue<Step> steps = new PriorityQueue<>(
            Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
    private final List<Member> members = new ArrayList<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> breaches = new TreeMap<>();
    private final Map<Long, Long> lengths = new HashMap<>();
    /** Whether jobs tell what they cost: else speeds are far from 1, and a newcomer knows of none. */
    private final boolean hints;
    /** Until when nothing passes from one to the other. */
    private final long[][] cutUntil;
    private final double lost;
    private final double late;
    private final boolean again;
    private final Late lateAs;
    private final long lateBy;
    /** Whose digests come to each member a second time, over an address of its own; -1: nobody's. */
    private final int[] reflected;
    private final int liars;
    private final int lie;
    private long now = BEGIN;
    private long order;
    private long requests;

    private SignalsTrial(long seed) {
        random = new Random(seed);
        more = new Random(-seed);
        int count = 3 + random.nextInt(4);
        liars = Math.min(random.nextInt(3), (count - 1) / 2);
        lie = random.nextInt(4);
        hints = random.nextInt(4) > 0;
        lost = random.nextInt(2) * random.nextDouble() * 0.3;
        late = random.nextInt(2) * random.nextDouble() * 0.3;
        again = random.nextBoolean();
        lateAs = Late.values()[Math.min(3, more.nextInt(6))];
        lateBy = 300 * MS + more.nextInt(2_700_000);
        cutUntil = new long[count][count];
        reflected = new int[count];
        for (int i = 0; i < count; i++) {
            reflected[i] = random.nextInt(3) > 0 ? -1 : random.nextBoolean() ? i : random.nextInt(count);
        }
        for (int i = 0; i < 4 + random.nextInt(3); i++) {
            machines.put("w" + i, new Machine("w" + i, 0.5 + 2 * random.nextDouble()));
        }
        for (int i = 0; i < count; i++) {
            members.add(new Member(i, i >= count - liars));
        }
    }

    /** Rules that were broken, each with where that was first. */
    public static Map<String, String> breaches(long seed) {
        var trial = new SignalsTrial(seed);
        trial.play();
        return trial.breaches;
    }

    private void play() {
        long end = now + LENGTH;
        members.forEach(Member::begin);
        after(0, this::strike);
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            var step = steps.poll();
            now = step.at();
            step.does().run();
        }
    }

    private void after(long wait, Runnable does) {
        steps.add(new Step(now + Math.max(0, wait), order++, does));
    }

    /** Ten times a second something may befall a member, a worker or a link. */
    private void strike() {
        after(S / 10, this::strike);
        var member = members.get(random.nextInt(members.size()));
        var machine = List.copyOf(machines.values()).get(random.nextInt(machines.size()));
        switch (random.nextInt(40)) {
            case 0, 1, 2 -> member.busy = !member.busy;
            case 3 -> machine.sick = !machine.sick;
            case 4 -> restart(machine);
            case 5, 6 -> cutUntil[member.number][random.nextInt(members.size())] =
                    now + 300 * MS + random.nextInt(3_000_000);
            case 7 -> kill(member);
            default -> {
                if (again && member.told.size() > 10) {
                    playAgain(member.told, random.nextInt(members.size()));
                }
            }
        }
    }

    /** One that was sent up to 15 s ago, of a former life as well, over a link that may be cut otherwise. */
    private void playAgain(List<Sent> told, int to) {
        int back = random.nextInt(random.nextInt(4) == 0 ? 150 : 60);
        var old = told.get(Math.max(0, told.size() - 1 - back));
        if (old.sender() != to && random.nextInt(4) == 0) {
            after(MS, () -> arrive(old, members.get(to), old.sender()));
        }
    }

    private void kill(Member member) {
        if (member.up && member.number > 0) {
            member.up = false;
            after(600 * MS + random.nextInt(2_000_000), member::begin);
        }
    }

    /** Jobs there end at once; members hear of the new process one after the other, as from a list. */
    private void restart(Machine machine) {
        machine.startedAt = now + 300 * MS;
        machine.sick = false;
        Arrays.fill(machine.freeAt, 0);
        List.copyOf(machine.runs).forEach(run -> end(run, Outcome.RESET));
        for (var member : members) {
            after(300 * MS + random.nextInt(1_500_000), () -> {
                if (member.up) {
                    member.judge.startedAnew(machine.id);
                    member.handle(new WorkerList(ListKind.CHANGES, List.of(member.info(machine))));
                }
            });
        }
    }

    private void carry(Sent sent, Member to, int slot) {
        if (now < cutUntil[sent.sender()][to.number] || random.nextDouble() < lost) {
            return;
        }
        long way = lateness(sent.sender(), to.number) + MS / 2 + random.nextInt(1000)
                + (random.nextDouble() < late ? random.nextInt(900_000) : 0);
        after(way, () -> arrive(sent, to, slot));
        if (random.nextInt(40) == 0) {
            after(way + random.nextInt(300_000), () -> arrive(sent, to, slot));
        }
    }

    /** By how much datagrams from one to the other are late now, beside chance. */
    private long lateness(int from, int to) {
        return switch (lateAs) {
            case BOTH -> lateBy;
            case UP -> from < to ? lateBy : 0;
            case GROWING -> lateBy * (now - BEGIN) / LENGTH;
            default -> 0;
        };
    }

    private void reflect(Sent sent, Member to) {
        int from = sent.sender();
        // Whoever is heard first has the name: the right address, but for our own.
        if (reflected[to.number] == from && to.up && (to.number == from || to.judge.knows(from))) {
            after(MS, () -> arrive(sent, to, members.size()));
        }
    }

    private void arrive(Sent sent, Member to, int slot) {
        if (to.up) {
            // Our own come back by the address that they went to.
            var digest = sent.to().get(sent.sender() == to.number ? slot : to.number);
            if (slot == sent.sender()) {
                to.judge.came(to.clock(now), to.clock(sent.at()), sent, digest);
            }
            to.signals.hear(to.clock(now), slot, digest.bytes());
        }
    }

    private void run(Run run) {
        var machine = run.machine;
        machine.runs.add(run);
        run.member.judge.sent(machine.id, run.sentAt);
        int slot = 0;
        for (int i = 1; i < SLOTS; i++) {
            slot = machine.freeAt[i] < machine.freeAt[slot] ? i : slot;
        }
        long begin = Math.max(now + MS, machine.freeAt[slot]);
        boolean fails = machine.sick && random.nextInt(10) < 8;
        long took = fails ? 5 * MS : (long) (lengths.get(run.request) / machine.speed);
        machine.freeAt[slot] = begin + took;
        after(begin - now, () -> {
            if (!run.ended && run.member.up && run.member.life == run.life) {
                run.member.handle(new AttemptStarted(run.request, run.attempt, machine.id));
            }
        });
        after(begin + took - now, () -> end(run, fails ? Outcome.ERROR : Outcome.SUCCESS));
    }

    private void end(Run run, Outcome outcome) {
        if (run.ended) {
            return;
        }
        run.ended = true;
        run.machine.runs.remove(run);
        if (run.member.up && run.member.life == run.life) {
            run.member.judge.ended(run.machine.id, run.sentAt, outcome == Outcome.SUCCESS,
                    run.member.clock(now));
            run.member.handle(new AttemptEnded(run.request, run.attempt, run.machine.id, outcome,
                    outcome == Outcome.SUCCESS, null));
        }
    }

    /** As bad as it can be told without being impossible, and now and then worse. */
    private Own lied(Own truth) {
        int code = Tale.code(truth.worker());
        double jobs = random.nextInt(2000) == 0 ? 12_000 : 40;
        var tale = switch (lie) {
            case 0 -> new Tale(code, jobs, 40, truth.speed(), 50, 1, 20, 0);
            case 1 -> new Tale(code, 0, 0, truth.speed() * 8, 50, 0, 20, 0);
            case 2 -> new Tale(code, 0, 0, truth.speed() / 8, 50, 1, 20, 0);
            default -> new Tale(code, jobs, 1, truth.speed(), 50, random.nextInt(2), 20, 0);
        };
        return new Own(truth.worker(), truth.startedAt(), truth.slots(), truth.speed(), tale);
    }

    private Settings settings(int self) {
        var jobs = new JobClass(Effect.REPEATABLE, KeyScope.ALL, -1, 400 * MS, 2, 5 * S, 1, 0, 5 * S);
        return new Settings(self, members.size(), 0, MS, true, false, true, S, List.of(jobs), List.of(),
                List.of(), new Limits(4, true, true, false, false, false, 0, 250 * MS),
                new Rules(10 * S, 2 * S, 0.3, 4, 2 * S), new Prices(0, 0, 0, 0));
    }
}
