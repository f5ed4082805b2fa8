package pipitladder;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptProgress;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Log;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.Refuse;
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
 * A small simulated fleet in virtual time around a real {@link Brain}: workers with slots, a first-come queue
 * and injected faults. It records independently what each job did, and checks are based on that record.
 */
final class SimulatedFleet {

    static final long MS = 1000;
    static final long S = 1_000_000;
    private static final long NETWORK_DELAY = 200;
    private static final long PROGRESS = S;

    /** How a worker treats the jobs that reach it; fractions are of the jobs sent. */
    static final class Machine {
        final String id;
        final int zone;
        int slots = 4;
        int queueLimit = 24;
        double speed = 1;
        double slowness = 1;
        double resets;
        double lostAnswers;
        double errors;
        double rejects;
        double hangs;
        double poisonedClass = -1;
        /**
         * Dead: connections are refused; vanished: they time out; silent: jobs are accepted and never
         * started.
         */
        boolean dead;
        boolean vanished;
        boolean silent;
        boolean neverEnds;
        int sends;
        int running;
        final List<Long> sentAt = new ArrayList<>();
        private final ArrayDeque<Run> queue = new ArrayDeque<>();
        private final List<Run> hung = new ArrayList<>();

        Machine(int number, int zone) {
            id = "w" + number;
            this.zone = zone;
        }
    }

    private record ScheduledTask(long at, long order, Runnable task) { }

    private final class Run {
        final long request;
        final int attempt;
        final Machine machine;
        boolean ended;
        boolean started;

        Run(long request, int attempt, Machine machine) {
            this.request = request;
            this.attempt = attempt;
            this.machine = machine;
        }
    }

    private static final class Submitted {
        final int jobClass;
        final long at;
        final long work;
        final long deadline;
        final List<Run> runs = new ArrayList<>();
        int runCount;
        boolean answered;

        Submitted(int jobClass, long at, long work, long deadline) {
            this.jobClass = jobClass;
            this.at = at;
            this.work = work;
            this.deadline = deadline;
        }
    }

    final List<Machine> machines = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final List<Long> refusedAt = new ArrayList<>();
    int submitted;
    int served;
    int refused;
    int failed;
    int firstSends;
    int sends;
    int ranTwice;
    /** The error of hints, as the standard deviation of their logarithm. */
    double hintSpread;
    int inTime;
    private final Map<Integer, Integer> servedOfClass = new LinkedHashMap<>();
    private final Map<Integer, Integer> submittedOfClass = new LinkedHashMap<>();
    private final List<Long> latencies = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>((one, other) -> one.at() == other.at()
            ? Long.compare(one.order(), other.order()) : Long.compare(one.at(), other.at()));
    private final Map<Long, Submitted> jobs = new HashMap<>();
    private final Settings settings;
    private final Random random;
    final Brain brain;
    /** The receiver of events: the decision module, or a wrapper around it. */
    Dispatcher receiver;
    long now = 10 * S;
    private long stalledUntil;
    private final List<Event> stalledEvents = new ArrayList<>();
    private long order;
    private long lastRequest;

    static JobClass jobClass(Effect effect) {
        return new JobClass(effect, KeyScope.ALL, -1, 400 * MS, 2, 10 * S, 1, 0, 5 * S);
    }

    /** Plain settings with these classes. */
    static Settings settings(boolean startsReported, List<JobClass> classes) {
        return new Settings(0, 1, 0, MS, true, false, startsReported, startsReported ? PROGRESS : 0, classes,
                List.of(), List.of(), new Limits(5, true, true, false, false, false, 0, 250 * MS),
                new Rules(10 * S, 9 * S, 0.3, 4, 2 * S), new Prices(0, 0, 0, 0));
    }

    SimulatedFleet(int workers, boolean startsReported, long seed, Effect... effects) {
        this(workers, settings(startsReported, Arrays.stream(effects).map(SimulatedFleet::jobClass).toList()),
                seed);
    }

    SimulatedFleet(int workers, Settings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
        brain = new Brain(settings, seed);
        receiver = brain;
        for (int i = 0; i < workers; i++) {
            machines.add(new Machine(i, 0));
        }
    }

    void list() {
        deliver(new WorkerList(ListKind.COMPLETE, machines.stream().map(this::info).toList()));
    }

    private WorkerInfo info(Machine machine) {
        return new WorkerInfo(machine.id, WorkerState.READY, 0, machine.zone, machine.zone, 1, 0);
    }

    void schedule(long time, Runnable what) {
        tasks.add(new ScheduledTask(time, order++, what));
    }

    /** Submits jobs at random times (Poisson) for this long, with lognormal work of this spread. */
    void load(double perSecond, long time, int jobClass, long work, double spread) {
        double next = now;
        while (true) {
            next += -Math.log(1 - random.nextDouble()) / perSecond * S;
            if (next >= now + time) {
                return;
            }
            schedule((long) next,
                    () -> submit(jobClass, (long) (work * Math.exp(spread * random.nextGaussian()))));
        }
    }

    void load(double perSecond, long time, int jobClass, long work) {
        load(perSecond, time, jobClass, work, 0);
    }

    private void submit(int jobClass, long work) {
        long id = ++lastRequest;
        long left = settings.classes().get(jobClass).deadline();
        jobs.put(id, new Submitted(jobClass, now, work, now + left));
        submitted++;
        submittedOfClass.merge(jobClass, 1, Integer::sum);
        long hint = Math.max(MS, (long) (work * Math.exp(hintSpread * random.nextGaussian())));
        deliver(new Request(id, jobClass, 0, 1, 0, hint, left));
    }

    /** The dispatcher handles no events for this long; events that arrive meanwhile are queued. */
    void stall(long time) {
        stalledUntil = now + time;
        schedule(stalledUntil, () -> {
            var waited = List.copyOf(stalledEvents);
            stalledEvents.clear();
            waited.forEach(this::deliver);
        });
    }

    void deliver(Event event) {
        if (now < stalledUntil) {
            stalledEvents.add(event);
            return;
        }
        var actions = new ArrayList<Action>();
        receiver.handle(now, event, actions::add);
        actions.forEach(this::execute);
    }

    private void execute(Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.dueAt(), () -> deliver(new TimerDue(timer.name())));
        } else if (action instanceof Send send) {
            send(send);
        } else if (action instanceof Refuse refuse) {
            refused += answer(refuse.request());
            refusedAt.add(now);
        } else if (action instanceof Fail fail) {
            failed += answer(fail.request());
        } else if (action instanceof Cancel cancel) {
            var run = jobs.get(cancel.request()).runs.get(cancel.attempt());
            schedule(now, () -> end(run, Outcome.CANCELLED));
        } else if (action instanceof Log line) {
            log.add(now / MS + " " + line.text());
        }
    }

    private int answer(long request) {
        var job = jobs.get(request);
        int first = job.answered ? 0 : 1;
        job.answered = true;
        return first;
    }

    private void send(Send send) {
        var machine = machines.get(Integer.parseInt(send.worker().substring(1)));
        var job = jobs.get(send.request());
        var run = new Run(send.request(), job.runs.size(), machine);
        firstSends += job.runs.isEmpty() ? 1 : 0;
        sends++;
        machine.sends++;
        machine.sentAt.add(now);
        job.runs.add(run);
        schedule(job.deadline, () -> end(run, Outcome.TIMED_OUT));
        schedule(now + NETWORK_DELAY, () -> arrive(run));
    }

    private void arrive(Run run) {
        var machine = run.machine;
        var job = jobs.get(run.request);
        if (run.ended) {
            return;
        }
        if (machine.vanished) {
            schedule(now + 250 * MS, () -> end(run, Outcome.CONNECT_FAILED));
        } else if (machine.dead) {
            schedule(now + NETWORK_DELAY, () -> end(run, Outcome.CONNECT_FAILED));
        } else if (random.nextDouble() < machine.resets) {
            schedule(now + NETWORK_DELAY, () -> end(run, Outcome.RESET));
        } else if (random.nextDouble() < machine.rejects || machine.queue.size() >= machine.queueLimit) {
            schedule(now + NETWORK_DELAY, () -> end(run, Outcome.REJECTED));
        } else if (random.nextDouble() < machine.errors || machine.poisonedClass == job.jobClass) {
            schedule(now + NETWORK_DELAY, () -> end(run, Outcome.ERROR));
        } else {
            machine.queue.add(run);
            serve(machine);
        }
    }

    /** Continues hung jobs once a worker has recovered, and starts queued jobs on free slots. */
    void serve(Machine machine) {
        if (!machine.neverEnds && machine.hangs == 0 && !machine.hung.isEmpty()) {
            var held = List.copyOf(machine.hung);
            machine.hung.clear();
            held.forEach(this::finish);
        }
        while (!machine.silent && machine.running < machine.slots && !machine.queue.isEmpty()) {
            var run = machine.queue.poll();
            if (run.ended) {
                continue;
            }
            machine.running++;
            run.started = true;
            var job = jobs.get(run.request);
            job.runCount++;
            boolean once = settings.classes().get(job.jobClass).effect() == Effect.UNSAFE;
            ranTwice += once && job.runCount == 2 ? 1 : 0;
            if (settings.startsReported()) {
                schedule(now + NETWORK_DELAY,
                        () -> note(run, new AttemptStarted(run.request, run.attempt, machine.id)));
            }
            if (machine.neverEnds || random.nextDouble() < machine.hangs) {
                machine.hung.add(run);
                continue;
            }
            double noise = Math.exp(0.2 * random.nextGaussian());
            long takes = (long) (job.work * noise * machine.slowness / machine.speed);
            for (long each = PROGRESS; settings.startsReported() && each < takes; each += PROGRESS) {
                schedule(now + NETWORK_DELAY + each,
                        () -> note(run, new AttemptProgress(run.request, run.attempt, machine.id,
                        0.5)));
            }
            schedule(now + takes, () -> finish(run));
        }
    }

    private void note(Run run, Event event) {
        if (!run.ended) {
            deliver(event);
        }
    }

    private void finish(Run run) {
        var machine = run.machine;
        if (run.started) {
            machine.running--;
            run.started = false;
            boolean lost = random.nextDouble() < machine.lostAnswers;
            schedule(now + NETWORK_DELAY, () -> end(run, lost ? Outcome.RESET : Outcome.SUCCESS));
            serve(machine);
        }
    }

    private void end(Run run, Outcome outcome) {
        if (run.ended) {
            return;
        }
        run.ended = true;
        var machine = run.machine;
        if (run.started) {
            machine.hung.remove(run);
            machine.running--;
            run.started = false;
            serve(machine);
        }
        var job = jobs.get(run.request);
        if (outcome == Outcome.SUCCESS && !job.answered) {
            job.answered = true;
            served++;
            servedOfClass.merge(job.jobClass, 1, Integer::sum);
            latencies.add(now - job.at);
            var kind = settings.classes().get(job.jobClass);
            inTime += now - job.at <= kind.aim() + kind.aimStretch() * job.work ? 1 : 0;
        }
        deliver(new AttemptEnded(run.request, run.attempt, machine.id, outcome, job.answered, null));
    }

    /** Advances the time. */
    void advance(long time) {
        long until = now + time;
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            var due = tasks.poll();
            now = Math.max(now, due.at());
            due.task().run();
        }
        now = until;
    }

    double sendsPerServed() {
        return (double) sends / Math.max(1, served);
    }

    double servedShare(int jobClass) {
        return (double) servedOfClass.getOrDefault(jobClass, 0)
                / Math.max(1, submittedOfClass.getOrDefault(jobClass, 0));
    }

    long percentile(double part) {
        var sorted = latencies.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * part));
    }

    int sentTo(Machine machine, long from, long until) {
        return (int) machine.sentAt.stream().filter(at -> at >= from && at < until).count();
    }

    @Override
    public String toString() {
        return String.format("asked %d served %d refused %d failed %d sends %d (%.3f) p50 %.1f p99 %.1f ms"
                + " twice %d", submitted, served, refused, failed, sends, sendsPerServed(),
                percentile(0.5) / 1e3, percentile(0.99) / 1e3, ranTwice);
    }
}
