package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Of three workers one is of the kind that the class needs. It hands a job back unstarted, and the answer to its
 * call-back is lost, so that it tells it again; meanwhile it has been given the job anew, and runs it.
 */
public final class ReturnedAgain {

    private ReturnedAgain() {
    }

    public static void main(String[] args) {
        // award-sticker, the third class, needs a machine of the second kind.
        Site.play(Path.of(args[0]), Site.settings(Site.FREE_PACK).replace("\"class_kind\":[-1,-1,-1]",
                "\"class_kind\":[-1,-1,1]"), ReturnedAgain::held);
    }

    private static boolean held(Site site, boolean trouble) throws Exception {
        var link = new Link(site.listen, 0);
        site.workers(3, 1_500, null, link.port);
        site.workers.get(0).kind = "wide-3c";
        var once = new AtomicBoolean();
        site.workers.forEach(each -> each.handsBack = visit -> {
            if (!visit.path.endsWith("/7f3a") || !once.compareAndSet(false, true)) {
                return false;
            }
            if (trouble) {
                link.loseNextAnswer();
            }
            return true;
        });
        site.startPlain();
        for (int i = 0; i < 3; i++) {
            if (!"200".equals(send(site, "usual-" + i))) {
                throw new Site.CannotRun("a usual job was not served");
            }
        }
        var status = send(site, "7f3a");
        site.record.add("client", "award-sticker /api/7f3a -> " + status);
        Thread.sleep(4_000);
        long runs = site.visits.stream().filter(each -> each.path.endsWith("/7f3a") && each.ranAt >= 0).count();
        site.record.add("test", "the client was answered " + status + ", and the one sticker was awarded " + runs
                + " times");
        boolean refused = status.equals("429") || status.equals("503");
        return runs <= 1 && !(refused && runs > 0);
    }

    private static String send(Site site, String key) throws Exception {
        var headers = new LinkedHashMap<String, String>();
        headers.put("X-Txn", "t-" + key);
        headers.put("X-Lane", "award-sticker");
        headers.put("X-Org", "aspen-plains-sd");
        headers.put("X-Remaining-Ms", "7500");
        headers.put("X-Estimate", "1500000");
        return Http.call(site.listen, "POST", "/api/" + key, headers, "x".getBytes(StandardCharsets.UTF_8), 12_000)
                .second();
    }
}
