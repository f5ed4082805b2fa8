package ryemast.lab.site;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import ryemast.lab.books.Books;
import ryemast.lab.books.Fingerprint;
import ryemast.lab.books.Job;
import ryemast.lab.books.Tries;
import ryemast.lab.books.Try;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Chance;
import ryemast.lab.world.Timeline;

/**
 * Everybody who sends jobs to the dispatchers: asks, waits, tries again and gives up as the scenario says,
 * and writes into the books what each was told.
 *
 * <p>In an open loop jobs come when they are due, whatever became of the ones before, and count from then on
 * though they may leave late (no coordinated omission); in a closed loop so many clients send one job after
 * the other. All that is drawn for a job comes from streams of its own number. A client whose time is up
 * stays a moment longer, so that the books can tell an answer that came late from one that never came.
 *
 * <p>Owned by one timeline; only the counts may be read from elsewhere.
 */
public final class Clients {

    /** How much longer than the grace a client waits for an answer that is already too late. */
    private static final long LINGER = 250_000;
    /** A client of a closed loop that reaches no dispatcher rests so long before its next job. */
    private static final long REST = 10_000;
    private static final int SERVED = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private static final Heavy NO_SPELLS = new Heavy() {
        @Override
        public double factor(int jobClass, long now, UniformRandomProvider draw) {
            return 1;
        }

        @Override
        public boolean poisoned(int jobClass, long now, UniformRandomProvider draw) {
            return false;
        }
    };

    private final Scenario scenario;
    private final Timeline time;
    private final Chance chance;
    private final Caller caller;
    private final Tries tries;
    private final Books books;
    private final Jobs jobs;
    private final Names names;
    private final Retrying retrying;
    private final Arrivals arrivals;
    private final Set<Errand> open = new LinkedHashSet<>();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private long beganAt;
    private volatile boolean allSent;

    public Clients(Scenario scenario, Timeline time, Chance chance, Caller caller, Tries tries, Books books) {
        this(scenario, time, chance, caller, tries, books, NO_SPELLS);
    }

    /** {@code spells}: what makes some jobs heavier, or poisoned, for a while. */
    public Clients(Scenario scenario, Timeline time, Chance chance, Caller caller, Tries tries, Books books,
            Heavy spells) {
        this.scenario = scenario;
        this.time = time;
        this.chance = chance;
        this.caller = caller;
        this.tries = tries;
        this.books = books;
        jobs = new Jobs(scenario, chance, spells);
        names = new Names(chance.seed());
        retrying = new Retrying(scenario);
        arrivals = new Arrivals(scenario.load(), scenario.length(), chance);
    }

    /** Jobs come from now on, for as long as the scenario says. */
    public void begin() {
        beganAt = time.now();
        if (scenario.load().ratePerSecond() > 0) {
            expectNext();
        } else {
            for (int i = 0; i < scenario.load().connections(); i++) {
                ask(beganAt, true);
            }
            time.at(beganAt + scenario.length(), () -> allSent = true);
        }
    }

    /** Whether no more jobs come and every one has been answered or given up. */
    public boolean quiet() {
        return allSent && answered.get() == asked.get();
    }

    /** No more jobs come, and all who still wait go away. */
    public void stop() {
        allSent = true;
        List.copyOf(open).forEach(Errand::leaveForGood);
    }

    /** Jobs that have been sent at least once. */
    public long asked() {
        return asked.get();
    }

    /** Jobs that are over: served, refused or failed for good, or given up. */
    public long answered() {
        return answered.get();
    }

    private void expectNext() {
        long next = arrivals.next();
        if (next == Arrivals.OVER) {
            allSent = true;
            return;
        }
        long dueAt = beganAt + next;
        time.at(dueAt, () -> {
            if (!allSent) {
                ask(dueAt, false);
                expectNext();
            }
        });
    }

    private void ask(long askedAt, boolean another) {
        var errand = new Errand(jobs.make(asked.get(), askedAt, time.now()), another);
        asked.incrementAndGet();
        open.add(errand);
        errand.send();
    }

    /** One job on its way, from its first try to its end. */
    private final class Errand {
        private final Job job;
        private final boolean another;
        private final UniformRandomProvider draw;
        private final boolean heeds;
        private int tried;
        private Request request;
        private Timeline.Timer retry;

        Errand(Job job, boolean another) {
            this.job = job;
            this.another = another;
            draw = chance.stream("job tries", job.number());
            heeds = retrying.heeds(draw);
        }

        void send() {
            var sent = new Try(names.of(job.number(), tried), job, tried, job.deadlineAt());
            tried++;
            tries.add(sent);
            request = new Request(this, sent);
            request.begin(draw.nextDouble() < scenario.clients().impatient(), draw.nextDouble());
        }

        void notServed(Retrying.Outcome outcome, long retryAfter) {
            long now = time.now();
            long wait = retrying.wait(scenario.classes().get(job.jobClass()).effect(), outcome, tried,
                    retryAfter, heeds, draw);
            if (wait != Retrying.NEVER && now + wait < job.deadlineAt()) {
                retry = time.at(now + wait, this::send);
            } else {
                over(outcome == Retrying.Outcome.NOT_TAKEN ? REST : 0);
            }
        }

        void over(long rest) {
            if (!open.remove(this)) {
                return;
            }
            answered.incrementAndGet();
            // Time must pass between two jobs of one client, or virtual time would stand still for ever.
            long next = Math.max(time.now() + rest, job.askedAt() + 1);
            if (another && next < beganAt + scenario.length()) {
                time.at(next, () -> {
                    if (!allSent) {
                        ask(next, true);
                    }
                });
            }
        }

        void leaveForGood() {
            if (retry != null) {
                retry.cancel();
            }
            if (request != null) {
                request.leave();
            }
            over(0);
        }
    }

    /** One try on its way. */
    private final class Request implements Caller.Ear {
        private final Errand errand;
        private final Try sent;
        private Timeline.Timer end;
        private Runnable goAway;
        private boolean whole;
        /** Of the body, so that the judge sees whether a box got this very one. */
        private long print;
        private boolean over;

        Request(Errand errand, Try sent) {
            this.errand = errand;
            this.sent = sent;
        }

        void begin(boolean impatient, double when) {
            long now = time.now();
            long patience = sent.until() - now;
            long leaveAt = impatient ? now + (long) (patience * when)
                    : sent.until() + scenario.rules().graceToAnswer() + LINGER;
            end = time.at(leaveAt, () -> {
                leave();
                errand.over(0);
            });
            var body = Names.body(sent.txn(), scenario.load().bodyBytes());
            print = Fingerprint.of(body);
            var job = sent.job();
            String org = scenario.tenants().isEmpty() ? "" : scenario.tenants().get(job.tenant()).name();
            goAway = caller.send(sent, scenario.classes().get(job.jobClass()).name(), org, body, this);
        }

        /** The client goes away without an answer. */
        void leave() {
            if (finish()) {
                books.left(sent.txn(), time.now());
                goAway.run();
            }
        }

        private boolean finish() {
            if (over) {
                return false;
            }
            over = true;
            end.cancel();
            return true;
        }

        @Override
        public void sent(int dispatcher) {
            if (!over) {
                whole = true;
                books.asked(sent, dispatcher, time.now(), print);
            }
        }

        @Override
        public void answered(int status, long retryAfter, String result) {
            if (!finish()) {
                return;
            }
            books.told(sent.txn(), time.now(), status, retryAfter, result);
            if (status == SERVED) {
                errand.over(0);
            } else if (status == TOO_MANY || status == UNAVAILABLE) {
                errand.notServed(Retrying.Outcome.REFUSED, retryAfter);
            } else {
                errand.notServed(Retrying.Outcome.FAILED, 0);
            }
        }

        @Override
        public void broke() {
            if (!finish()) {
                return;
            }
            books.broke(sent.txn(), time.now(), whole);
            errand.notServed(whole ? Retrying.Outcome.FAILED : Retrying.Outcome.NOT_TAKEN, 0);
        }
    }
}
