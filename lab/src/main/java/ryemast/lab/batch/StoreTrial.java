package ryemast.lab.batch;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.JobTemplate;
import ryemast.drmaa.Remote;

/**
 * What it takes to be on the disk: jobs accepted one by one, by one submitter and by many; memory and the
 * time to take up again with many that wait. All are held, so that nothing but the taking is measured.
 */
public final class StoreTrial {

    /**
     * @param perSecond  jobs that were told to be taken, each a submission of its own
     * @param p99Ms      from the call to its answer
     */
    public record Rate(int submitters, double perSecond, double p50Ms, double p99Ms) {
    }

    /**
     * @param waitingMb  the dispatcher's resident memory with all of them waiting; {@code emptyMb}: before
     * @param takenUpMs  from the restart after a kill until submitters had answers again, several times
     * @param storeMb    the file
     */
    public record Size(int jobs, int arrays, double emptyMb, double waitingMb, List<Long> takenUpMs,
            double storeMb) {
    }

    private static final String SESSION = "store";
    private static final long PATIENCE_MS = 60_000;
    private static final long LONGEST = 60_000_000;
    private static final int RESTARTS = 5;

    private final Path logs;
    private final Consumer<String> live;

    public StoreTrial(Path logs, Consumer<String> live) {
        this.logs = logs;
        this.live = live;
    }

    private BatchSite site(String name) throws IOException {
        var plan = new TrialPlan(1, 0, 0, 0, 0, 1, 4, 20, 1, 1, false, null);
        return new BatchSite(plan.scenario(), new BatchBooks(), logs == null ? null : logs.resolve(name),
                "most_waiting = 1000000\n", List.of(), true);
    }

    private static JobTemplate held() throws DrmaaException {
        var template = new JobTemplate();
        template.setRemoteCommand(BatchSite.PACK);
        template.setArgs(List.of("/api/pack"));
        template.setBody(new byte[256]);
        template.setJobSubmissionState(JobTemplate.HOLD_STATE);
        return template;
    }

    public Rate rate(int submitters, double seconds) throws IOException, InterruptedException {
        live.accept(submitters + " submitters");
        try (var site = site("rate-" + submitters)) {
            site.start();
            var remotes = new ArrayList<Remote>();
            for (int i = 0; i < submitters; i++) {
                remotes.add(site.remote("office-" + i, SESSION, PATIENCE_MS));
            }
            remotes.get(0).create(SESSION);
            var taken = new AtomicLong();
            var failed = new AtomicReference<Exception>();
            var all = new Histogram(LONGEST, 3);
            long warm = System.nanoTime() + 2_000_000_000L;
            long until = warm + (long) (seconds * 1e9);
            var threads = new ArrayList<Thread>();
            for (var remote : remotes) {
                threads.add(new Thread(() -> {
                    try {
                        var parts = List.of(new Remote.Part(held(), 1));
                        for (long now = System.nanoTime(); now < until; now = System.nanoTime()) {
                            remote.submit(parts, Remote.submissionId(), 1, 1, 0);
                            if (now >= warm) {
                                taken.incrementAndGet();
                                synchronized (all) {
                                    all.recordValue(Math.min(LONGEST, (System.nanoTime() - now) / 1_000));
                                }
                            }
                        }
                    } catch (DrmaaException | RuntimeException e) {
                        failed.set(e);
                    }
                }));
            }
            threads.forEach(Thread::start);
            for (var each : threads) {
                each.join();
            }
            if (failed.get() != null) {
                throw new IOException("a submitter failed: " + failed.get(), failed.get());
            }
            return new Rate(submitters, taken.get() / seconds, all.getValueAtPercentile(50) / 1e3,
                    all.getValueAtPercentile(99) / 1e3);
        } catch (DrmaaException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** {@code arrays}: into how many submissions they are divided. */
    public Size size(int jobs, int arrays) throws IOException, InterruptedException {
        live.accept(jobs + " jobs in " + arrays + " submissions");
        try (var site = site("size-" + jobs + "-" + arrays)) {
            site.start();
            var remote = site.remote("office", SESSION, PATIENCE_MS);
            remote.create(SESSION);
            double empty = rss(site);
            for (int i = 0; i < arrays; i++) {
                int count = (int) ((long) jobs * (i + 1) / arrays - (long) jobs * i / arrays);
                remote.submit(List.of(new Remote.Part(held(), count)), Remote.submissionId(), 1, 1, 0);
            }
            double waiting = rss(site);
            var taken = new ArrayList<Long>();
            for (int i = 0; i < RESTARTS; i++) {
                site.site().kill(0);
                Thread.sleep(200);
                long begin = System.nanoTime();
                site.site().restart(0);
                long known = remote.counts().get("held");
                taken.add((System.nanoTime() - begin) / 1_000_000);
                if (known != jobs) {
                    throw new IOException(known + " of " + jobs + " jobs are there after a kill");
                }
            }
            waiting = Math.max(waiting, rss(site));
            return new Size(jobs, arrays, empty, waiting, taken,
                    Files.size(site.folder().resolve("store/batch.mv")) / 1e6);
        } catch (DrmaaException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static double rss(BatchSite site) throws InterruptedException {
        Thread.sleep(500);
        return site.site().stats().get(0).rssPeakMb();
    }

    public static JsonObject json(List<Rate> rates, List<Size> sizes) {
        var one = new JsonObject();
        var all = new JsonArray();
        for (var each : rates) {
            var rate = new JsonObject();
            rate.addProperty("submitters", each.submitters);
            rate.addProperty("jobs_per_s", each.perSecond);
            rate.addProperty("p50_ms", each.p50Ms);
            rate.addProperty("p99_ms", each.p99Ms);
            all.add(rate);
        }
        one.add("rates", all);
        var list = new JsonArray();
        for (var each : sizes) {
            var size = new JsonObject();
            size.addProperty("jobs", each.jobs);
            size.addProperty("submissions", each.arrays);
            size.addProperty("empty_mb", each.emptyMb);
            size.addProperty("waiting_mb", each.waitingMb);
            size.addProperty("taken_up_ms", Arrays.toString(each.takenUpMs.toArray()));
            size.addProperty("store_mb", each.storeMb);
            list.add(size);
        }
        one.add("sizes", list);
        return one;
    }
}
