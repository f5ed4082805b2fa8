package review;

import java.nio.file.Path;

/** A batch job of a guarded class, and a worker that hangs in the middle of its work. */
public final class GuardedTwice {

    private static final long WINDOW_MS = 2_000;
    private static final long DEADLINE_MS = 3_000;
    private static final long HANG_MS = 6_000;
    /** For clocks and ways. */
    private static final long SLACK_MS = 300;

    private GuardedTwice() {
    }

    public static void main(String[] args) {
        var guarded = """
                {"deadline":%d,"effect":"guarded","key_scope":"all","late_worth":0.0,"name":"build-pack",
                 "on_time":1500000,"streaming":false,"window":%d,"worth":3.0}"""
                .formatted(DEADLINE_MS * 1_000, WINDOW_MS * 1_000);
        Site.play(Path.of(args[0]), Site.settings(guarded), GuardedTwice::held);
    }

    private static boolean held(Site site, boolean trouble) throws Exception {
        site.workers(3, 400, new Worker.Keys(WINDOW_MS));
        if (trouble) {
            var once = new java.util.concurrent.atomic.AtomicBoolean();
            site.workers.forEach(each -> each.onEffect = () -> {
                if (once.compareAndSet(false, true)) {
                    each.hang(HANG_MS);
                }
            });
        }
        site.keys();
        site.start();
        var submitted = site.cli("submit", "build-pack", "/api/class-7", "--contact", site.contact("alice", site.batch));
        site.record.add("alice", "submit build-pack /api/class-7 -> " + submitted.code() + ": " + submitted.out());
        if (submitted.code() != 0) {
            throw new Site.CannotRun("the submission was not taken");
        }
        var waited = site.cli("wait", submitted.out(), "--timeout", "30", "--contact",
                site.contact("alice", site.batch));
        site.record.add("alice", "wait " + submitted.out() + " -> " + waited.code() + ": " + waited.out());
        Thread.sleep(1_000);
        Worker.Visit first = null;
        boolean held = true;
        for (var each : site.visits.toArray(new Worker.Visit[0])) {
            if (first == null && each.ranAt >= 0) {
                first = each;
            } else if (first != null && each.at > first.at + WINDOW_MS + SLACK_MS) {
                held = false;
                site.record.add("test", each.txn + " was sent to " + each.worker + " " + (each.at - first.at)
                        + " ms after " + first.txn + " was sent to " + first.worker + ", which had run; the window is "
                        + WINDOW_MS + " ms" + (each.ranAt >= 0 ? "; it ran, too" : ""));
            }
        }
        if (first == null) {
            throw new Site.CannotRun("the job has not run at all");
        }
        return held;
    }
}
