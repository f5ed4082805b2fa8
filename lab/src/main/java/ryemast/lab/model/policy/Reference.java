package ryemast.lab.model.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pipitladder.Dispatcher;

/**
 * A dispatcher that sends each job at once to the worker that its {@link Choice} picks, and has all duties of
 * the decision module: one answer to each request, no effect twice, nothing to workers that drain, no cold
 * worker pushed over, and another try elsewhere where that is harmless. It never refuses a job that a worker
 * may take, never waits and never sends second copies: a policy of the textbooks has no words for those.
 *
 * <p>Nothing is known of workers but the list and what becomes of own attempts. A cold worker gets, from all
 * dispatchers together, half of what the rule would let one core of speed 1 bear. Where no worker may take a
 * job, it is refused, or fails if it may have run.
 */
public final class Reference implements Dispatcher {

    /** How a policy picks. All calls are made in the order in which things happen. */
    public interface Choice {

        /** One of these, which are at least one, in the order of the list. */
        Server pick(List<Server> from, Request request, long now, SplittableRandom random);

        /** An attempt there has ended; {@code took}: since it was sent. */
        default void ended(Server server, Outcome outcome, long took, long now) {
        }
    }

    /** A worker, and what this dispatcher knows of it. */
    public static final class Server {
        public final String id;
        /** Attempts of this dispatcher that are out there. */
        public int out;
        WorkerInfo info;
        /** For the policy's own figures. */
        Object notes;
        private final ArrayDeque<Sent> sent = new ArrayDeque<>();
        private double sentWork;

        Server(String id) {
            this.id = id;
        }

        public double weight() {
            return info.weight() > 0 ? info.weight() : 1;
        }

        private void sent(long now, double work) {
            sent.add(new Sent(now, work));
            sentWork += work;
        }

        private double sentSince(long from) {
            while (!sent.isEmpty() && sent.peek().at < from) {
                sentWork -= sent.poll().work;
            }
            return sent.isEmpty() ? sentWork = 0 : sentWork;
        }
    }

    private record Sent(long at, double work) {
    }

    private static final class Job {
        private final Request request;
        private final JobClass jobClass;
        private final long deadline;
        private final List<Server> tried = new ArrayList<>(1);
        private final List<Long> sentAt = new ArrayList<>(1);
        private int out;
        private long firstRunAt = Long.MAX_VALUE;
        private boolean closed;

        Job(Request request, JobClass jobClass, long now) {
            this.request = request;
            this.jobClass = jobClass;
            deadline = now + request.timeLeft();
        }
    }

    private static final String ASK = "ask";
    /** A job without a hint is taken for a tenth of a second of work. */
    private static final double USUAL_WORK = 100_000;
    /** What a refusal tells the client to wait, as the decision module does: about a round. */
    private static final long COME_BACK = 10_000;

    private final Settings settings;
    private final Choice choice;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private List<Server> ready = List.of();
    private long allWarmAt;
    private boolean asking;
    private long now;
    private Consumer<? super Action> out;

    public Reference(Settings settings, long seed, Choice choice) {
        this.settings = settings;
        this.choice = choice;
        random = new SplittableRandom(seed);
    }

    @Override
    public void handle(long time, Event event, Consumer<? super Action> actions) {
        now = time;
        out = actions;
        if (event instanceof Request request) {
            var job = new Job(request, settings.classes().get(request.jobClass()), now);
            jobs.put(request.id(), job);
            place(job);
        } else if (event instanceof AttemptEnded ended) {
            conclude(ended);
        } else if (event instanceof ClientGone gone) {
            close(jobs.get(gone.request()));
        } else if (event instanceof WorkerList list) {
            follow(list);
        } else if (event instanceof TimerDue) {
            asking = false;
            out.accept(new Subscribe());
        }
    }

    private void place(Job job) {
        var from = mayTake(job);
        if (from.isEmpty()) {
            giveUp(job);
            return;
        }
        var server = choice.pick(from, job.request, now, random);
        server.sent(now, work(job));
        server.out++;
        job.out++;
        job.tried.add(server);
        job.sentAt.add(now);
        out.accept(new Send(job.request.id(), server.id, 0));
    }

    /** As most times all may, the list itself is handed out then. */
    private List<Server> mayTake(Job job) {
        if (job.tried.isEmpty() && job.jobClass.kind() < 0 && now >= allWarmAt) {
            return ready;
        }
        var from = new ArrayList<Server>(ready.size());
        for (var server : ready) {
            if (!job.tried.contains(server) && coldAllows(server, job)
                    && (job.jobClass.kind() < 0 || job.jobClass.kind() == server.info.kind())) {
                from.add(server);
            }
        }
        return from;
    }

    private double work(Job job) {
        return job.request.costHint() > 0 ? job.request.costHint() : USUAL_WORK;
    }

    private boolean coldAllows(Server server, Job job) {
        var rules = settings.rules();
        long age = now - server.info.startedAt();
        if (server.info.startedAt() <= 0 || age >= rules.coldFor()) {
            return true;
        }
        double part = rules.coldCapacity() + (1 - rules.coldCapacity()) * Math.max(0, age) / rules.coldFor();
        double most = rules.coldMultiple() / 2 * part * rules.coldWindow() / settings.dispatchers();
        return server.sentSince(now - rules.coldWindow()) + work(job) <= most;
    }

    private void conclude(AttemptEnded ended) {
        var job = jobs.get(ended.request());
        var server = job.tried.get(ended.attempt());
        long sentAt = job.sentAt.get(ended.attempt());
        server.out--;
        job.out--;
        if (!ended.outcome().provesNotRun) {
            job.firstRunAt = Math.min(job.firstRunAt, sentAt);
        }
        choice.ended(server, ended.outcome(), now - sentAt, now);
        if (job.closed || ended.requestClosed()) {
            close(job);
        } else if (ended.outcome() != Outcome.UNUSABLE && now < job.deadline && mayRunAgain(job)
                && job.tried.size() < settings.limits().maxAttempts()) {
            place(job);
        } else {
            giveUp(job);
        }
    }

    private boolean mayRunAgain(Job job) {
        boolean remembered = job.jobClass.effect() == Effect.KEYED && job.jobClass.keyScope() == KeyScope.ALL
                && now < job.firstRunAt + job.jobClass.keyWindow() - settings.resolution();
        return job.jobClass.effect() == Effect.REPEATABLE || job.firstRunAt == Long.MAX_VALUE || remembered;
    }

    private void giveUp(Job job) {
        boolean harmless = job.jobClass.effect() != Effect.UNSAFE && job.jobClass.effect() != Effect.KEYED
                || job.firstRunAt == Long.MAX_VALUE;
        long advice = settings.limits().retryAfter()
                ? Math.min(settings.limits().maxRetryAfter(), COME_BACK) : 0;
        out.accept(harmless ? new Refuse(job.request.id(), advice) : new Fail(job.request.id()));
        close(job);
    }

    private void close(Job job) {
        if (job != null) {
            job.closed = true;
            if (job.out == 0) {
                jobs.remove(job.request.id());
            }
        }
    }

    private void follow(WorkerList list) {
        if (list.kind().isFailure() || list.kind() == ListKind.CACHED && !settings.listPushed()) {
            ask(list.kind().isFailure());
        }
        if (list.kind().isWhole()) {
            servers.values().forEach(server -> server.info = gone(server.info));
        }
        for (var info : list.workers()) {
            servers.computeIfAbsent(info.id(), Server::new).info = info;
        }
        ready = servers.values().stream().filter(server -> server.info.state() == WorkerState.READY).toList();
        allWarmAt = settings.rules().coldFor()
                + ready.stream().mapToLong(server -> server.info.startedAt()).max().orElse(0);
    }

    private static WorkerInfo gone(WorkerInfo info) {
        return new WorkerInfo(info.id(), WorkerState.GONE, info.kind(), info.zone(), info.cell(),
                info.weight(), info.startedAt());
    }

    /** Staggered, as calls of many dispatchers at once would drown the list. */
    private void ask(boolean again) {
        if (!asking) {
            asking = true;
            double part = again ? (1 + random.nextDouble()) / 4
                    : (settings.self() + random.nextDouble()) / settings.dispatchers() / 4;
            out.accept(new SetTimer(now + 1 + (long) (settings.rules().askEvery() * part), ASK));
        }
    }
}
