package pipitladder;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.fleet.signals.Borrowed;
import ryemast.health.AttemptMonitor;
import ryemast.health.WorkerHealth;
import ryemast.health.Sign;
import ryemast.limits.SlowStartBudget;

/** The state that {@link Brain} keeps of workers, jobs and attempts. It makes no decisions. */
final class DispatchState {

    static final double SECOND = 1e6;

    private DispatchState() {
    }

    /** An exponentially weighted mean. */
    static final class DecayingMean {
        double samples;
        double mean;

        void add(double value, double memory) {
            samples = samples * memory + 1;
            mean += (value - mean) / samples;
        }

        /** The mean, combined with a prior that has the weight of so many samples. */
        double withPrior(double prior, double weight) {
            return (mean * samples + prior * weight) / (samples + weight);
        }
    }

    /** Work per second, averaged exponentially over recent time. */
    static final class DecayingRate {
        /** The time constant: at one job per second, 20 s leave a third to chance. */
        private static final double TIME_CONSTANT = 20;
        /** Below this the average is not meaningful. */
        private static final double MIN_SECONDS = 5;
        private double sum;
        private long updatedAt;

        void add(long now, double work) {
            sum = sum * Math.exp((updatedAt - now) / SECOND / TIME_CONSTANT) + work;
            updatedAt = now;
        }

        /** 0 until some seconds have passed {@code since}. */
        double perSecond(long now, long since) {
            double seconds = (now - since) / SECOND;
            double counted = TIME_CONSTANT * (1 - Math.exp(-seconds / TIME_CONSTANT));
            return seconds < MIN_SECONDS ? 0
                    : sum * Math.exp((updatedAt - now) / SECOND / TIME_CONSTANT) / counted;
        }
    }

    /** A timer's task and due time. */
    record Timer(long dueAt, Runnable task) {
    }

    /** A worker, this dispatcher's work there, and the evidence about it. */
    static final class Worker {
        /** Minimum decay time of a wait, in seconds: longer than a queue of a few jobs lasts. */
        private static final double MIN_WAIT_DECAY = 3;

        final String id;
        /** A hash of the id with few bits; two workers may share it. */
        final int code;
        /** Its position in the dispatcher's own order of workers. */
        final int order;
        WorkerInfo info;
        final List<Attempt> attempts = new ArrayList<>();
        /** Slots of the outstanding attempts, and of those whose jobs are known to be running. */
        double usedSlots;
        double runningSlots;
        /** Outstanding work in slot-seconds; a running job counts half, as half of it is left on average. */
        double work;
        long probedAt;
        private long sentAt = Long.MIN_VALUE;
        /** Other dispatchers' jobs, as reported by peers or by load reports. */
        final List<PeerJob> peerJobs = new ArrayList<>();
        Borrowed peerEvidence;
        final DecayingMean logSpeed = new DecayingMean();
        double observedSlots = 1;
        /** Seconds waited beyond what own work explains. */
        private double excessWait;
        private long excessWaitAt;
        /** Its health estimate. */
        final WorkerHealth health;
        /** Time and work of every send within the last slow-start window. */
        private final ArrayDeque<double[]> recentSends = new ArrayDeque<>();
        /** The last draw that included this worker; stored here so that draws need no search in a list. */
        long lastDraw;
        /** Updated for each round. */
        double backlog;
        double speed;
        double workPerSecond;
        double workPerPeriod;
        double queueWait;
        private double ownShare = 1;
        double wait;
        /** The part of the wait that was observed at this worker itself, without the usual wait. */
        double observedWait;

        Worker(String id, int dispatcher, WorkerHealth health) {
            this.id = id;
            this.health = health;
            code = SlowStartBudget.mixBits(id.hashCode()) & SendReport.WORKER_CODES - 1;
            order = SlowStartBudget.mixBits(code + dispatcher);
        }

        /**
         * The wait beyond what own jobs explain (others' work, or a fault); decays towards the usual wait.
         */
        double excessWait(long now, double usual) {
            double decay = Math.exp((excessWaitAt - now) / SECOND / Math.max(MIN_WAIT_DECAY, excessWait));
            return usual + (excessWait - usual) * decay;
        }

        void recordExcessWait(long now, double seconds) {
            excessWait = seconds;
            excessWaitAt = now;
        }

        void markGone() {
            info = new WorkerInfo(id, WorkerState.GONE, info.kind(), info.zone(), info.cell(), info.weight(),
                    info.startedAt(), info.share());
        }

        /** When a job was last sent there, or when the worker was last seen running if that is later. */
        long lastUsedAt() {
            return Math.max(sentAt, health.processLife().aliveUntil());
        }

        void recordSend(long now, double work, long window) {
            sentAt = now;
            workSentSince(now - window);
            recentSends.add(new double[] {now, work});
        }

        double workSentSince(long time) {
            while (!recentSends.isEmpty() && recentSends.peek()[0] <= time) {
                recentSends.poll();
            }
            return recentSends.stream().mapToDouble(sent -> sent[1]).sum();
        }

        /** Applies a load report: further jobs in flight are other dispatchers'; below 0 means no report. */
        void applyReport(double inFlight, double free, double meanWork, double speed, long now) {
            if (inFlight < 0) {
                return;
            }
            observedSlots = free > 0 ? Math.max(1, Math.round(inFlight + free)) : observedSlots;
            peerJobs.clear();
            for (double others = inFlight - usedSlots; others >= 0.5; others--) {
                double run = meanWork / speed * (1 + others / observedSlots);
                peerJobs.add(new PeerJob(now, now + (long) (run * SECOND), meanWork));
            }
        }

        /** Stores the peers' evidence; null: there is none. */
        void setPeerEvidence(Borrowed evidence, long now) {
            peerEvidence = evidence;
            health.setPeerSuspicion(evidence == null ? 0 : evidence.suspicion(), now);
        }

        double peerSlots(long now) {
            return peerEvidence == null ? peerJobs.size()
                    : Math.max(peerJobs.size(), peerEvidence.jobs() * peerEvidence.loadDecay(now));
        }

        /** What remains of the peers' jobs, the larger of the two sources counting. */
        double peerWork(long now, double speed) {
            peerJobs.removeIf(each -> each.expectedEndAt() <= now);
            double sum = 0;
            for (var each : peerJobs) {
                sum += Math.min(each.work(), (each.expectedEndAt() - now) / SECOND * speed);
            }
            double total = peerEvidence == null ? sum
                    : Math.max(sum, peerEvidence.work() * peerEvidence.loadDecay(now));
            ownShare = total > sum ? (work + sum) / (work + total) : 1;
            return total;
        }

        /** The queue wait without peers' evidence, which influences where a job goes but not whether. */
        double ownQueueWait() {
            return queueWait * ownShare;
        }

        long peerJobsBefore(long time) {
            return peerJobs.stream().filter(each -> each.reportedAt() < time).count();
        }

        Attempt add(Attempt attempt) {
            attempts.add(attempt);
            attempt.job.attempts.add(attempt);
            attempt.job.outstanding++;
            usedSlots += attempt.job.request.slots();
            work += attempt.job.work;
            return attempt;
        }

        void recordStart(Attempt attempt, long now) {
            attempt.awaited.started(now);
            attempt.startedAt = now;
            runningSlots += attempt.job.request.slots();
            work -= attempt.job.work / 2;
        }

        void release(Attempt attempt) {
            attempt.ended = true;
            attempt.job.outstanding--;
            if (attempts.remove(attempt) && !attempt.lostInRestart) {
                releaseCapacity(attempt);
            }
        }

        /** Whether the worker is off the list and has no outstanding attempts. */
        boolean isRemovable() {
            return attempts.isEmpty() && info.state() == WorkerState.GONE;
        }

        /** The process was replaced: discards observations of the previous one. */
        void restarted(long now, long start) {
            recordExcessWait(now, 0);
            health.processRestarted(start);
            dropLostAttempts(start);
        }

        /** The attempts are still outstanding, but their jobs were lost in the worker's restart. */
        private void dropLostAttempts(long start) {
            peerJobs.clear();
            peerEvidence = null;
            for (var attempt : attempts) {
                if (attempt.sentAt < start && !attempt.lostInRestart) {
                    attempt.lostInRestart = true;
                    releaseCapacity(attempt);
                }
            }
        }

        private void releaseCapacity(Attempt attempt) {
            boolean ran = attempt.startedAt > 0;
            usedSlots -= attempt.job.request.slots();
            runningSlots -= ran ? attempt.job.request.slots() : 0;
            work = usedSlots > 0 ? work - (ran ? attempt.job.work / 2 : attempt.job.work) : 0;
        }
    }

    /** A job of another dispatcher, and when it is expected to end. */
    record PeerJob(long reportedAt, long expectedEndAt, double work) {
    }

    /** One send of a job to a worker. */
    static final class Attempt {
        final Job job;
        final Worker worker;
        final long sentAt;
        /** The expected start, taking only own work into account. */
        final long dueAt;
        /** The latest time at which it may be written to the worker. */
        final long beginBy;
        final AttemptMonitor awaited;
        final double workAhead;
        long startedAt;
        boolean ended;
        boolean lostInRestart;
        boolean mayHaveRun = true;
        /** Whether the worker was asked to stop it. */
        boolean cancelled;
        /** Whether it was cancelled in its queue, as the job had started at another worker. */
        boolean superseded;
        /** Whether it was ended by this side alone, by a cancellation or a time-out. */
        boolean abandoned;
        /** Whether it ended without success, whatever the cause. */
        boolean failed;

        Attempt(Job job, Worker worker, long sentAt, long dueAt, long beginBy) {
            this.job = job;
            this.worker = worker;
            this.sentAt = sentAt;
            this.dueAt = dueAt;
            this.beginBy = Math.min(beginBy, job.repeatsMustBeginBy());
            this.awaited = worker.health.recordSend(sentAt, dueAt,
                    job.standardRunTime() / Math.max(1e-3, worker.speed), job.request.jobClass());
            this.workAhead = worker.work;
        }

        /** Records the outcome; returns what it indicates about the worker. */
        Sign recordOutcome(Outcome outcome) {
            var sign = switch (outcome) {
                case SUCCESS -> Sign.SERVED;
                case ERROR -> Sign.ERROR;
                case REJECTED -> Sign.TURNED_AWAY;
                case CONNECT_FAILED -> Sign.NO_CONNECTION;
                case RESET -> Sign.RESET;
                case TIMED_OUT, CANCELLED -> Sign.NOTHING;
                case NOT_SENT, UNUSABLE -> Sign.NO_EVIDENCE;
            };
            abandoned = outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT;
            failed = sign != Sign.SERVED && sign != Sign.NO_EVIDENCE;
            return sign;
        }
    }

    /** A request and its attempts. */
    static final class Job {
        /** The design counts a job without a cost hint as one unit of work. */
        private static final double WORK_WITHOUT_HINT = 1;
        /** A hint's logarithm errs by about 0.7: one job in a hundred takes more than this multiple. */
        private static final double MAX_HINT_MULTIPLE = 4;

        final Request request;
        final JobClass jobClass;
        final long objectiveAt;
        /**
         * An objective stretched by the run time depends on the true run time, not the hint. One dispatcher
         * waits until hardly any job would be in time; with many, nothing else keeps the queues short.
         */
        final long cancelQueuedAt;
        final long deadline;
        /** Slots times hint, in slot-seconds. */
        final double work;
        final boolean overShare;
        final List<Attempt> attempts = new ArrayList<>(1);
        int outstanding;
        boolean closed;
        /** Whether a worker reported that no worker can process the job. */
        boolean unusable;
        /** Workers drawn in advance and probed; null if none were. */
        List<Worker> candidates;
        int probeRounds;

        Job(Request request, JobClass jobClass, long now, boolean overShare, int dispatchers) {
            this.request = request;
            this.jobClass = jobClass;
            this.overShare = overShare;
            double hint = request.costHint() > 0 ? request.costHint() / SECOND : WORK_WITHOUT_HINT;
            work = request.slots() * hint;
            deadline = now + request.timeLeft();
            long spent = Math.max(0, jobClass.deadline() - request.timeLeft());
            long stretched = (long) (jobClass.aimStretch() * request.costHint());
            objectiveAt = Math.min(deadline, now - spent + jobClass.aim() + stretched);
            cancelQueuedAt = Math.min(deadline,
                    objectiveAt + (long) (MAX_HINT_MULTIPLE / dispatchers * stretched));
        }

        /**
         * The order of a round: jobs beyond a tenant's share last, then by latency objective. The combinators
         * of {@link java.util.Comparator} are in no class data archive and would cost 15 ms at startup.
         */
        static int byShareAndObjective(Job one, Job other) {
            int byShare = Boolean.compare(one.overShare, other.overShare);
            return byShare != 0 ? byShare : Long.compare(one.objectiveAt, other.objectiveAt);
        }

        /** Its run time on a worker of speed 1, in seconds. */
        double standardRunTime() {
            return work / request.slots();
        }

        boolean failedAt(Worker worker) {
            for (var attempt : attempts) {
                if (attempt.failed && attempt.worker == worker) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Whether an attempt at the worker is outstanding or was abandoned. A cancellation is sent on its own
         * path and may arrive late or never, so that the worker may still have the job; it gets one attempt
         * of a job at a time.
         */
        boolean mayStillBeAt(Worker worker) {
            for (var attempt : attempts) {
                if ((!attempt.ended || attempt.abandoned) && attempt.worker == worker) {
                    return true;
                }
            }
            return false;
        }

        /** Whether an attempt at another worker has failed. */
        boolean failedElsewhere(Worker worker) {
            for (var attempt : attempts) {
                if (attempt.failed && attempt.worker != worker) {
                    return true;
                }
            }
            return false;
        }

        /** The outstanding attempt, if there is one. */
        Attempt outstandingAttempt() {
            return attempts.stream().filter(attempt -> !attempt.ended).findFirst().orElseThrow();
        }

        /** The outstanding attempts that were not cancelled, the earliest first. */
        Stream<Attempt> liveAttempts() {
            return attempts.stream().filter(attempt -> !attempt.ended && !attempt.cancelled);
        }

        /** Whether it depends on a single attempt that was not cancelled. */
        boolean hasSingleLiveAttempt() {
            return !closed && outstanding == 1 && !outstandingAttempt().cancelled;
        }

        boolean mayHaveRun() {
            return firstRunAt() < Long.MAX_VALUE;
        }

        /** Whether another attempt can't cause the effect twice. */
        boolean isHarmlessToRepeat() {
            return jobClass.effect() == Dispatcher.Effect.REPEATABLE || !mayHaveRun();
        }

        /** When the first attempt that may have run was sent; {@code Long.MAX_VALUE} if there is none. */
        long firstRunAt() {
            for (var attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return attempt.sentAt;
                }
            }
            return Long.MAX_VALUE;
        }

        /**
         * The latest start of a further attempt, as repeats of a keyed job are deduplicated for a limited
         * time.
         */
        long repeatsMustBeginBy() {
            return jobClass.effect() == Dispatcher.Effect.KEYED && mayHaveRun()
                    ? firstRunAt() + jobClass.keyWindow() : Long.MAX_VALUE;
        }

        /** Whether a repeat would be recognised; false from {@code slack} before the end of the window. */
        boolean isKeyRemembered(long now, long slack) {
            return jobClass.effect() == Dispatcher.Effect.KEYED
                    && now < firstRunAt() + jobClass.keyWindow() - slack;
        }

        /** Whether the worker shares its key store with every worker that may have run the job. */
        boolean keyIsSharedWith(WorkerInfo other) {
            for (var attempt : attempts) {
                var holder = attempt.worker.info;
                boolean shared = switch (jobClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> holder.zone() == other.zone();
                    case CELL -> holder.cell() == other.cell();
                };
                if (attempt.mayHaveRun && !shared) {
                    return false;
                }
            }
            return true;
        }
    }
}
