package ryemast.lab.batch;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;
import ryemast.drmaa.TryLaterException;
import ryemast.lab.books.Fingerprint;
import ryemast.lab.books.RunResult;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioBuilder;

/**
 * Clients' own traffic beside a batch that never ends, against the same traffic alone: what clients lose,
 * and how much of what they leave idle the batch uses. The same boxes, jobs and seeds in both.
 */
public final class Beside {

    /**
     * @param service   clients', by the lab's measure
     * @param p99Ms     of clients' served jobs
     * @param idleUsed  part of the cores' time that clients leave which batch jobs used, after the warm-up
     */
    public record Side(double service, double p50Ms, double p99Ms, long served, long asked, double idleUsed,
            long batchDone, RunResult result) {

        JsonObject json() {
            var one = new JsonObject();
            one.addProperty("service", service);
            one.addProperty("p50_ms", p50Ms);
            one.addProperty("p99_ms", p99Ms);
            one.addProperty("served", served);
            one.addProperty("asked", asked);
            one.addProperty("idle_used", idleUsed);
            one.addProperty("batch_done", batchDone);
            one.addProperty("counts", result.counts());
            one.addProperty("rules_broken", result.rulesBroken());
            return one;
        }
    }

    /** Both, and what they differ in. */
    public record Both(Side alone, Side beside) {

        public double loss() {
            return 1 - beside.service / alone.service;
        }

        public JsonObject json() {
            var one = new JsonObject();
            one.add("alone", alone.json());
            one.add("beside", beside.json());
            one.addProperty("loss", loss());
            return one;
        }
    }

    private static final String SESSION = "beside";
    private static final long PATIENCE_MS = 10_000;
    private static final long SECOND = 1_000_000;
    private static final int ARRAY = 2_000;
    private static final int LEAST_OPEN = 1_000;

    private final Scenario scenario;
    private final double packMs;
    private final long warmUp;
    private final Path logs;

    /**
     * @param load    clients' part of the boxes' cores
     * @param packMs  what a batch job takes on one core
     */
    public Beside(int boxes, double load, double clientMs, double packMs, double seconds, double warmUp,
            long seed,
            Path logs) {
        this.packMs = packMs;
        this.warmUp = Math.round(warmUp * SECOND);
        this.logs = logs;
        var classes = List.of(
                jobClass("load-puzzle", clientMs, Scenario.Spread.EXPONENTIAL, Scenario.Effect.FREE, 0.8),
                jobClass(BatchSite.STICKER, clientMs, Scenario.Spread.EXPONENTIAL,
                        Scenario.Effect.SINGLE_SHOT, 0.2),
                jobClass(BatchSite.PACK, packMs, Scenario.Spread.FIXED, Scenario.Effect.FREE, 0));
        double rate = load * boxes * 4 * 1_000 / clientMs;
        scenario = ScenarioBuilder.uniform(boxes, 4, 1, 32).rate(rate)
                .length(Math.round((seconds + warmUp) * SECOND)).seed(seed).name("beside")
                .title("clients beside a batch").classes(classes)
                .tenants(List.of(new Scenario.Tenant(BatchSite.ACCOUNT, 1, 1, 1_000_000)))
                .dispatchers(new Scenario.Dispatchers(1, 1, 192, 1_024, SECOND / 5)).build();
    }

    /** Aims as on the platform: 150 ms and twice the job's own run, and more for heavier ones. */
    private static Scenario.JobClass jobClass(String name, double workMs, Scenario.Spread spread,
            Scenario.Effect effect, double share) {
        long aim = workMs > 1_000 ? 1_500_000 : 150_000;
        return new Scenario.JobClass(name, share, workMs * 1_000, spread, spread == Scenario.Spread.FIXED ? 0
                : 1, aim,
                2, 20 * SECOND, 3, 0, effect, 1);
    }

    public Both run(Consumer<String> live) throws IOException, InterruptedException {
        live.accept("clients alone");
        var alone = side(false);
        live.accept("clients beside a batch");
        return new Both(alone, side(true));
    }

    private Side side(boolean batch) throws IOException, InterruptedException {
        var books = new BatchBooks();
        var folder = logs == null ? null : logs.resolve(batch ? "beside" : "alone");
        try (var site = new BatchSite(scenario, books, folder, "most_out = 1000\n", List.of(), true)) {
            site.start();
            long begin = System.nanoTime();
            Thread submitter = null;
            if (batch) {
                submitter = new Thread(() -> submit(site, books), "submitter");
                submitter.setDaemon(true);
                submitter.start();
            }
            Thread.sleep(warmUp / 1_000);
            double before = books.workDone();
            long from = System.nanoTime();
            long until = begin + scenario.length() * 1_000;
            Thread.sleep(Math.max(0, (until - System.nanoTime()) / 1_000_000));
            double work = books.workDone() - before;
            double seconds = (System.nanoTime() - from) / 1e9;
            if (submitter != null) {
                submitter.interrupt();
            }
            site.join();
            var result = RunResult.of(scenario, site.site().books(), site.site().stats(), false, null);
            double cores = scenario.boxes().stream().mapToInt(Scenario.BoxSpec::cores).sum();
            double clients = scenario.load().ratePerSecond() * scenario.classes().stream()
                    .mapToDouble(each -> each.share() * each.meanWork()).sum() / SECOND;
            return new Side(result.service(), orZero(result.latencyMs().p50()),
                    orZero(result.latencyMs().p99()),
                    result.served(), result.asked(), work / SECOND / (seconds * (cores - clients)),
                    books.runs().values().stream().filter(each -> each.done() > 0).count(), result);
        }
    }

    private static double orZero(Double value) {
        return value == null ? 0 : value;
    }

    /** There is always more of it. */
    private void submit(BatchSite site, BatchBooks books) {
        try {
            var remote = site.remote("office", SESSION, PATIENCE_MS);
            remote.create(SESSION);
            var template = new JobTemplate();
            template.setRemoteCommand(BatchSite.PACK);
            template.setArgs(List.of("/api/" + JobTemplate.PARAMETRIC_INDEX));
            template.setEstimate(java.time.Duration.ofMillis(Math.round(packMs)));
            for (int i = 0;; i++) {
                var id = String.format("beside-%06d", i);
                books.register(id, new BatchBooks.Submission(ARRAY, 0, Fingerprint.of(new byte[0]),
                        packMs * 1_000, 0));
                try {
                    remote.submit(new ArrayList<>(List.of(new Remote.Part(template, ARRAY))), id, 1, 1, 0);
                } catch (TryLaterException e) {
                    Thread.sleep(100);
                }
                while (remote.counts().get("queued") > LEAST_OPEN) {
                    Thread.sleep(200);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | DrmaaException e) {
            java.util.logging.Logger.getLogger(Beside.class.getName()).warning("the submitter ended: " + e);
        }
    }
}
