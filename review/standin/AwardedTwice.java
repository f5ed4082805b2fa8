package review;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Alice hands in one award-sticker over a link that is cut before the answer has come through, and for some seconds.
 * Meanwhile bob, of the same account, fetches what has ended in the session.
 */
public final class AwardedTwice {

    /** Well within the ten seconds for which the command goes on trying. */
    private static final long CUT_MS = 5_000;
    private static final long WAY_BACK_MS = 500;

    private AwardedTwice() {
    }

    public static void main(String[] args) {
        Site.play(Path.of(args[0]), Site.settings(Site.FREE_PACK), AwardedTwice::held);
    }

    private static boolean held(Site site, boolean trouble) throws Exception {
        site.workers(3, 200, null);
        var link = new Link(site.batch, WAY_BACK_MS);
        site.keys();
        site.start();
        // The session is there before, as on any day but the first.
        var before = site.cli("submit", "load-puzzle", "/api/warm-up", "--contact", site.contact("bob", site.batch));
        site.record.add("bob", "submit load-puzzle /api/warm-up -> " + before.code() + ": " + before.out());
        var reaped = site.cli("wait", "--reap", "--timeout", "20", "--contact", site.contact("bob", site.batch));
        site.record.add("bob", "wait --reap -> " + reaped.code() + ": " + reaped.out());
        if (before.code() != 0 || reaped.code() != 0) {
            throw new Site.CannotRun("the first job of the session was not served");
        }
        return award(site, link, trouble);
    }

    private static boolean award(Site site, Link link, boolean trouble) throws Exception {
        var ran = new CountDownLatch(1);
        site.workers.forEach(each -> each.onEffect = () -> {
            if (ran.getCount() > 0) {
                ran.countDown();
                if (trouble) {
                    site.record.add("test", "alice's link is cut for " + CUT_MS + " ms");
                    link.cut(CUT_MS);
                }
            }
        });
        var alice = site.begin("submit", "award-sticker", "/api/7f3a", "--submission", "spring-2027-0001", "--contact",
                site.contact("alice", link.port));
        if (!ran.await(20, TimeUnit.SECONDS)) {
            throw new Site.CannotRun("the sticker was not awarded at all");
        }
        var fetched = site.cli("wait", "--reap", "--timeout", "20", "--contact", site.contact("bob", site.batch));
        site.record.add("bob", "wait --reap -> " + fetched.code() + ": " + fetched.out());
        var submitted = site.said(alice, 30);
        site.record.add("alice", "submit award-sticker /api/7f3a --submission spring-2027-0001 -> " + submitted.code()
                + ": " + submitted.out());
        Thread.sleep(3_000);
        long runs = site.visits.stream().filter(each -> each.path.equals("/api/7f3a") && each.ranAt >= 0).count();
        site.record.add("test", "the one sticker that was handed in has been awarded " + runs + " times");
        return runs == 1;
    }
}
