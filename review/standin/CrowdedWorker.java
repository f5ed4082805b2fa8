package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client's job waits long at one worker of eight, whose connections are all taken meanwhile: the dispatcher, which
 * may have no second copy out, wants to give it up there and try it elsewhere.
 */
public final class CrowdedWorker {

    private static final long WINDOW_MS = 5_000;
    private static final long QUEUE_MS = 8_000;
    private static final long FULL_MS = 3_000;
    /** What the pages add to each limit on sockets. */
    private static final long SLACK_MS = 50;

    private CrowdedWorker() {
    }

    public static void main(String[] args) {
        Site.play(Path.of(args[0]), Site.settings("""
                {"deadline":20000000,"effect":"guarded","key_scope":"all","late_worth":0.0,"name":"build-pack",
                 "on_time":1500000,"streaming":false,"window":%d,"worth":3.0}""".formatted(WINDOW_MS * 1_000)),
                CrowdedWorker::held);
    }

    private static boolean held(Site site, boolean trouble) throws Exception {
        site.workers(8, 200, new Worker.Keys(WINDOW_MS));
        site.startPlain();
        // Usual traffic first, so that the dispatcher knows how long jobs take.
        for (int i = 0; i < 40; i++) {
            if (!"200".equals(send(site, "usual-" + i))) {
                throw new Site.CannotRun("a usual job was not served");
            }
        }
        int usual = site.visits.size();
        var once = new AtomicBoolean();
        site.workers.forEach(each -> each.onVisit = worker -> {
            if (once.compareAndSet(false, true)) {
                crowd(site, worker, trouble);
            }
        });
        var status = send(site, "class-7");
        site.record.add("client", "build-pack /api/class-7 -> " + status);
        Thread.sleep(QUEUE_MS + 2_000);
        var all = List.copyOf(site.visits.subList(usual, site.visits.size()));
        boolean held = true;
        for (int i = 0; i < all.size(); i++) {
            for (int j = 0; j < i; j++) {
                var first = all.get(j);
                var second = all.get(i);
                if (second.at + SLACK_MS < first.overAt) {
                    held = false;
                    site.record.add("test", second.txn + " came to " + second.worker + " "
                            + (second.at - first.at) + " ms after it had come to " + first.worker
                            + ", where it had neither ended nor been given up; second copies are not allowed");
                }
            }
        }
        long runs = all.stream().filter(each -> each.ranAt >= 0).count();
        site.record.add("test", "the one job of the client ran " + runs + " times");
        return held;
    }

    /** It has a queue, keeps no connection that rests, and others take all that it accepts. */
    private static void crowd(Site site, Worker worker, boolean trouble) {
        worker.queueMs = QUEUE_MS;
        worker.keepsNone = true;
        site.record.add(worker.id, "has a queue of " + QUEUE_MS + " ms, and keeps no connection that rests");
        if (!trouble) {
            return;
        }
        try {
            worker.gate().fill();
            site.record.add(worker.id, "has all the connections that it accepts, and refuses others for " + FULL_MS
                    + " ms");
            Http.daemon(() -> {
                try {
                    Thread.sleep(FULL_MS);
                    worker.gate().free();
                    site.record.add(worker.id, "accepts connections again");
                } catch (Exception e) {
                    site.record.add(worker.id, "can't listen any more: " + e);
                }
            });
        } catch (java.io.IOException e) {
            site.record.add(worker.id, "can't be filled: " + e);
        }
    }

    private static String send(Site site, String key) throws Exception {
        var headers = new LinkedHashMap<String, String>();
        headers.put("X-Txn", "t-" + key);
        headers.put("X-Lane", "build-pack");
        headers.put("X-Org", "aspen-plains-sd");
        headers.put("X-Remaining-Ms", "20000");
        headers.put("X-Estimate", "200000");
        return Http.call(site.listen, "POST", "/api/" + key, headers, "x".getBytes(StandardCharsets.UTF_8), 25_000)
                .second();
    }
}
