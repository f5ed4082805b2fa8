package pipitladder;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pipitladder.Ledger.Attempt;
import pipitladder.Ledger.Job;
import pipitladder.Ledger.Worker;
import ryemast.fleet.choices.TenantShares;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.health.Health;
import ryemast.health.Refusals.Cause;
import ryemast.health.Sign;
import ryemast.limits.ColdBudget;
import ryemast.pacing.ListCalls;

/**
 * All decisions of a dispatcher; its interface is in {@link Dispatcher} (Dispatcher.java).
 *
 * <p>Period-Payoff Dispatch: requests gathered during a period are placed as one round at its tick, each on
 * the eligible worker with the largest gain in (sum of min{x+u, alpha} - longest clearing time), one period
 * ahead. Work is in slot-microseconds, clearing time in periods. Gains less than a period apart tie; a tie
 * goes to the earliest start that ends in time, else to the earliest finish. docs/design.md has exceptions.
 */
public final class Brain implements Dispatcher {

    private static final double SECOND = Ledger.SECOND;
    /** Rounds of probes for a job: a third pair finds a free worker wherever a fifth of them are free. */
    private static final int DRAWS = 3;
    /** How much of an unexplained wait is left where slots are free again and no others send jobs. */
    private static final double LASTING = 0.25;
    /** A worker that turned a job away is full until so many mean jobs have ended there. */
    private static final double FULL_JOBS = 4;
    /** So sure that a job is lost, its copy is sent before the aim is in danger. */
    private static final double SURELY = 0.7;
    /** So sure, it is given up. */
    private static final double CERTAINLY = 0.95;
    /** Draws for each listed worker and each wanted one; where none fits, all are looked at. */
    private static final int TRIES = 2;
    /** A mean of so many jobs is half believed where a large one would make room for itself. */
    private static final double FEW_JOBS = 2;
    /** Seconds of a tenant's rate that may come at once. */
    private static final double BURST = 4;
    /** More seconds than any job takes. */
    private static final double NEVER = 1e6;

    private final Settings settings;
    private final SplittableRandom random;
    private final long period;
    private final long sweepEvery;
    private final double tellable;
    private final boolean asksWorkers;
    /** Where others' work is unseen and a job may stand in two queues. */
    private final boolean standsTwice;
    private final Reach reach;
    private double topAppeal;
    private long draws;
    private final Discovered discovered;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<Integer, Worker> byCode = new LinkedHashMap<>();
    private final Map<Long, Job> jobs = new LinkedHashMap<>();
    private final Rates rates;
    private final Health health;
    private final ColdBudget cold;
    private final Ledger.Estimate jobWork = new Ledger.Estimate();
    private final TenantShares shares;
    private final Map<String, Ledger.Alarm> armed = new LinkedHashMap<>();
    private final Set<Job> gathered = new LinkedHashSet<>();
    private long bornAt = Long.MAX_VALUE;
    private long now;
    private Consumer<? super Action> out;

    public Brain(Settings settings, long seed) {
        this(settings, seed, Reach.ROOM);
    }

    /** {@code room}: of a longer list than this a large fleet's dispatcher uses a subset. */
    public Brain(Settings settings, long seed, int room) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        long aim = settings.classes().stream().mapToLong(JobClass::aim).min().orElse((long) SECOND);
        period = Math.max(2 * settings.resolution(), aim / 40);
        rates = new Rates(settings);
        var rules = settings.rules();
        discovered = new Discovered(new ListCalls(settings.self(), settings.dispatchers(), rules.askEvery(),
                settings.listPushed(), random), settings.listPushed(), settings.limits().connIdle());
        cold = new ColdBudget(settings.self(), settings.dispatchers(), rules.coldFor(), rules.coldCapacity(),
                rules.coldMultiple(), rules.coldWindow(), rates.knowsCapacity());
        health = new Health(settings.startsReported(), settings.progressInterval(), period,
                settings.self(), settings.dispatchers());
        tellable = Ledger.Note.tellable(settings);
        asksWorkers = settings.limits().probes() && !settings.reportFields().isEmpty()
                && settings.dispatchers() > 1;
        reach = new Reach(settings, asksWorkers ? Double.MAX_VALUE : 1 - tellable, room);
        standsTwice = settings.startsReported() && settings.limits().secondCopies()
                && settings.limits().cancel() && settings.dispatchers() > 1;
        sweepEvery = standsTwice ? period : Math.max(period, aim / 4);
        shares = TenantShares.numbered(settings.dispatchers(),
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray(), BURST);
    }

    /** What is believed of the workers, and why jobs were not served. */
    public Health health() {
        return health;
    }

    /** What peers may be told of the workers, by own evidence alone. */
    public List<LocalEstimate> beliefs(long time) {
        return workers.values().stream().map(worker -> rates.own(worker, time)).toList();
    }

    @Override
    public void handle(long time, Event event, Consumer<? super Action> actions) {
        require(time >= now, "the clock stepped back");
        now = time;
        bornAt = Math.min(bornAt, now);
        out = actions;
        if (event instanceof Request request) {
            accept(request);
        } else if (event instanceof AttemptEnded ended) {
            conclude(ended);
        } else if (event instanceof AttemptStarted started) {
            noteStart(attempt(started.request(), started.attempt()));
        } else if (event instanceof AttemptProgress progress) {
            named(progress.worker()).health.heard(now);
            Optional.ofNullable(attempt(progress.request(), progress.attempt()))
                    .filter(attempt -> !attempt.ended).ifPresent(attempt -> attempt.awaited.progressed(now));
        } else if (event instanceof TimerDue timer) {
            Optional.ofNullable(armed.remove(timer.name())).ifPresent(this::ring);
        } else if (event instanceof WorkerList list) {
            follow(list);
        } else if (event instanceof DiscoveryLost lost) {
            discovered.lost(lost.heardAt(), now);
        } else if (event instanceof WorkerLived lived) {
            named(lived.worker()).health.life().seen(lived.from(), lived.to());
        } else if (event instanceof ClientGone gone) {
            close(jobs.get(gone.request()));
        } else if (event instanceof ProbeEnded probe && probe.healthy()) {
            named(probe.worker()).health.heard(now);
            readReport(named(probe.worker()), probe.report());
        } else if (event instanceof PeerMessage message) {
            Ledger.Note.of(message.text()).ifPresent(this::book);
        } else if (event instanceof PeersTold told) {
            workers.values().forEach(worker -> worker.borrow(told.byWorker().get(worker.id), now));
        }
    }

    private static void require(boolean kept, String otherwise) {
        if (!kept) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    private Worker named(String worker) {
        require(workers.containsKey(worker), "unknown worker " + worker);
        return workers.get(worker);
    }

    private void accept(Request request) {
        require(!jobs.containsKey(request.id()), "request " + request.id() + " was given twice");
        int number = request.jobClass();
        require(number >= 0 && number < settings.classes().size(), "unknown class " + number);
        var job = new Job(request, settings.classes().get(number), now, shares.over(request.tenant(), now),
                settings.dispatchers());
        jobs.put(request.id(), job);
        jobWork.learn(job.work, Rates.MEMORY);
        probeFor(job);
        gather(job);
    }

    private void gather(Job job) {
        gathered.add(job);
        arm("tick", period, this::placeRound);
    }

    private void ring(Ledger.Alarm alarm) {
        health.woke(now, alarm.dueAt());
        alarm.due().run();
    }

    private void arm(String timer, long wait, Runnable due) {
        if (armed.putIfAbsent(timer, new Ledger.Alarm(now + wait, due)) == null) {
            out.accept(new SetTimer(now + wait, timer));
        }
    }

    private Attempt attempt(long request, int index) {
        var job = jobs.get(request);
        return job == null || index < 0 || index >= job.attempts.size() ? null : job.attempts.get(index);
    }

    private void conclude(AttemptEnded ended) {
        var attempt = attempt(ended.request(), ended.attempt());
        require(attempt != null && !attempt.ended,
                "no attempt " + ended.attempt() + " of request " + ended.request() + " is out");
        var job = attempt.job;
        attempt.mayHaveRun = !ended.outcome().provesNotRun;
        attempt.worker.release(attempt);
        judge(attempt, ended.outcome());
        readReport(attempt.worker, ended.report());
        job.unusable |= ended.outcome() == Outcome.UNUSABLE;
        boolean dropped = ended.outcome() == Outcome.CANCELLED && now > job.aimAt
                && job.jobClass.lateWorth() == 0;
        boolean more = !job.unusable && now < job.deadline && !dropped
                && job.attempts.size() < settings.limits().maxAttempts();
        if (job.closed || ended.requestClosed()) {
            close(job);
        } else if (job.outstanding == 0 && more && (job.isHarmlessToRepeat() || keyRemembered(job))) {
            gather(job);
        } else if (job.outstanding == 0) {
            giveUp(job, job.unusable ? Cause.UNUSABLE : dropped || now >= job.deadline ? Cause.OUT_OF_TIME
                    : more ? Cause.MAY_HAVE_RUN : Cause.ATTEMPTS);
        }
    }

    private void close(Job job) {
        if (job == null) {
            return;
        }
        // What must run once goes on: its client may want the effect though it no longer waits for the word.
        if (!job.closed && settings.limits().cancel() && job.jobClass.effect() != Effect.UNSAFE) {
            job.attempts.stream().filter(attempt -> !attempt.ended && !attempt.awaited.isTrial())
                    .forEach(this::cancel);
        }
        job.closed = true;
        if (job.outstanding == 0) {
            jobs.remove(job.request.id());
        }
    }

    private void cancel(Attempt attempt) {
        attempt.cancelled = true;
        out.accept(new Cancel(attempt.job.request.id(), attempt.job.attempts.indexOf(attempt)));
    }

    /** Rules 1 to 4, whatever was decided: request open, no effect twice, no drained, no overrun worker. */
    private boolean permits(Job job, Worker worker) {
        return !job.closed && now < job.deadline && worker.info.state() == WorkerState.READY
                && (job.jobClass.kind() < 0 || job.jobClass.kind() == worker.info.kind())
                && job.attempts.size() < settings.limits().maxAttempts() && !job.mayStillBeAt(worker)
                && (job.outstanding == 0 || settings.limits().secondCopies() && job.outstanding == 1)
                && (job.isHarmlessToRepeat() || keyRemembered(job) && job.keyReaches(worker.info))
                && discovered.permits(worker, now) && coldAllows(job, worker);
    }

    /** A tick less than the window, so that a send on its edge does not slip out of it. */
    private boolean keyRemembered(Job job) {
        return job.isKeyRemembered(now, settings.resolution());
    }

    private double warmth(Worker worker) {
        return cold.warmth(discovered.startOf(worker, now), now);
    }

    /** Guards a cold worker against falling over, with our part of what all may send there. */
    private boolean coldAllows(Job job, Worker worker) {
        return warmth(worker) >= 1 || cold.allows(worker.code, discovered.startOf(worker, now),
                capacity(worker), jobWork.towards(0, FEW_JOBS), job.work,
                worker.workSentSince(now - settings.rules().coldWindow()), bornAt, now);
    }

    /** What a worker clears when warm; the protocol says to guess it from what warm ones bear. */
    private double capacity(Worker worker) {
        return rates.capacity(worker, settings.dispatchers(), jobWork.towards(0, FEW_JOBS), bornAt, now);
    }

    private void send(Job job, Worker worker) {
        if (!permits(job, worker)) {
            return;
        }
        if (job.attempts.isEmpty()) {
            health.purse().firstSend(now);
        } else if (job.outstanding == 0 && job.mayHaveRun()) {
            health.purse().repeat(now);
        }
        worker.sent(now, Math.max(job.work, jobWork.mean), settings.rules().coldWindow());
        var attempt = worker.take(new Attempt(job, worker, now, now + (long) (worker.queueing * SECOND),
                discovered.usableUntil(worker, now)));
        out.accept(new Send(job.request.id(), worker.id, 0, attempt.beginBy));
        tellPeers(job, worker);
        arm("sweep", sweepEvery, this::sweep);
    }

    /** A refusal promises that trying again is harmless; a failure promises nothing, nor does it invite. */
    private void giveUp(Job job, Cause cause) {
        boolean keyed = job.jobClass.effect() == Effect.KEYED && job.jobClass.keyScope() == KeyScope.ALL;
        if (!job.closed) {
            health.refusals().count(cause);
            boolean invite = !job.unusable && (job.isHarmlessToRepeat() || keyed);
            out.accept(invite ? new Refuse(job.request.id(), comeBackAfter()) : new Fail(job.request.id()));
        }
        close(job);
    }

    /** Places are given anew at the next round; where no worker is listed, there is no telling when. */
    private long comeBackAfter() {
        long most = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
        return reach.isEmpty() ? most : Math.min(most, period);
    }

    private void placeRound() {
        var round = gathered.stream().filter(job -> !job.closed).sorted(Job::byShareAndAim).toList();
        gathered.clear();
        health.review(now);
        reach.review(now);
        rates.warm(reach.listed().filter(worker -> warmth(worker) >= 1));
        log(discovered.news(reach.listed(), now));
        round.forEach(this::place);
        log(health.news(now));
    }

    private void log(List<String> lines) {
        lines.forEach(line -> out.accept(new Log(line)));
    }

    /** Brings a worker's x, alpha and expected wait up to now. */
    private void estimate(Worker worker) {
        double slots = Math.max(1, rates.slots(worker));
        worker.speed = rates.believed(worker, now) * warmth(worker);
        worker.rate = slots * worker.speed;
        worker.cleared = worker.rate * period / SECOND;
        double ahead = worker.work + worker.toldWork(now, worker.speed);
        double used = Math.max(1, worker.usedSlots + worker.toldSlots(now));
        worker.queueing = Math.max(0, used - slots + 1) * ahead / used / worker.rate;
        double unanswered = worker.probedAt > worker.health.heardAt() ? jobWork.mean / worker.rate : 0;
        double unseen = worker.usedSlots < slots ? Math.max(LASTING, 1 - 1.0 / settings.dispatchers()) : 1;
        double usual = standsTwice ? rates.usualWait(warmth(worker) < 1) : 0;
        double delay = worker.health.delay(now);
        worker.shown = worker.ownQueueing() + Math.max(unseen * worker.excess(now, 0), delay) + unanswered;
        double seen = Math.max(unseen * worker.excess(now, usual), delay) + unanswered;
        worker.wait = worker.queueing + seen;
        worker.x = ahead + seen * worker.rate;
    }

    /** Peers count each other's jobs in x. Small jobs are told of by chance, so that the price stays low. */
    private void tellPeers(Job job, Worker worker) {
        if (tellable > 0 && random.nextDouble() < tellable * job.work / jobWork.mean) {
            out.accept(new TellPeers(new Ledger.Note(worker.code, job.work).text()));
        }
    }

    private void book(Ledger.Note note) {
        var worker = byCode.get(note.worker());
        if (worker != null) {
            estimate(worker);
            double seconds = worker.wait + note.work() / worker.speed;
            worker.told.add(new Ledger.Told(now, now + (long) (seconds * SECOND), note.work()));
        }
    }

    private double clearing(Worker worker, double added) {
        return Math.max(0, (worker.x + added) / worker.cleared - 1);
    }

    /** A crossing's price, as that part of the time until the aim. */
    private double toll(Job job) {
        return settings.prices().crossZone() * Math.max(0, job.aimAt - now) / SECOND;
    }

    private double start(Worker worker, Job job) {
        return worker.wait + (reach.isNear(worker) ? 0 : toll(job));
    }

    private double finish(Worker worker, Job job) {
        return start(worker, job) + job.length() / worker.speed;
    }

    /**
     * Breaks ties: where it would end within its aim a job goes where it starts first, so that it leaves the
     * queues at quick workers to those that need them; else where it ends first.
     */
    private double lateness(Worker worker, Job job) {
        double finish = finish(worker, job);
        return now + finish * SECOND <= job.aimAt ? start(worker, job) - NEVER : finish;
    }

    /**
     * Eligible workers for the payoff to rank: few beside many dispatchers, drawn at random by capacity.
     * Guards against dispatchers that know the same and all take the same best worker.
     */
    private List<Worker> draw(List<Worker> from, Job job, Worker except) {
        int wanted = reach.candidates();
        var drawn = new ArrayList<Worker>();
        draws++;
        int left = wanted < from.size() ? TRIES * from.size() * wanted : 0;
        while (left-- > 0 && drawn.size() < wanted) {
            var worker = from.get(random.nextInt(from.size()));
            if (worker == except || worker.drawn == draws || !permits(job, worker) || !fits(job, worker)) {
                continue;
            }
            estimate(worker);
            double appeal = worker.rate / (1 + worker.wait * SECOND / job.jobClass.aim());
            appeal *= warmth(worker) >= 1 ? 1 : cold.weight(discovered.startOf(worker, now), capacity(worker),
                    jobWork.towards(0, FEW_JOBS), job.work, now);
            topAppeal = Math.max(topAppeal * Rates.MEMORY, appeal);
            if (random.nextDouble() * topAppeal < appeal) {
                drawn.add(worker);
                worker.drawn = draws;
            }
        }
        if (drawn.isEmpty()) {
            from.stream().filter(worker -> worker != except && permits(job, worker)).forEach(drawn::add);
        }
        return drawn;
    }

    /** Where others' work is unseen, the candidates are drawn at once and report before the tick. */
    private void probeFor(Job job) {
        if (asksWorkers) {
            job.draws++;
            job.candidates = draw(reach.near(), job, null);
            job.candidates.forEach(worker -> worker.probedAt = now);
            job.candidates.forEach(worker -> out.accept(new Probe(worker.id)));
        }
    }

    /** While discovery is not heard: workers that outlast the list first, by turns, if they are in time. */
    private Worker choose(Job job, Worker except) {
        return discovered.outlastingList(reach.listed(), now)
                .filter(worker -> worker != except && permits(job, worker) && fits(job, worker)
                        && isInTime(job, worker))
                .min(Discovered.USED_LEAST_LATELY)
                .orElseGet(() -> chooseAmongAll(job, except));
    }

    private boolean isInTime(Job job, Worker worker) {
        estimate(worker);
        return now + finish(worker, job) * SECOND <= job.aimAt;
    }

    /** Near workers first; where the best of them lets the job wait longer than the way costs, all. */
    private Worker chooseAmongAll(Job job, Worker except) {
        var candidates = job.candidates == null || except != null ? draw(reach.near(), job, except)
                : new ArrayList<>(job.candidates);
        candidates.removeIf(worker -> !permits(job, worker));
        var best = best(job, candidates);
        if (best == null || best.wait > toll(job)) {
            candidates.addAll(draw(reach.far(), job, except));
            best = best(job, candidates);
        }
        return best;
    }

    /** Before the payoff ranks: a worker that fails many jobs, or failed this one, only if no other fits. */
    private boolean fits(Job job, Worker worker) {
        boolean asWell = job.jobClass.effect() == Effect.UNSAFE
                ? worker.health.isTrusted() : worker.health.admits();
        return asWell && !job.failedAt(worker);
    }

    /**
     * Guards against leaving a worker out for good: now and then one that is set aside gets a job. Where
     * second copies are allowed, the job goes to another one as well, so that no client waits for the sick.
     */
    private Worker trialFor(Job job) {
        var due = health.trialDue(now);
        var worker = due == null ? null : workers.get(due.id());
        boolean inTime = job.outstanding == 1
                || now + job.length() * SECOND + settings.limits().connectTimeout() < job.aimAt;
        return worker != null && job.jobClass.effect() == Effect.REPEATABLE && inTime
                && health.purse().affordsRepeat(now) && permits(job, worker) ? worker : null;
    }

    private Worker best(Job job, List<Worker> candidates) {
        Worker best = null;
        double bestGain = 0;
        double bestLate = 0;
        double longest = 0;
        boolean anyFits = candidates.stream().anyMatch(worker -> fits(job, worker));
        for (var worker : candidates) {
            estimate(worker);
            longest = Math.max(longest, clearing(worker, 0));
        }
        for (var worker : candidates) {
            if (anyFits && !fits(job, worker)) {
                continue;
            }
            double served = Math.min(job.work, Math.max(0, worker.cleared - worker.x));
            double gain = served * SECOND - Math.max(0, clearing(worker, job.work) - longest);
            double late = lateness(worker, job);
            if (best == null || gain > bestGain + 1 || gain > bestGain - 1 && late < bestLate) {
                best = worker;
                bestGain = gain;
                bestLate = late;
            }
        }
        return best;
    }

    private void place(Job job) {
        var best = choose(job, null);
        boolean misses = best == null || !isInTime(job, best);
        boolean over = now + 2 * period >= job.deadline || now > job.aimAt && job.jobClass.lateWorth() == 0;
        boolean outdated = best == null && discovered.isOutdatedFor(reach.listed(), now);
        if (misses && asksWorkers && job.draws < DRAWS && !over) {
            probeFor(job);
            gather(job);
        } else if (job.mayHaveRun() && !health.purse().affordsRepeat(now)) {
            giveUp(job, Cause.NO_BUDGET);
        } else if (best != null && !tooLate(job, best)) {
            boolean copies = settings.limits().secondCopies();
            var instead = copies ? null : trialFor(job);
            send(job, instead == null ? best : instead);
            var beside = copies ? trialFor(job) : null;
            if (beside != null) {
                health.purse().repeat(now);
                send(job, beside);
            }
        } else if (best != null || over || outdated && !job.mayHaveRun()) {
            giveUp(job, outdated ? Cause.OUTDATED_LIST : best == null ? Cause.NO_BOX
                    : job.overShare ? Cause.OVER_SHARE
                    : best.shown > 2 * best.queueing ? Cause.SILENT : Cause.BUSY);
        } else {
            gather(job);
        }
    }

    /**
     * Guards against a jam of answers nobody wants; what is beyond a tenant's share makes room first. Where
     * neither a hint nor a job's end has told how long jobs take, a queue of them tells no wait either.
     */
    private boolean tooLate(Job job, Worker best) {
        boolean unknown = job.request.costHint() <= 0 && !rates.anySeen();
        double spare = (job.aimAt - now) / SECOND - (unknown ? 0 : job.length() / best.speed);
        double patience = Math.max(spare, job.jobClass.aim() / SECOND / 4);
        double shown = best.shown - (unknown ? best.ownQueueing() : 0);
        return !job.mayHaveRun() && shown > (job.overShare ? patience / 4 : patience);
    }

    /** How long no sign of life came from a worker with a job overdue; without progress notes none can. */
    private long silence(Attempt attempt) {
        long missing = attempt.awaited.missing(now);
        return attempt.awaited.gone(now) > SURELY ? missing : settings.progressInterval() > 0
                ? Math.min(missing, now - attempt.worker.health.heardAt()) : 0;
    }

    private void noteStart(Attempt attempt) {
        if (attempt == null || attempt.ended || attempt.lost || attempt.startedAt > 0) {
            return;
        }
        var worker = attempt.worker;
        long waited = now - attempt.sentAt;
        worker.started(attempt, now);
        long way = health.way();
        boolean prompt = waited <= way * 2 + period;
        rates.started(worker, worker.runningSlots + worker.toldBefore(attempt.sentAt), prompt);
        if (!health.wasDeaf(now)) {
            worker.missed(now, (worker.excess(now, 0) + unexplained(attempt)) / 2);
            rates.waited(warmth(worker) < 1, unexplained(attempt));
        }
        leaveOtherQueue(attempt);
    }

    /** A job that stands in two queues leaves one as it starts from the other. */
    private void leaveOtherQueue(Attempt started) {
        var attempts = standsTwice ? started.job.attempts : List.<Attempt>of();
        for (var each : attempts) {
            if (each != started && !each.ended && each.startedAt == 0 && !each.awaited.isTrial()) {
                noteQueue(each);
                rates.waited(warmth(each.worker) < 1, unexplained(each));
                out.accept(new Cancel(each.job.request.id(), each.job.attempts.indexOf(each)));
            }
        }
    }

    private void noteQueue(Attempt attempt) {
        attempt.worker.missed(now, Math.max(attempt.worker.excess(now, 0), unexplained(attempt)));
    }

    /** Seconds that it has waited for its start beyond what own work ahead of it and the way explain. */
    private double unexplained(Attempt attempt) {
        return health.wasDeaf(now) ? 0 : Math.max(0, (now - attempt.dueAt - health.way()) / SECOND);
    }

    private void judge(Attempt attempt, Outcome outcome) {
        var worker = attempt.worker;
        var sign = attempt.end(outcome);
        attempt.awaited.ended(sign, attempt.job.failedElsewhere(worker), now);
        if (sign == Sign.SERVED && warmth(worker) >= 1) {
            rates.served(attempt, !health.wasDeaf(now), now);
        } else if (sign == Sign.TURNED_AWAY) {
            double room = FULL_JOBS * jobWork.mean / Math.max(1e-3, worker.rate);
            worker.health.full(now, Math.max(period / SECOND, room));
        }
    }

    private void readReport(Worker worker, double[] report) {
        worker.reported(settings.field(report, ReportField.IN_FLIGHT),
                settings.field(report, ReportField.FREE_SLOTS), jobWork.mean, rates.speed(worker), now);
    }

    private void sweep() {
        if (settings.limits().cancel()) {
            jobs.values().stream().filter(job -> !job.closed && job.outstanding > 0).map(Job::lastOut)
                    .filter(this::holdsForNothing).toList().forEach(this::cancel);
        }
        jobs.values().stream().filter(Job::relies)
                .map(Job::lastOut).filter(each -> each.lost || silence(each) > 0 || queuesUnseen(each))
                .sorted((one, other) -> Long.compare(one.job.aimAt, other.job.aimAt)).toList()
                .forEach(this::rescue);
        if (!jobs.isEmpty()) {
            arm("sweep", sweepEvery, this::sweep);
        }
    }

    /**
     * Guards slots against jobs that nobody wants any more while they wait for their start, and against jobs
     * that hang: where a copy is out, or nothing is to be gained. Where an attempt was cancelled the job
     * itself may be heavier than its hint says: the next one may go on for as long as it gives the signs that
     * a running job must give, or its work would start anew and never end.
     */
    private boolean holdsForNothing(Attempt attempt) {
        var job = attempt.job;
        boolean worthless = now > job.aimAt && job.jobClass.lateWorth() == 0;
        if (job.jobClass.effect() == Effect.UNSAFE || !worthless && job.outstanding < 2) {
            return false;
        }
        boolean waits = settings.startsReported() && attempt.startedAt == 0 && !attempt.awaited.isTrial();
        boolean first = job.attempts.stream().noneMatch(each -> each.cancelled);
        return worthless && waits && now > job.hopelessAt || attempt.awaited.gone(now) > CERTAINLY
                && (first || attempt.awaited.isUnheard(now));
    }

    /**
     * Whether a job waits for its start behind work that is not ours, and may stand in a second queue: that
     * costs no work, as it leaves one when it starts from the other. An attempt is kept for failures.
     */
    private boolean queuesUnseen(Attempt attempt) {
        return standsTwice && attempt.startedAt == 0 && !attempt.lost && attempt.awaited.missing(now) > 0
                && attempt.job.attempts.size() < settings.limits().maxAttempts() - 1;
    }

    /** Guards jobs against a silent worker: act when it will miss the aim and another worker would not. */
    private void rescue(Attempt attempt) {
        var job = attempt.job;
        double sure = attempt.awaited.gone(now);
        boolean queues = queuesUnseen(attempt);
        double remaining = sure > SURELY ? Double.MAX_VALUE
                : 2 * silence(attempt) / SECOND + job.length() / attempt.worker.speed;
        if (queues) {
            noteQueue(attempt);
        } else if (!health.purse().affordsCopy(sure, now) || now + remaining * SECOND <= job.aimAt) {
            return;
        }
        boolean copies = settings.limits().secondCopies();
        job.outstanding -= copies ? 0 : 1;
        var other = choose(job, attempt.worker);
        job.outstanding += copies ? 0 : 1;
        double wait = other == null ? Double.MAX_VALUE
                : finish(other, job) + (queues ? other.shown - other.wait : 0);
        boolean useful = now + wait * SECOND <= (job.jobClass.lateWorth() > 0 ? job.deadline : job.aimAt);
        // What has waited for a while may well wait for as long again: only a shorter queue is worth it.
        if (!useful || queues && other.shown * SECOND > attempt.awaited.missing(now)
                || !queues && wait > remaining / 2) {
            return;
        }
        if (!queues) {
            health.purse().copy(sure, now);
        }
        if (copies) {
            send(job, other);
        } else if (settings.limits().cancel()) {
            cancel(attempt);
        }
    }

    private void follow(WorkerList list) {
        long wait = discovered.follow(list.kind(), now);
        log(discovered.news(reach.listed(), now));
        if (wait != Discovered.NO_CALL) {
            arm("ask", wait, () -> out.accept(new Subscribe()));
        }
        if (list.kind().isWhole()) {
            workers.values().forEach(Worker::unlist);
        }
        list.workers().forEach(list.kind() == ListKind.FORGOTTEN ? this::forget : this::update);
        regroup();
    }

    private void forget(WorkerInfo info) {
        if (workers.containsKey(info.id()) && workers.get(info.id()).isOver()) {
            byCode.values().remove(workers.remove(info.id()));
            health.forget(info.id());
        }
    }

    /** Each dispatcher has an order of its own, so that few of them share a worker's connections. */
    private void regroup() {
        var ready = reach.list(workers.values());
        health.list(ready.stream().map(worker -> worker.health).toList());
        rates.list(ready);
    }

    private void update(WorkerInfo info) {
        var worker = workers.computeIfAbsent(info.id(),
                id -> new Worker(id, settings.self(), health.box(id)));
        if (worker.info != null && info.startedAt() > worker.info.startedAt()) {
            worker.startedAnew(now, info.startedAt());
        }
        worker.info = info;
        worker.health.in(info.zone(), info.share());
        byCode.put(worker.code, worker);
    }
}
