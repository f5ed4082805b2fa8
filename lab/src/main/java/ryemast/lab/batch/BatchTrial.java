package ryemast.lab.batch;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.ExitTimeoutException;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;
import ryemast.drmaa.TryLaterException;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.DispatcherStats;
import ryemast.lab.books.Fingerprint;

/**
 * A term in a minute: two submitters share a session and hand in arrays that mix both classes, while their
 * connections are cut, boxes crash and the dispatcher is killed outright at drawn moments of its progress.
 * In the end every job must have one final state, and the boxes' own books must know of no sticker that ran
 * twice.
 */
public final class BatchTrial {

    private static final String SESSION = "term";
    private static final String[] OFFICES = {"north-office", "south-office"};
    private static final long PATIENCE_MS = 60_000;
    private static final long POLL_MS = 10;
    /** Of the jobs, so many at most are submitted and not over: submissions go on until the last quarter. */
    private static final double AHEAD = 0.25;
    private static final int REAPED_OF = 10;
    private static final int AGAIN_MS = 50;

    private final TrialPlan plan;
    private final Consumer<String> live;
    private final SplittableRandom random;
    private final BatchBooks books = new BatchBooks();
    private final Map<String, Boolean> accepted = new ConcurrentHashMap<>();
    private final Map<String, String> told = new ConcurrentHashMap<>();
    private final Set<String> twice = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> reasons = new ConcurrentHashMap<>();
    private final AtomicInteger cuts = new AtomicInteger();
    private final List<Long> recoveryMs = new ArrayList<>();
    /** By the ids that submitters know: by what boxes know. */
    private final Map<String, String> boxNames = new ConcurrentHashMap<>();
    private volatile int over;
    private volatile boolean ended;
    private volatile String failure;
    private int kills;

    public BatchTrial(TrialPlan plan, Consumer<String> live) {
        this.plan = plan;
        this.live = live;
        random = new SplittableRandom(plan.seed() * 31 + 7);
    }

    /** Runs it whole; an {@link IOException} says what kept it from being run. */
    public TrialResult run() throws IOException, InterruptedException {
        var careless = plan.careless() ? List.of("-Dryemast.batch.careless=true") : List.<String>of();
        long begin = System.nanoTime();
        try (var site = new BatchSite(plan.scenario(), books, plan.logs(), "",
                careless, true)) {
            site.start();
            return trial(site, begin);
        } catch (DrmaaException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private TrialResult trial(BatchSite site, long begin) throws IOException, DrmaaException,
            InterruptedException {
        var first = site.remote(OFFICES[0], SESSION, PATIENCE_MS);
        first.create(SESSION);
        var threads = new ArrayList<Thread>();
        for (int i = 0; i < OFFICES.length; i++) {
            int office = i;
            var remote = i == 0 ? first : site.remote(OFFICES[i], SESSION, PATIENCE_MS);
            threads.add(thread("submitter " + i, () -> submit(remote, office)));
            var waiter = site.remote(OFFICES[i], SESSION, PATIENCE_MS);
            threads.add(thread("waiter " + i, () -> await(waiter)));
            threads.add(thread("cutter " + i, () -> cut(remote, waiter, office)));
        }
        threads.forEach(Thread::start);
        watch(site);
        ended = true;
        var last = site.remote(OFFICES[0], SESSION, PATIENCE_MS);
        if (failure == null) {
            collect(last);
        }
        for (var each : threads) {
            each.join(PATIENCE_MS);
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        var stats = site.site().stats().get(0);
        site.site().interrupt();
        site.join();
        return result(site, stats, seconds);
    }

    private interface Deed {
        void run() throws DrmaaException, InterruptedException;
    }

    private Thread thread(String name, Deed deed) {
        var thread = new Thread(() -> {
            try {
                deed.run();
            } catch (DrmaaException | RuntimeException e) {
                if (!ended) {
                    failure = name + ": " + e;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Every second array is this office's. */
    private void submit(Remote remote, int office) throws DrmaaException, InterruptedException {
        var own = new SplittableRandom(plan.seed() * 97 + office);
        for (int i = office; i < plan.arrays(); i += OFFICES.length) {
            int packs = part(plan.jobs(), i);
            int stickers = part(plan.stickers(), i);
            if (packs + stickers == 0) {
                continue;
            }
            while (failure == null && accepted.size() - over > AHEAD * plan.all()
                    + plan.all() / plan.arrays()) {
                Thread.sleep(POLL_MS);
            }
            var id = String.format("t%05d-%016x", i, own.nextLong());
            var body = ("pack " + i).getBytes(StandardCharsets.UTF_8);
            books.register(id, new BatchBooks.Submission(packs, stickers, Fingerprint.of(body),
                    plan.workMs() * 1_000,
                    plan.workMs() * 1_000));
            var parts = new ArrayList<Remote.Part>();
            if (packs > 0) {
                parts.add(new Remote.Part(template(BatchSite.PACK, body), packs));
            }
            if (stickers > 0) {
                parts.add(new Remote.Part(template(BatchSite.STICKER, body), stickers));
            }
            var taken = submitted(remote, parts, id);
            int slot = 0;
            for (var job : taken.ids()) {
                boxNames.put(job, id + "." + taken.array() + "." + slot++);
                accepted.put(job, true);
            }
        }
    }

    private Remote.Taken submitted(Remote remote, List<Remote.Part> parts, String id)
            throws DrmaaException, InterruptedException {
        while (true) {
            try {
                return remote.submit(parts, id, 1, 1, 0);
            } catch (TryLaterException e) {
                // As the dispatcher said: later. The same name takes nothing twice.
                Thread.sleep(AGAIN_MS);
            }
        }
    }

    private int part(int all, int number) {
        return (int) ((long) all * (number + 1) / plan.arrays() - (long) all * number / plan.arrays());
    }

    private JobTemplate template(String name, byte[] body) throws DrmaaException {
        var template = new JobTemplate();
        template.setRemoteCommand(name);
        template.setArgs(List.of("/api/" + JobTemplate.PARAMETRIC_INDEX));
        template.setBody(body);
        template.setFailures(100);
        return template;
    }

    /** Fetches jobs as they end, and lets one in ten be forgotten then. */
    private void await(Remote remote) throws DrmaaException {
        int count = 0;
        while (!ended && failure == null) {
            try {
                var job = remote.waitAny(null, 1_000);
                if (job != null) {
                    tell(job.jobId(), job.state(), job.reason());
                    if (count++ % REAPED_OF == 0) {
                        remote.reap(List.of(job.jobId()));
                    }
                }
            } catch (ExitTimeoutException | ryemast.drmaa.InvalidJobException e) {
                // Nothing is open at this moment.
                pause(POLL_MS);
            }
        }
    }

    private void tell(String job, String state, String reason) {
        var before = told.put(job, state);
        if (before != null && !before.equals(state)) {
            twice.add(job);
        }
        if (before == null && state.equals("failed")) {
            reasons.merge(reason.replaceAll("at box-[^ ]*", "at a box"), 1, Integer::sum);
        }
    }

    /** At drawn moments of progress, and as often in the midst of a submission as at any other time. */
    private void cut(Remote submitter, Remote waiter, int office) {
        var own = new SplittableRandom(plan.seed() * 131 + office);
        int mine = plan.cuts() / OFFICES.length + (office < plan.cuts() % OFFICES.length ? 1 : 0);
        var at = new ArrayList<Integer>();
        for (int i = 0; i < mine; i++) {
            at.add((int) (plan.all() * (0.02 + 0.8 * own.nextDouble())));
        }
        at.sort(null);
        for (int when : at) {
            while (!ended && accepted.size() < when && over < when) {
                pause(1);
            }
            pause(own.nextInt(20));
            (own.nextInt(3) > 0 ? submitter : waiter).cut();
            cuts.incrementAndGet();
        }
    }

    /** Kills the dispatcher at its drawn moments, and ends when all is over. */
    private void watch(BatchSite site) throws IOException, DrmaaException, InterruptedException {
        var remote = site.remote(OFFICES[0], SESSION, PATIENCE_MS);
        var at = new ArrayList<Integer>();
        for (int i = 0; i < plan.kills(); i++) {
            at.add((int) (plan.all() * (0.03 + 0.9 * random.nextDouble())));
        }
        at.sort(null);
        long limit = System.nanoTime() + (300L + plan.all() / 50) * 1_000_000_000L;
        while (failure == null) {
            var counts = remote.counts();
            over = (int) (counts.get("done") + counts.get("failed")) + forgotten(counts);
            live.accept(over + " of " + plan.all() + " over, " + kills + " kills, " + cuts.get() + " cuts");
            if (kills < at.size() && over >= at.get(kills)) {
                kill(site, remote);
            } else if (over >= plan.all() && accepted.size() >= plan.all() && counts.get("queued") == 0
                    && counts.get("running") == 0) {
                return;
            }
            if (System.nanoTime() > limit) {
                failure = "not over in time: " + counts;
            }
            if (site.ending() != null) {
                failure = "the site's run ended: " + site.ending();
            }
            Thread.sleep(POLL_MS);
        }
    }

    /**
     * Jobs of arrays that were forgotten whole, as all of them were reaped; they are in no count any more.
     */
    private int forgotten(Map<String, Long> counts) {
        long known = counts.values().stream().mapToLong(Long::longValue).sum();
        return (int) Math.max(0, Math.min(told.size(), accepted.size() - known));
    }

    private void kill(BatchSite site, Remote remote) throws DrmaaException, InterruptedException {
        Thread.sleep(random.nextInt(60));
        site.site().kill(0);
        kills++;
        Thread.sleep(20 + random.nextInt(300));
        long begin = System.nanoTime();
        site.site().restart(0);
        remote.counts();
        recoveryMs.add((System.nanoTime() - begin) / 1_000_000);
    }

    /** What the dispatcher says in the end of every job that was not reaped. */
    private void collect(Remote remote) throws DrmaaException {
        var page = remote.page(-1, null);
        while (true) {
            var failed = new ArrayList<String>();
            for (var job : page.jobs()) {
                if (job.state().equals("failed")) {
                    failed.add(job.jobId());
                } else {
                    tell(job.jobId(), job.state(), "");
                }
            }
            if (!failed.isEmpty()) {
                for (var job : remote.infos(failed)) {
                    tell(job.jobId(), job.state(), job.reason());
                }
            }
            if (page.next() < 0) {
                return;
            }
            page = remote.page(page.next(), null);
        }
    }

    private TrialResult result(BatchSite site, DispatcherStats stats, double seconds) {
        var states = new HashMap<String, Integer>();
        int without = 0;
        int doneUnrun = 0;
        var names = new HashSet<String>();
        for (var job : accepted.keySet()) {
            var state = told.get(job);
            if (state == null || !state.equals("done") && !state.equals("failed")) {
                without++;
                continue;
            }
            states.merge(state, 1, Integer::sum);
            names.add(job);
            var runs = books.runs().get(boxNames.get(job));
            if (state.equals("done") && (runs == null || runs.done() == 0)) {
                doneUnrun++;
            }
        }
        int unknown = (int) told.keySet().stream().filter(each -> !accepted.containsKey(each)).count();
        int stickers = 0;
        int again = 0;
        int bodies = 0;
        for (var runs : books.runs().values()) {
            stickers += runs.once && runs.began() > 1 ? 1 : 0;
            again += !runs.once && runs.began() > 1 ? 1 : 0;
            bodies += runs.wrongBody() ? 1 : 0;
        }
        var history = site.site().books().read();
        long asked = history.jobs().size();
        long served = history.jobs().stream().filter(each -> each.servedAt() != Long.MAX_VALUE).count();
        if (site.site().failures() > 0) {
            failure = site.site().failures() + " steps of the emulator failed";
        }
        long lives = history.dispatcher(0).stream().filter(each -> each.state() == DispatcherState.STARTED)
                .count();
        return new TrialResult(accepted.size(), states, reasons, without, twice.size(), unknown, stickers,
                doneUnrun,
                bodies, again, kills, cuts.get(), recoveryMs, seconds, stats.cpuMicros() / 1e6,
                        stats.rssPeakMb(),
                served + " of " + asked + " served, over " + lives + " lives of the dispatcher", failure);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
