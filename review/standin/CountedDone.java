package review;

import java.nio.file.Path;

/** Two stickers, of which one fails at its worker; then the dispatcher is restarted as planned. */
public final class CountedDone {

    private CountedDone() {
    }

    public static void main(String[] args) {
        Site.play(Path.of(args[0]), Site.settings(Site.FREE_PACK), CountedDone::held);
    }

    private static boolean held(Site site, boolean trouble) throws Exception {
        site.workers(3, 200, null);
        site.workers.forEach(each -> each.fails = path -> path.endsWith("/sticker-2"));
        site.keys();
        site.start();
        var contact = site.contact("alice", site.batch);
        var submitted = site.cli("submit", "award-sticker", "/api/sticker-$drmaa_incr_ph$", "--range", "1-3", "--contact", contact);
        site.record.add("alice", "submit award-sticker /api/sticker-N --range 1-3 -> " + submitted.code() + ": "
                + submitted.out());
        var waited = site.cli("wait", "--timeout", "30", "--contact", contact);
        site.record.add("alice", "wait -> " + waited.code() + ": " + waited.out());
        if (submitted.code() != 0 || waited.code() != 1 || !waited.out().equals("2 done, 1 failed")) {
            throw new Site.CannotRun("the jobs did not end as two done and one failed");
        }
        if (trouble) {
            site.terminate();
            site.start();
        }
        var list = site.cli("status", "--list", "--contact", contact);
        site.record.add("alice", "status --list -> " + list.code() + ": " + list.out().replace('\n', '|'));
        var status = site.cli("status", "--contact", contact);
        site.record.add("alice", "status -> " + status.code() + ": " + status.out());
        var again = site.cli("wait", "--timeout", "30", "--contact", contact);
        site.record.add("alice", "wait -> " + again.code() + ": " + again.out());
        return again.code() == 1 && again.out().equals("2 done, 1 failed")
                && status.out().contains("2 done") && status.out().contains("1 failed");
    }
}
