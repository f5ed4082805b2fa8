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
import pipitladder.DispatchState.Attempt;
import pipitladder.DispatchState.Job;
import pipitladder.DispatchState.Worker;
import ryemast.fleet.choices.TenantRateLimiter;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.health.OutlierDetector;
import ryemast.health.Refusals.Cause;
import ryemast.health.Sign;
import ryemast.limits.SlowStartBudget;
import ryemast.pacing.DiscoveryCallSchedule;

/**
 * All decisions of one dispatcher; the interface is documented in {@link Dispatcher}.
 *
 * <p>Period-Payoff Dispatch: requests that arrive during a period are placed as one round at its tick, each
 * on the eligible worker with the largest gain in (sum of min{x+u, alpha} - longest clearing time), one
 * period ahead: x is a worker's backlog, u the added work, alpha the work it clears in a period. Work is in
 * slot-microseconds, clearing time in periods. Gains that differ by less than one period are a tie; a tie
 * goes to the earliest start that ends in time, else to the earliest finish. docs/design.md lists the
 * exceptions.
 */
public final class Brain implements Dispatcher {

    private static final double SECOND = DispatchState.SECOND;
    /** Probe rounds per job: a third pair finds a free worker wherever a fifth of the workers are free. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /**
     * The part of an unexplained wait that remains where slots are free again and no other dispatcher sends
     * jobs.
     */
    private static final double RESIDUAL_WAIT = 0.25;
    /** A worker that rejected a job counts as full until this many mean jobs have completed there. */
    private static final double FULL_BACKOFF_JOBS = 4;
    /**
     * Above this probability that an attempt is lost, its copy is sent before the latency objective is at
     * risk.
     */
    private static final double COPY_CERTAINTY = 0.7;
    /** Above this probability that an attempt is lost, it is cancelled. */
    private static final double CANCEL_CERTAINTY = 0.95;
    /**
     * Random draws per listed worker and wanted candidate; if none is suitable, all workers are considered.
     */
    private static final int DRAWS_PER_CANDIDATE = 2;
    /**
     * Weight of the prior, in jobs, in the mean job size where a large mean would raise the worker's own
     * limit.
     */
    private static final double PRIOR_JOBS = 2;
    /** Burst size of a tenant's rate limit, in seconds of its rate. */
    private static final double BURST_SECONDS = 4;
    /**
     * Seconds, longer than any job takes; subtracted from the start so that jobs in time rank before late
     * ones.
     */
    private static final double IN_TIME_BONUS = 1e6;

    private final Settings settings;
    private final SplittableRandom random;
    private final long period;
    private final long sweepEvery;
    private final double reportedFraction;
    private final boolean probesCandidates;
    /** Whether a job may be queued at two workers: only where other dispatchers' work is not visible. */
    private final boolean queuesTwice;
    private final CandidatePool pool;
    private double maxScore;
    private long drawCount;
    private final DiscoveryState discovery;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<Integer, Worker> byCode = new LinkedHashMap<>();
    private final Map<Long, Job> jobs = new LinkedHashMap<>();
    private final WorkerEstimates estimates;
    private final OutlierDetector health;
    private final SlowStartBudget slowStart;
    private final DispatchState.DecayingMean workPerJob = new DispatchState.DecayingMean();
    private final TenantRateLimiter shares;
    private final Map<String, DispatchState.Timer> timers = new LinkedHashMap<>();
    private final Set<Job> nextRound = new LinkedHashSet<>();
    private long createdAt = Long.MAX_VALUE;
    private long now;
    private Consumer<? super Action> actionSink;

    public Brain(Settings settings, long seed) {
        this(settings, seed, CandidatePool.MAX_WORKERS);
    }

    /**
     * {@code room}: above this number of listed workers, a dispatcher of a large fleet uses a subset of them.
     */
    public Brain(Settings settings, long seed, int room) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        long aim = settings.classes().stream().mapToLong(JobClass::aim).min().orElse((long) SECOND);
        period = Math.max(2 * settings.resolution(), aim / 40);
        estimates = new WorkerEstimates(settings);
        var rules = settings.rules();
        discovery = new DiscoveryState(new DiscoveryCallSchedule(settings.self(), settings.dispatchers(),
                rules.askEvery(), settings.listPushed(), random), settings.listPushed(),
                settings.limits().connIdle());
        slowStart = new SlowStartBudget(settings.self(), settings.dispatchers(), rules.coldFor(),
                rules.coldCapacity(), rules.coldMultiple(), rules.coldWindow(),
                estimates.isCapacityKnown());
        health = new OutlierDetector(settings.startsReported(), settings.progressInterval(), period,
                settings.self(), settings.dispatchers());
        reportedFraction = SendReport.reportedFraction(settings);
        probesCandidates = settings.limits().probes() && !settings.reportFields().isEmpty()
                && settings.dispatchers() > 1;
        pool = new CandidatePool(settings, probesCandidates ? Double.MAX_VALUE : 1 - reportedFraction, room);
        queuesTwice = settings.startsReported() && settings.limits().secondCopies()
                && settings.limits().cancel() && settings.dispatchers() > 1;
        sweepEvery = queuesTwice ? period : Math.max(period, aim / 4);
        shares = TenantRateLimiter.ofNumbered(settings.dispatchers(),
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray(), BURST_SECONDS);
    }

    /** The health estimates of the workers, and counts of why jobs were not served. */
    public OutlierDetector health() {
        return health;
    }

    /** The evidence about workers that may be sent to peers: own observations only. */
    public List<LocalEstimate> ownEvidence(long time) {
        return workers.values().stream().map(worker -> estimates.ownEvidence(worker, time)).toList();
    }

    @Override
    public void handle(long time, Event event, Consumer<? super Action> actions) {
        require(time >= now, "the clock stepped back");
        now = time;
        createdAt = Math.min(createdAt, now);
        actionSink = actions;
        if (event instanceof Request request) {
            accept(request);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof AttemptStarted started) {
            onAttemptStarted(attempt(started.request(), started.attempt()));
        } else if (event instanceof AttemptProgress progress) {
            knownWorker(progress.worker()).health.recordActivity(now);
            Optional.ofNullable(attempt(progress.request(), progress.attempt()))
                    .filter(attempt -> !attempt.ended).ifPresent(attempt -> attempt.awaited.progressed(now));
        } else if (event instanceof TimerDue timer) {
            Optional.ofNullable(timers.remove(timer.name())).ifPresent(this::runTimer);
        } else if (event instanceof WorkerList list) {
            onWorkerList(list);
        } else if (event instanceof DiscoveryLost lost) {
            discovery.onDiscoveryLost(lost.heardAt(), now);
        } else if (event instanceof WorkerLived lived) {
            knownWorker(lived.worker()).health.processLife().recordAlive(lived.from(), lived.to());
        } else if (event instanceof ClientGone gone) {
            close(jobs.get(gone.request()));
        } else if (event instanceof ProbeEnded probe && probe.healthy()) {
            knownWorker(probe.worker()).health.recordActivity(now);
            readReport(knownWorker(probe.worker()), probe.report());
        } else if (event instanceof PeerMessage message) {
            SendReport.parse(message.text()).ifPresent(this::recordPeerSend);
        } else if (event instanceof PeersTold told) {
            workers.values().forEach(worker -> worker.setPeerEvidence(told.byWorker().get(worker.id), now));
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    private Worker knownWorker(String worker) {
        require(workers.containsKey(worker), "unknown worker " + worker);
        return workers.get(worker);
    }

    private void accept(Request request) {
        require(!jobs.containsKey(request.id()), "request " + request.id() + " was given twice");
        int classIndex = request.jobClass();
        require(classIndex >= 0 && classIndex < settings.classes().size(), "unknown class " + classIndex);
        var job = new Job(request, settings.classes().get(classIndex), now,
                shares.exceeds(request.tenant(), now), settings.dispatchers());
        jobs.put(request.id(), job);
        workPerJob.add(job.work, WorkerEstimates.DECAY);
        probeCandidates(job);
        addToNextRound(job);
    }

    private void addToNextRound(Job job) {
        nextRound.add(job);
        setTimer("tick", period, this::placeRound);
    }

    private void runTimer(DispatchState.Timer timer) {
        health.timerFired(now, timer.dueAt());
        timer.task().run();
    }

    private void setTimer(String name, long wait, Runnable task) {
        if (timers.putIfAbsent(name, new DispatchState.Timer(now + wait, task)) == null) {
            actionSink.accept(new SetTimer(now + wait, name));
        }
    }

    private Attempt attempt(long request, int index) {
        var job = jobs.get(request);
        return job == null || index < 0 || index >= job.attempts.size() ? null : job.attempts.get(index);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        var attempt = attempt(ended.request(), ended.attempt());
        require(attempt != null && !attempt.ended,
                "no attempt " + ended.attempt() + " of request " + ended.request() + " is outstanding");
        var job = attempt.job;
        attempt.mayHaveRun = !ended.outcome().provesNotRun;
        attempt.worker.release(attempt);
        recordOutcome(attempt, ended.outcome());
        readReport(attempt.worker, ended.report());
        job.unusable |= ended.outcome() == Outcome.UNUSABLE;
        boolean worthless = ended.outcome() == Outcome.CANCELLED && now > job.objectiveAt
                && job.jobClass.lateWorth() == 0;
        boolean mayRetry = !job.unusable && now < job.deadline && !worthless
                && job.attempts.size() < settings.limits().maxAttempts();
        if (job.closed || ended.requestClosed()) {
            close(job);
        } else if (needsRetry(job) && mayRetry && (job.isHarmlessToRepeat() || isKeyRemembered(job))) {
            addToNextRound(job);
        } else if (needsRetry(job)) {
            refuseOrFail(job, job.unusable ? Cause.UNUSABLE : worthless || now >= job.deadline
                    ? Cause.OUT_OF_TIME
                    : mayRetry ? Cause.MAY_HAVE_RUN : Cause.ATTEMPTS);
        }
    }

    /**
     * Whether no attempt that may still serve the job is outstanding. One that was cancelled counts as
     * outstanding until its worker has answered, which may take long; where copies are allowed, another one
     * may run beside it.
     */
    private boolean needsRetry(Job job) {
        return job.outstanding == 0 || settings.limits().secondCopies() && job.outstanding == 1
                && job.outstandingAttempt().cancelled;
    }

    private void close(Job job) {
        if (job == null) {
            return;
        }
        // An unsafe job continues: its client may want the effect although it no longer waits for the answer.
        if (!job.closed && settings.limits().cancel() && job.jobClass.effect() != Effect.UNSAFE) {
            job.attempts.stream().filter(attempt -> !attempt.ended && !attempt.awaited.isRecoveryProbe())
                    .forEach(this::cancel);
        }
        job.closed = true;
        if (job.outstanding == 0) {
            jobs.remove(job.request.id());
        }
    }

    private void cancel(Attempt attempt) {
        attempt.cancelled = true;
        actionSink.accept(new Cancel(attempt.job.request.id(), attempt.job.attempts.indexOf(attempt)));
    }

    /**
     * Rules 1 to 4, which hold for every send: the request is open, no effect happens twice, the worker is
     * not draining, and a worker in slow start is not overloaded.
     */
    private boolean permits(Job job, Worker worker) {
        return !job.closed && now < job.deadline && worker.info.state() == WorkerState.READY
                && (job.jobClass.kind() < 0 || job.jobClass.kind() == worker.info.kind())
                && job.attempts.size() < settings.limits().maxAttempts() && !job.mayStillBeAt(worker)
                && (job.outstanding == 0 || settings.limits().secondCopies() && job.outstanding == 1)
                && (job.isHarmlessToRepeat() || isKeyRemembered(job) && job.keyIsSharedWith(worker.info))
                && discovery.permits(worker, now) && slowStartAllows(job, worker);
    }

    /**
     * Subtracts one clock resolution, so that a send at the end of the key window does not fall outside it.
     */
    private boolean isKeyRemembered(Job job) {
        return job.isKeyRemembered(now, settings.resolution());
    }

    private double warmUp(Worker worker) {
        return slowStart.warmUp(discovery.latestStartOf(worker, now), now);
    }

    /** Protects a worker in slow start from overload: this dispatcher's share of what all may send there. */
    private boolean slowStartAllows(Job job, Worker worker) {
        return warmUp(worker) >= 1 || slowStart.allows(worker.code, discovery.latestStartOf(worker, now),
                capacity(worker), workPerJob.withPrior(0, PRIOR_JOBS), job.work,
                worker.workSentSince(now - settings.rules().coldWindow()), createdAt, now);
    }

    /**
     * The work that a worker clears per second once warm; the protocol has it estimated from warm workers'
     * throughput.
     */
    private double capacity(Worker worker) {
        return estimates.capacity(worker, settings.dispatchers(), workPerJob.withPrior(0, PRIOR_JOBS),
                createdAt, now);
    }

    private void send(Job job, Worker worker) {
        if (!permits(job, worker)) {
            return;
        }
        if (job.attempts.isEmpty()) {
            health.retryBudget().depositFirstSend(now);
        } else if (needsRetry(job) && job.mayHaveRun()) {
            health.retryBudget().chargeRetry(now);
        }
        worker.recordSend(now, Math.max(job.work, workPerJob.mean), settings.rules().coldWindow());
        var attempt = worker.add(new Attempt(job, worker, now, now + (long) (worker.queueWait * SECOND),
                discovery.usableUntil(worker, now)));
        actionSink.accept(new Send(job.request.id(), worker.id, 0, attempt.beginBy));
        notifyPeers(job, worker);
        setTimer("sweep", sweepEvery, this::sweep);
    }

    /**
     * A refusal guarantees that a retry is harmless; a failure guarantees nothing and does not suggest a
     * retry.
     */
    private void refuseOrFail(Job job, Cause cause) {
        boolean keyIsGlobal = job.jobClass.effect() == Effect.KEYED
                && job.jobClass.keyScope() == KeyScope.ALL;
        if (!job.closed) {
            health.refusals().count(cause);
            boolean safeToRetry = !job.unusable && (job.isHarmlessToRepeat() || keyIsGlobal);
            actionSink.accept(safeToRetry ? new Refuse(job.request.id(), retryAfter())
                    : new Fail(job.request.id()));
        }
        close(job);
    }

    /**
     * Jobs are placed again at the next round; with no worker listed, the time is unknown and the maximum is
     * used.
     */
    private long retryAfter() {
        long max = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
        return pool.isEmpty() ? max : Math.min(max, period);
    }

    private void placeRound() {
        var round = nextRound.stream().filter(job -> !job.closed).sorted(Job::byShareAndObjective).toList();
        nextRound.clear();
        health.review(now);
        pool.review(now);
        estimates.setWarmWorkers(pool.listed().filter(worker -> warmUp(worker) >= 1));
        log(discovery.takeLogLines(pool.listed(), now));
        round.forEach(this::place);
        log(health.takeLogLines(now));
    }

    private void log(List<String> lines) {
        lines.forEach(line -> actionSink.accept(new Log(line)));
    }

    /** Updates the worker's backlog, work per period and expected wait to the current time. */
    private void updateEstimates(Worker worker) {
        double slots = Math.max(1, estimates.slots(worker));
        worker.speed = estimates.speedWithPeers(worker, now) * warmUp(worker);
        worker.workPerSecond = slots * worker.speed;
        worker.workPerPeriod = worker.workPerSecond * period / SECOND;
        double workAhead = worker.work + worker.peerWork(now, worker.speed);
        double used = Math.max(1, worker.usedSlots + worker.peerSlots(now));
        worker.queueWait = Math.max(0, used - slots + 1) * workAhead / used / worker.workPerSecond;
        double probeWait = worker.probedAt > worker.health.lastActivityAt()
                ? workPerJob.mean / worker.workPerSecond
                : 0;
        double unseenFraction = worker.usedSlots < slots
                ? Math.max(RESIDUAL_WAIT, 1 - 1.0 / settings.dispatchers()) : 1;
        double usualWait = queuesTwice ? estimates.usualWait(warmUp(worker) < 1) : 0;
        double delay = worker.health.expectedDelay(now);
        worker.observedWait = worker.ownQueueWait()
                + Math.max(unseenFraction * worker.excessWait(now, 0), delay) + probeWait;
        double unexplainedWait = Math.max(unseenFraction * worker.excessWait(now, usualWait), delay)
                + probeWait;
        worker.wait = worker.queueWait + unexplainedWait;
        worker.backlog = workAhead + unexplainedWait * worker.workPerSecond;
    }

    /**
     * Notifies peers of a send, which they count in the worker's backlog. Small jobs are reported with a
     * lower probability to bound the message cost.
     */
    private void notifyPeers(Job job, Worker worker) {
        if (reportedFraction > 0 && random.nextDouble() < reportedFraction * job.work / workPerJob.mean) {
            actionSink.accept(new TellPeers(new SendReport(worker.code, job.work).encode()));
        }
    }

    private void recordPeerSend(SendReport report) {
        var worker = byCode.get(report.worker());
        if (worker != null) {
            updateEstimates(worker);
            double seconds = worker.wait + report.work() / worker.speed;
            worker.peerJobs.add(
                    new DispatchState.PeerJob(now, now + (long) (seconds * SECOND), report.work()));
        }
    }

    private double clearingTime(Worker worker, double added) {
        return Math.max(0, (worker.backlog + added) / worker.workPerPeriod - 1);
    }

    /** The price of crossing zones, as a part of the time left until the latency objective. */
    private double crossZoneDelay(Job job) {
        return settings.prices().crossZone() * Math.max(0, job.objectiveAt - now) / SECOND;
    }

    private double startDelay(Worker worker, Job job) {
        return worker.wait + (pool.isNear(worker) ? 0 : crossZoneDelay(job));
    }

    private double finishDelay(Worker worker, Job job) {
        return startDelay(worker, job) + job.standardRunTime() / worker.speed;
    }

    /**
     * Breaks ties. A job that would end within its latency objective goes where it starts first, so that
     * queues at fast workers are left to the jobs that need them; any other job goes where it ends first.
     */
    private double tieBreak(Worker worker, Job job) {
        double finish = finishDelay(worker, job);
        return now + finish * SECOND <= job.objectiveAt ? startDelay(worker, job) - IN_TIME_BONUS : finish;
    }

    /**
     * Eligible workers to rank by payoff. With many dispatchers only a few are drawn, at random in proportion
     * to capacity, so that dispatchers with the same information do not all choose the same best worker (herd
     * behaviour).
     */
    private List<Worker> drawCandidates(List<Worker> listed, Job job, Worker excluded) {
        int wanted = pool.candidateCount();
        var drawn = new ArrayList<Worker>();
        drawCount++;
        int drawsLeft = wanted < listed.size() ? DRAWS_PER_CANDIDATE * listed.size() * wanted : 0;
        while (drawsLeft-- > 0 && drawn.size() < wanted) {
            var worker = listed.get(random.nextInt(listed.size()));
            if (worker == excluded || worker.lastDraw == drawCount || !permits(job, worker)
                    || !isSuitable(job, worker)) {
                continue;
            }
            updateEstimates(worker);
            double score = worker.workPerSecond / (1 + worker.wait * SECOND / job.jobClass.aim());
            score *= warmUp(worker) >= 1 ? 1
                    : slowStart.drawWeight(discovery.latestStartOf(worker, now), capacity(worker),
                    workPerJob.withPrior(0, PRIOR_JOBS), job.work, now);
            maxScore = Math.max(maxScore * WorkerEstimates.DECAY, score);
            if (random.nextDouble() * maxScore < score) {
                drawn.add(worker);
                worker.lastDraw = drawCount;
            }
        }
        if (drawn.isEmpty()) {
            listed.stream().filter(worker -> worker != excluded && permits(job, worker)).forEach(drawn::add);
        }
        return drawn;
    }

    /**
     * Where other dispatchers' work is not visible, candidates are drawn on arrival and probed before the
     * tick.
     */
    private void probeCandidates(Job job) {
        if (probesCandidates) {
            job.probeRounds++;
            job.candidates = drawCandidates(pool.near(), job, null);
            job.candidates.forEach(worker -> worker.probedAt = now);
            job.candidates.forEach(worker -> actionSink.accept(new Probe(worker.id)));
        }
    }

    /**
     * While no updates come from discovery, prefers workers that stay usable once the list is out of date,
     * least recently used first, if they can meet the latency objective.
     */
    private Worker chooseWorker(Job job, Worker excluded) {
        return discovery.outlastingList(pool.listed(), now)
                .filter(worker -> worker != excluded && permits(job, worker) && isSuitable(job, worker)
                        && isInTime(job, worker))
                .min(DiscoveryState.LEAST_RECENTLY_USED)
                .orElseGet(() -> chooseFromPool(job, excluded));
    }

    private boolean isInTime(Job job, Worker worker) {
        updateEstimates(worker);
        return now + finishDelay(worker, job) * SECOND <= job.objectiveAt;
    }

    /**
     * Draws from the near workers first, and from the far ones too if the best near worker's wait exceeds the
     * price of crossing zones.
     */
    private Worker chooseFromPool(Job job, Worker excluded) {
        var candidates = job.candidates == null || excluded != null
                ? drawCandidates(pool.near(), job, excluded)
                : new ArrayList<>(job.candidates);
        candidates.removeIf(worker -> !permits(job, worker));
        var best = best(job, candidates);
        if (best == null || best.wait > crossZoneDelay(job)) {
            candidates.addAll(drawCandidates(pool.far(), job, excluded));
            best = best(job, candidates);
        }
        return best;
    }

    /**
     * Applied before the payoff ranking: a worker that fails many jobs, or failed this one, is used only if
     * there is no other.
     */
    private boolean isSuitable(Job job, Worker worker) {
        boolean healthy = job.jobClass.effect() == Effect.UNSAFE
                ? worker.health.admitsUnsafe() : worker.health.admits();
        return healthy && !job.failedAt(worker);
    }

    /**
     * Sends an occasional job to an ejected worker, so that it is not excluded for good (outlier detection).
     * Where second copies are allowed the job is sent to another worker too, so that no client waits for an
     * unhealthy one.
     */
    private Worker ejectedWorkerToProbe(Job job) {
        var ejected = health.recoveryProbeDue(now);
        var worker = ejected == null ? null : workers.get(ejected.id());
        boolean inTime = job.outstanding == 1
                || now + job.standardRunTime() * SECOND + settings.limits().connectTimeout()
                < job.objectiveAt;
        return worker != null && job.jobClass.effect() == Effect.REPEATABLE && inTime
                && health.retryBudget().canRetry(now) && permits(job, worker) ? worker : null;
    }

    private Worker best(Job job, List<Worker> candidates) {
        Worker best = null;
        double bestGain = 0;
        double bestTieBreak = 0;
        double longest = 0;
        boolean anyFits = candidates.stream().anyMatch(worker -> isSuitable(job, worker));
        for (var worker : candidates) {
            updateEstimates(worker);
            longest = Math.max(longest, clearingTime(worker, 0));
        }
        for (var worker : candidates) {
            if (anyFits && !isSuitable(job, worker)) {
                continue;
            }
            double served = Math.min(job.work, Math.max(0, worker.workPerPeriod - worker.backlog));
            double gain = served * SECOND - Math.max(0, clearingTime(worker, job.work) - longest);
            double tieBreak = tieBreak(worker, job);
            if (best == null || gain > bestGain + 1 || gain > bestGain - 1 && tieBreak < bestTieBreak) {
                best = worker;
                bestGain = gain;
                bestTieBreak = tieBreak;
            }
        }
        return best;
    }

    private void place(Job job) {
        var best = chooseWorker(job, null);
        boolean late = best == null || !isInTime(job, best);
        boolean outOfTime = now + 2 * period >= job.deadline
                || now > job.objectiveAt && job.jobClass.lateWorth() == 0;
        boolean listOutdated = best == null && discovery.isOutdatedForAll(pool.listed(), now);
        if (late && probesCandidates && job.probeRounds < MAX_PROBE_ROUNDS && !outOfTime) {
            probeCandidates(job);
            addToNextRound(job);
        } else if (job.mayHaveRun() && !health.retryBudget().canRetry(now)) {
            refuseOrFail(job, Cause.NO_BUDGET);
        } else if (best != null && !waitsTooLong(job, best)) {
            boolean copies = settings.limits().secondCopies();
            var probed = copies ? null : ejectedWorkerToProbe(job);
            send(job, probed == null ? best : probed);
            var alsoProbed = copies ? ejectedWorkerToProbe(job) : null;
            if (alsoProbed != null) {
                health.retryBudget().chargeRetry(now);
                send(job, alsoProbed);
            }
        } else if (best != null || outOfTime || listOutdated && !job.mayHaveRun()) {
            refuseOrFail(job, listOutdated ? Cause.OUTDATED_LIST : best == null ? Cause.NO_BOX
                    : job.overShare ? Cause.OVER_SHARE
                    : best.observedWait > 2 * best.queueWait ? Cause.SILENT : Cause.BUSY);
        } else {
            addToNextRound(job);
        }
    }

    /**
     * Prevents a queue of answers that nobody waits for any more; jobs beyond a tenant's share are refused
     * first. As long as neither a cost hint nor a completed job shows how long jobs take, a queue says
     * nothing about the wait.
     */
    private boolean waitsTooLong(Job job, Worker best) {
        boolean runTimeUnknown = job.request.costHint() <= 0 && !estimates.hasRunTimes();
        double spare = (job.objectiveAt - now) / SECOND
                - (runTimeUnknown ? 0 : job.standardRunTime() / best.speed);
        double patience = Math.max(spare, job.jobClass.aim() / SECOND / 4);
        double observedWait = best.observedWait - (runTimeUnknown ? best.ownQueueWait() : 0);
        return !job.mayHaveRun() && observedWait > (job.overShare ? patience / 4 : patience);
    }

    /**
     * How long a worker with an overdue job has given no sign of life; without progress reports it can give
     * none.
     */
    private long silence(Attempt attempt) {
        long missing = attempt.awaited.overdueMicros(now);
        return attempt.awaited.lossProbability(now) > COPY_CERTAINTY ? missing
                : settings.progressInterval() > 0
                ? Math.min(missing, now - attempt.worker.health.lastActivityAt()) : 0;
    }

    private void onAttemptStarted(Attempt attempt) {
        if (attempt == null || attempt.ended || attempt.lostInRestart || attempt.startedAt > 0) {
            return;
        }
        var worker = attempt.worker;
        long waited = now - attempt.sentAt;
        worker.recordStart(attempt, now);
        long networkDelay = health.minStartDelay();
        boolean prompt = waited <= networkDelay * 2 + period;
        estimates.recordStart(worker, worker.runningSlots + worker.peerJobsBefore(attempt.sentAt), prompt);
        if (!health.wasStalled(now)) {
            worker.recordExcessWait(now, (worker.excessWait(now, 0) + unexplainedWait(attempt)) / 2);
            estimates.recordWait(warmUp(worker) < 1, unexplainedWait(attempt));
        }
        cancelQueuedCopies(attempt);
    }

    /**
     * When a job that is queued at two workers starts at one of them, cancels it at the other. An attempt
     * that was cancelled may still report its start before its worker has learned of that.
     */
    private void cancelQueuedCopies(Attempt started) {
        var attempts = queuesTwice && !started.cancelled ? started.job.attempts : List.<Attempt>of();
        for (var each : attempts) {
            if (each != started && !each.ended && !each.cancelled && each.startedAt == 0
                    && !each.awaited.isRecoveryProbe()) {
                recordQueueWait(each);
                estimates.recordWait(warmUp(each.worker) < 1, unexplainedWait(each));
                each.superseded = true;
                cancel(each);
            }
        }
    }

    private void recordQueueWait(Attempt attempt) {
        attempt.worker.recordExcessWait(now,
                Math.max(attempt.worker.excessWait(now, 0), unexplainedWait(attempt)));
    }

    /**
     * Seconds an attempt has waited for its start beyond what own work ahead of it and network latency
     * explain.
     */
    private double unexplainedWait(Attempt attempt) {
        return health.wasStalled(now) ? 0
                : Math.max(0, (now - attempt.dueAt - health.minStartDelay()) / SECOND);
    }

    private void recordOutcome(Attempt attempt, Outcome outcome) {
        var worker = attempt.worker;
        var sign = attempt.recordOutcome(outcome);
        attempt.awaited.ended(sign, attempt.job.failedElsewhere(worker), now);
        if (sign == Sign.SERVED && warmUp(worker) >= 1) {
            estimates.recordServed(attempt, !health.wasStalled(now), now);
        } else if (sign == Sign.TURNED_AWAY) {
            double backoff = FULL_BACKOFF_JOBS * workPerJob.mean / Math.max(1e-3, worker.workPerSecond);
            worker.health.recordFull(now, Math.max(period / SECOND, backoff));
        }
    }

    private void readReport(Worker worker, double[] report) {
        worker.applyReport(settings.field(report, ReportField.IN_FLIGHT),
                settings.field(report, ReportField.FREE_SLOTS), workPerJob.mean, estimates.speed(worker),
                now);
    }

    private void sweep() {
        if (settings.limits().cancel()) {
            jobs.values().stream().filter(job -> !job.closed && job.outstanding > 0)
                    .flatMap(job -> job.liveAttempts().limit(1))
                    .filter(this::isWorthCancelling).toList().forEach(this::cancel);
        }
        jobs.values().stream().filter(Job::hasSingleLiveAttempt)
                .map(Job::outstandingAttempt)
                .filter(each -> each.lostInRestart || silence(each) > 0 || waitsBehindOthers(each))
                .sorted((one, other) -> Long.compare(one.job.objectiveAt, other.job.objectiveAt)).toList()
                .forEach(this::hedge);
        if (!jobs.isEmpty()) {
            setTimer("sweep", sweepEvery, this::sweep);
        }
    }

    /**
     * Whether an attempt only wastes a slot: it waits for its start past the time at which its answer has any
     * worth, or it hangs while the job can be served without it or its answer is worthless. If an earlier
     * attempt was cancelled, the job itself may be heavier than its hint: the next one continues as long as
     * it reports the progress that a running job must report, since otherwise the work would restart forever.
     */
    private boolean isWorthCancelling(Attempt attempt) {
        var job = attempt.job;
        boolean worthless = now > job.objectiveAt && job.jobClass.lateWorth() == 0;
        if (job.jobClass.effect() == Effect.UNSAFE || !worthless && job.outstanding < 2) {
            return false;
        }
        boolean queued = settings.startsReported() && attempt.startedAt == 0
                && !attempt.awaited.isRecoveryProbe();
        boolean firstCancellation = job.attempts.stream()
                .noneMatch(each -> each.cancelled && !each.superseded);
        boolean hangs = attempt.awaited.lossProbability(now) > CANCEL_CERTAINTY
                && (firstCancellation || attempt.awaited.isRequiredSignMissing(now));
        return worthless && queued && now > job.cancelQueuedAt
                || hangs && (worthless || isReplaceable(attempt));
    }

    /**
     * Whether a copy may serve the job, or another worker would, in time, once this attempt has ended: where
     * the only other outstanding one was cancelled, it has the second copy's place until its worker answers.
     */
    private boolean isReplaceable(Attempt attempt) {
        var job = attempt.job;
        if (job.liveAttempts().count() > 1) {
            return true;
        }
        var other = health.retryBudget().canRetry(now) ? chooseSuccessor(attempt) : null;
        return other != null && isWorthIn(finishDelay(other, job), job);
    }

    /** The worker that the job would be sent to if the attempt had ended; null if there is none. */
    private Worker chooseSuccessor(Attempt attempt) {
        var job = attempt.job;
        job.outstanding--;
        var other = chooseWorker(job, attempt.worker);
        job.outstanding++;
        return other;
    }

    /** Whether an answer after so many seconds is still worth something. */
    private boolean isWorthIn(double seconds, Job job) {
        return now + seconds * SECOND <= (job.jobClass.lateWorth() > 0 ? job.deadline : job.objectiveAt);
    }

    /**
     * Whether a job waits behind other dispatchers' work and may be queued at a second worker. That costs no
     * work, as it is cancelled in one queue when it starts from the other. One attempt is reserved for
     * failures.
     */
    private boolean waitsBehindOthers(Attempt attempt) {
        return queuesTwice && attempt.startedAt == 0 && !attempt.lostInRestart
                && attempt.awaited.overdueMicros(now) > 0
                && attempt.job.attempts.size() < settings.limits().maxAttempts() - 1;
    }

    /**
     * Sends a copy of an attempt at a silent worker, or cancels it, if it would miss its latency objective
     * and another worker would not (request hedging, Dean and Barroso, "The Tail at Scale", 2013).
     */
    private void hedge(Attempt attempt) {
        var job = attempt.job;
        double lossProbability = attempt.awaited.lossProbability(now);
        boolean queued = waitsBehindOthers(attempt);
        double remaining = lossProbability > COPY_CERTAINTY ? Double.MAX_VALUE
                : 2 * silence(attempt) / SECOND + job.standardRunTime() / attempt.worker.speed;
        if (queued) {
            recordQueueWait(attempt);
        } else if (!health.retryBudget().canHedge(lossProbability, now)
                || now + remaining * SECOND <= job.objectiveAt) {
            return;
        }
        boolean copies = settings.limits().secondCopies();
        var other = copies ? chooseWorker(job, attempt.worker) : chooseSuccessor(attempt);
        double wait = other == null ? Double.MAX_VALUE
                : finishDelay(other, job) + (queued ? other.observedWait - other.wait : 0);
        // An attempt that has waited for a while is likely to wait as long again: only a shorter queue helps.
        if (!isWorthIn(wait, job)
                || queued && other.observedWait * SECOND > attempt.awaited.overdueMicros(now)
                || !queued && wait > remaining / 2) {
            return;
        }
        if (!queued) {
            health.retryBudget().chargeHedge(lossProbability, now);
        }
        if (copies) {
            send(job, other);
        } else if (settings.limits().cancel()) {
            cancel(attempt);
        }
    }

    private void onWorkerList(WorkerList list) {
        long wait = discovery.onListUpdate(list.kind(), now);
        log(discovery.takeLogLines(pool.listed(), now));
        if (wait != DiscoveryState.NO_CALL) {
            setTimer("ask", wait, () -> actionSink.accept(new Subscribe()));
        }
        if (list.kind().isWhole()) {
            workers.values().forEach(Worker::markGone);
        }
        list.workers().forEach(list.kind() == ListKind.FORGOTTEN ? this::forget : this::updateWorker);
        updatePool();
    }

    private void forget(WorkerInfo info) {
        if (workers.containsKey(info.id()) && workers.get(info.id()).isRemovable()) {
            byCode.values().remove(workers.remove(info.id()));
            health.forget(info.id());
        }
    }

    /**
     * Each dispatcher orders the workers differently, so that few dispatchers share a worker's connections.
     */
    private void updatePool() {
        var ready = pool.setWorkers(workers.values());
        health.setListed(ready.stream().map(worker -> worker.health).toList());
        estimates.setReadyWorkers(ready);
    }

    private void updateWorker(WorkerInfo info) {
        var worker = workers.computeIfAbsent(info.id(),
                id -> new Worker(id, settings.self(), health.worker(id)));
        if (worker.info != null && info.startedAt() > worker.info.startedAt()) {
            worker.restarted(now, info.startedAt());
        }
        worker.info = info;
        worker.health.updatePlacement(info.zone(), info.share());
        byCode.put(worker.code, worker);
    }
}
