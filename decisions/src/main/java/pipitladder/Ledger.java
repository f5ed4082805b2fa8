package pipitladder;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.fleet.signals.Borrowed;
import ryemast.health.Awaited;
import ryemast.health.Box;
import ryemast.health.Sign;
import ryemast.limits.ColdBudget;

/** The books that {@link Brain} keeps: what is out, where, since when. Nothing is decided here. */
final class Ledger {

    static final double SECOND = 1e6;

    private Ledger() {
    }

    /** What a dispatcher tells its peers of a send: the worker's code and the work, in few bytes. */
    record Note(int worker, double work) {
        private static final Pattern FORM = Pattern.compile("[0-9a-z]{1,5}");
        private static final int CODES = 4096;
        private static final int SIZES = 64;
        private static final double SIZES_PER_E = 6;
        /** Messages may cost this part of the worth: the least difference that measurements can tell. */
        private static final double TOLD_WORTH = 0.01;
        /** What a message of few letters is charged as, in bytes. */
        private static final double MESSAGE = 16;

        /** How many of the sends may be told of, from 0 to 1. */
        static double tellable(Dispatcher.Settings settings) {
            double price = settings.prices().peerMessage() * (settings.dispatchers() - 1) * MESSAGE
                    / Dispatcher.Prices.MESSAGE_BYTES;
            return settings.limits().peerMessages() ? TOLD_WORTH / Math.max(TOLD_WORTH, price) : 0;
        }

        /** Empty for a text that another version may have sent. */
        static Optional<Note> of(String text) {
            if (!FORM.matcher(text).matches()) {
                return Optional.empty();
            }
            int number = Integer.parseInt(text, Character.MAX_RADIX);
            double work = Math.exp((number % SIZES - SIZES / 2) / SIZES_PER_E);
            return Optional.of(new Note(number / SIZES, work));
        }

        String text() {
            int size = (int) Math.round(SIZES_PER_E * Math.log(work)) + SIZES / 2;
            int number = worker * SIZES + Math.max(0, Math.min(SIZES - 1, size));
            return Integer.toString(number, Character.MAX_RADIX);
        }
    }

    /** A mean of samples in which old ones fade. */
    static final class Estimate {
        double samples;
        double mean;

        void learn(double value, double memory) {
            samples = samples * memory + 1;
            mean += (value - mean) / samples;
        }

        /** The mean, with a prior that weighs as much as so many samples. */
        double towards(double prior, double weight) {
            return (mean * samples + prior * weight) / (samples + weight);
        }
    }

    /** Work a second, lately. */
    static final class Flow {
        /** So many seconds count: of one job a second they leave a third to chance. */
        private static final double SECONDS = 20;
        /** Nothing can be said of less. */
        private static final double FEWEST_SECONDS = 5;
        private double sum;
        private long at;

        void add(long now, double work) {
            sum = sum * Math.exp((at - now) / SECOND / SECONDS) + work;
            at = now;
        }

        /** 0 until some seconds have passed {@code since}. */
        double perSecond(long now, long since) {
            double seconds = (now - since) / SECOND;
            double counted = SECONDS * (1 - Math.exp(-seconds / SECONDS));
            return seconds < FEWEST_SECONDS ? 0 : sum * Math.exp((at - now) / SECOND / SECONDS) / counted;
        }
    }

    /** What a timer does, and when it should. */
    record Alarm(long dueAt, Runnable due) {
    }

    /** A worker, this dispatcher's work there, and the evidence about it. */
    static final class Worker {
        /** Seconds for which a wait is remembered at least: longer than a queue of a few jobs lasts. */
        private static final double REMEMBERED = 3;

        final String id;
        /** The id in a few bits; two workers may share it. */
        final int code;
        /** Its place in the dispatcher's own order of workers. */
        final int order;
        WorkerInfo info;
        final List<Attempt> attempts = new ArrayList<>();
        /** Slots of the attempts out there; of those, the slots of jobs known to run. */
        double usedSlots;
        double runningSlots;
        /** Outstanding work in slot-seconds; a job known to run counts half, as on average half is left. */
        double work;
        long probedAt;
        private long sentAt = Long.MIN_VALUE;
        /** Others' jobs, as peers or load reports told of them. */
        final List<Told> told = new ArrayList<>();
        Borrowed borrowed;
        final Estimate logSpeed = new Estimate();
        double slotsSeen = 1;
        /** Seconds waited beyond what own work explains. */
        private double excess;
        private long excessAt;
        /** What is believed of its health. */
        final Box health;
        /** Time and work of every send within the last cold window. */
        private final ArrayDeque<double[]> recent = new ArrayDeque<>();
        /** The last draw that took it; as a mark here, a draw of many costs no search in a list. */
        long drawn;
        /** Brought up to date for each round. */
        double x;
        double speed;
        double rate;
        double cleared;
        double queueing;
        private double ownPart = 1;
        double wait;
        /** The part of the wait that this worker itself has shown, the usual wait left out. */
        double shown;

        Worker(String id, int dispatcher, Box health) {
            this.id = id;
            this.health = health;
            code = ColdBudget.mixed(id.hashCode()) & Note.CODES - 1;
            order = ColdBudget.mixed(code + dispatcher);
        }

        /**
         * The wait beyond what own jobs explain: other dispatchers' work, or trouble. What was seen fades
         * towards what is usual.
         */
        double excess(long now, double usual) {
            double kept = Math.exp((excessAt - now) / SECOND / Math.max(REMEMBERED, excess));
            return usual + (excess - usual) * kept;
        }

        void missed(long now, double seconds) {
            excess = seconds;
            excessAt = now;
        }

        void unlist() {
            info = new WorkerInfo(id, WorkerState.GONE, info.kind(), info.zone(), info.cell(), info.weight(),
                    info.startedAt(), info.share());
        }

        /** When a job was last sent there, or the worker was last seen to live if that is later. */
        long usedAt() {
            return Math.max(sentAt, health.life().until());
        }

        void sent(long now, double work, long window) {
            sentAt = now;
            workSentSince(now - window);
            recent.add(new double[] {now, work});
        }

        double workSentSince(long time) {
            while (!recent.isEmpty() && recent.peek()[0] <= time) {
                recent.poll();
            }
            return recent.stream().mapToDouble(sent -> sent[1]).sum();
        }

        /** What a load report tells: jobs in hand beyond our own are others'; below 0: it tells nothing. */
        void reported(double inFlight, double free, double meanWork, double speed, long now) {
            if (inFlight < 0) {
                return;
            }
            slotsSeen = free > 0 ? Math.max(1, Math.round(inFlight + free)) : slotsSeen;
            told.clear();
            for (double more = inFlight - usedSlots; more >= 0.5; more--) {
                double run = meanWork / speed * (1 + more / slotsSeen);
                told.add(new Told(now, now + (long) (run * SECOND), meanWork));
            }
        }

        /** What peers' signals come to now; null: nothing is known from them. */
        void borrow(Borrowed from, long now) {
            borrowed = from;
            health.borrow(from == null ? 0 : from.suspicion(), now);
        }

        double toldSlots(long now) {
            return borrowed == null ? told.size()
                    : Math.max(told.size(), borrowed.jobs() * borrowed.loadDecay(now));
        }

        /** What is left by now of the jobs that peers told of, one way or the other. */
        double toldWork(long now, double speed) {
            told.removeIf(each -> each.until() <= now);
            double sum = 0;
            for (var each : told) {
                sum += Math.min(each.work(), (each.until() - now) / SECOND * speed);
            }
            double all = borrowed == null ? sum : Math.max(sum, borrowed.work() * borrowed.loadDecay(now));
            ownPart = all > sum ? (work + sum) / (work + all) : 1;
            return all;
        }

        /** The wait in its queue but for what peers' signals tell: they say where a job goes, not whether. */
        double ownQueueing() {
            return queueing * ownPart;
        }

        long toldBefore(long time) {
            return told.stream().filter(each -> each.at() < time).count();
        }

        Attempt take(Attempt attempt) {
            attempts.add(attempt);
            attempt.job.attempts.add(attempt);
            attempt.job.outstanding++;
            usedSlots += attempt.job.request.slots();
            work += attempt.job.work;
            return attempt;
        }

        void started(Attempt attempt, long now) {
            attempt.awaited.started(now);
            attempt.startedAt = now;
            runningSlots += attempt.job.request.slots();
            work -= attempt.job.work / 2;
        }

        void release(Attempt attempt) {
            attempt.ended = true;
            attempt.job.outstanding--;
            if (attempts.remove(attempt) && !attempt.lost) {
                takeOff(attempt);
            }
        }

        /** Off the list, with nothing out there. */
        boolean isOver() {
            return attempts.isEmpty() && info.state() == WorkerState.GONE;
        }

        /** Its process is new: nothing seen of the former one holds. */
        void startedAnew(long now, long start) {
            missed(now, 0);
            health.startedAnew(start);
            giveUpOnSentBefore(start);
        }

        /** The attempts are still out, but their jobs were lost when the worker started anew. */
        private void giveUpOnSentBefore(long start) {
            told.clear();
            borrowed = null;
            for (var attempt : attempts) {
                if (attempt.sentAt < start && !attempt.lost) {
                    attempt.lost = true;
                    takeOff(attempt);
                }
            }
        }

        private void takeOff(Attempt attempt) {
            boolean ran = attempt.startedAt > 0;
            usedSlots -= attempt.job.request.slots();
            runningSlots -= ran ? attempt.job.request.slots() : 0;
            work = usedSlots > 0 ? work - (ran ? attempt.job.work / 2 : attempt.job.work) : 0;
        }
    }

    /** A job of another dispatcher, and until when it is expected to run. */
    record Told(long at, long until, double work) {
    }

    /** One send of a job to a worker. */
    static final class Attempt {
        final Job job;
        final Worker worker;
        final long sentAt;
        /** When it should start by own work alone. */
        final long dueAt;
        /** Until when it may be written to the worker. */
        final long beginBy;
        final Awaited awaited;
        final double workAhead;
        long startedAt;
        boolean ended;
        boolean lost;
        boolean mayHaveRun = true;
        /** We have asked its worker to stop it. */
        boolean cancelled;
        /** It has ended by our word alone. */
        boolean givenUp;
        /** Ended in trouble, whoever was to blame. */
        boolean failed;

        Attempt(Job job, Worker worker, long sentAt, long dueAt, long beginBy) {
            this.job = job;
            this.worker = worker;
            this.sentAt = sentAt;
            this.dueAt = dueAt;
            this.beginBy = Math.min(beginBy, job.repeatsBeginBy());
            this.awaited = worker.health.sent(sentAt, dueAt, job.length() / Math.max(1e-3, worker.speed),
                    job.request.jobClass());
            this.workAhead = worker.work;
        }

        /** What its end tells of the worker. */
        Sign end(Outcome outcome) {
            var sign = switch (outcome) {
                case SUCCESS -> Sign.SERVED;
                case ERROR -> Sign.ERROR;
                case REJECTED -> Sign.TURNED_AWAY;
                case CONNECT_FAILED -> Sign.NO_CONNECTION;
                case RESET -> Sign.RESET;
                case TIMED_OUT, CANCELLED -> Sign.NOTHING;
                case NOT_SENT, UNUSABLE -> Sign.NO_EVIDENCE;
            };
            givenUp = outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT;
            failed = sign != Sign.SERVED && sign != Sign.NO_EVIDENCE;
            return sign;
        }
    }

    /** A request and its attempts. */
    static final class Job {
        /** The design counts a job without a cost hint as one unit of work. */
        private static final double WORK_WITHOUT_HINT = 1;
        /** A hint errs by about 0.7 in its logarithm: one job in a hundred takes longer by more of them. */
        private static final double MOST_HINTS = 4;

        final Request request;
        final JobClass jobClass;
        final long aimAt;
        /**
         * An aim stretched by the run time follows the true one, not the hint. Alone we wait until hardly any
         * job would still be in time; where the queues are others' work, nothing else keeps these short.
         */
        final long hopelessAt;
        final long deadline;
        /** Slots times hint, in slot-seconds. */
        final double work;
        final boolean overShare;
        final List<Attempt> attempts = new ArrayList<>(1);
        int outstanding;
        boolean closed;
        /** A worker has said that no worker can use it. */
        boolean unusable;
        /** Workers drawn ahead and probed; null if none were. */
        List<Worker> candidates;
        int draws;

        Job(Request request, JobClass jobClass, long now, boolean overShare, int dispatchers) {
            this.request = request;
            this.jobClass = jobClass;
            this.overShare = overShare;
            double hint = request.costHint() > 0 ? request.costHint() / SECOND : WORK_WITHOUT_HINT;
            work = request.slots() * hint;
            deadline = now + request.timeLeft();
            long spent = Math.max(0, jobClass.deadline() - request.timeLeft());
            long stretched = (long) (jobClass.aimStretch() * request.costHint());
            aimAt = Math.min(deadline, now - spent + jobClass.aim() + stretched);
            hopelessAt = Math.min(deadline, aimAt + (long) (MOST_HINTS / dispatchers * stretched));
        }

        /**
         * The order of a round: what is beyond its tenant's share comes last, then the first aim. Not made by
         * {@link java.util.Comparator}'s own methods, whose parts no archive of classes holds: a start would
         * pay 15 ms for them.
         */
        static int byShareAndAim(Job one, Job other) {
            int byShare = Boolean.compare(one.overShare, other.overShare);
            return byShare != 0 ? byShare : Long.compare(one.aimAt, other.aimAt);
        }

        /** Its run time on a worker of speed 1, in seconds. */
        double length() {
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
         * Whether an attempt there is out or was given up. Word of the latter goes by a way of its own and
         * may come late or not at all, so that the worker may still have the job, and it gets one attempt of
         * a job at a time.
         */
        boolean mayStillBeAt(Worker worker) {
            for (var attempt : attempts) {
                if ((!attempt.ended || attempt.givenUp) && attempt.worker == worker) {
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

        /** The attempt that is out, where one is. */
        Attempt lastOut() {
            return attempts.stream().filter(attempt -> !attempt.ended).findFirst().orElseThrow();
        }

        /** Whether it relies on one attempt alone, which we have not asked its worker to stop. */
        boolean relies() {
            return !closed && outstanding == 1 && !lastOut().cancelled;
        }

        boolean mayHaveRun() {
            return firstRunAt() < Long.MAX_VALUE;
        }

        /** Whether another attempt could not let the effect happen twice. */
        boolean isHarmlessToRepeat() {
            return jobClass.effect() == Dispatcher.Effect.REPEATABLE || !mayHaveRun();
        }

        /** When the first attempt that may have run was sent; the largest number if there is none. */
        long firstRunAt() {
            for (var attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return attempt.sentAt;
                }
            }
            return Long.MAX_VALUE;
        }

        /**
         * Until when a further attempt may begin: workers drop the repeats of a keyed job for a while only.
         */
        long repeatsBeginBy() {
            return jobClass.effect() == Dispatcher.Effect.KEYED && mayHaveRun()
                    ? firstRunAt() + jobClass.keyWindow() : Long.MAX_VALUE;
        }

        /** Whether a repeat would be known for one; not from {@code slack} before the window's end on. */
        boolean isKeyRemembered(long now, long slack) {
            return jobClass.effect() == Dispatcher.Effect.KEYED
                    && now < firstRunAt() + jobClass.keyWindow() - slack;
        }

        /** Whether a worker shares its memory of keys with every worker that may have run the job. */
        boolean keyReaches(WorkerInfo other) {
            for (var attempt : attempts) {
                var one = attempt.worker.info;
                boolean shared = switch (jobClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> one.zone() == other.zone();
                    case CELL -> one.cell() == other.cell();
                };
                if (attempt.mayHaveRun && !shared) {
                    return false;
                }
            }
            return true;
        }
    }
}
