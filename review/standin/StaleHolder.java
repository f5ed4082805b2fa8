package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Two dispatchers with a timetable over the stand-in for Consul. The one that holds a fire is stopped for longer than
 * its lease while its connection to the worker is coming up, and goes on once the other has taken its place.
 */
public final class StaleHolder {

    private static final long LASTS_MS = 1_000;
    private static final long CONNECT_MS = 3_000;

    private StaleHolder() {
    }

    public static void main(String[] args) {
        var settings = Site.settings(Site.FREE_PACK).replace("\"connect_timeout\":250000",
                "\"connect_timeout\":" + CONNECT_MS * 1_000).replace("\"fleet_size\":1", "\"fleet_size\":2");
        Site.play(Path.of(args[0]), settings, StaleHolder::held);
    }

    /** One dispatcher with its own way to each worker. */
    private static final class Member {
        final String name;
        final Site site;
        final int listen;
        final List<Worker> workers = new ArrayList<>();
        final Discovery discovery;
        Process process;

        Member(Site site, String name) throws IOException {
            this.site = site;
            this.name = name;
            listen = Http.freePort();
            for (int i = 1; i <= 3; i++) {
                workers.add(new Worker("s-" + i, site.record, 200, listen, site.visits, null));
            }
            discovery = new Discovery(workers);
        }
    }

    private record Visited(Member by, Worker at) {
    }

    private static int consul;
    private static Site site;

    private static boolean held(Site played, boolean trouble) throws Exception {
        site = played;
        consul = Http.freePort();
        site.begin("lab", "consul", "--port", String.valueOf(consul));
        var entries = site.folder.resolve("entries.toml");
        Files.writeString(entries, """
                revision = 1
                [[entry]]
                name = "sticker"
                tenant = "aspen-plains-sd"
                class = "award-sticker"
                path = "/api/weekly-sticker"
                cron = "*/6 * * * * *"
                zone = "UTC"
                window_s = 5
                """);
        awaitConsul();
        var members = List.of(new Member(site, "n1"), new Member(site, "n2"));
        for (var each : members) {
            each.process = site.start(each.name, each.listen, each.discovery, """
                    [coordination]
                    kind = "consul"
                    prefix = "ryemast/site"
                    agents = "127.0.0.1:%d"
                    replicas = 2
                    lasts_ms = %d
                    [timetable]
                    file = "%s"
                    """.formatted(consul, LASTS_MS, entries));
        }
        var last = lastFire(members, 0);
        for (int round = 0; round < 7; round++) {
            int seen = site.visits.size();
            last = lastFire(members, seen);
            var result = trouble ? strike(last, members) : null;
            if (!trouble && round == 2) {
                return true;
            }
            if (result != null) {
                return result;
            }
        }
        throw new Site.CannotRun("no fire went to the worker whose connections come up late");
    }

    private static void awaitConsul() throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                Http.call(consul, "GET", "/v1/agent/self", Map.of(), new byte[0], 1_000);
                return;
            } catch (IOException | RuntimeException e) {
                Thread.sleep(50);
            }
        }
        throw new Site.CannotRun("the stand-in for Consul does not answer");
    }

    /** Waits for the next fire that is served without any trouble: who sent it, and where to. */
    private static Visited lastFire(List<Member> members, int seen) throws Exception {
        long until = site.record.now() + 25_000;
        while (site.record.now() < until) {
            if (site.visits.size() > seen) {
                Thread.sleep(400);
                var visit = site.visits.get(seen);
                for (var member : members) {
                    for (var worker : member.workers) {
                        if (worker.visits(visit)) {
                            return new Visited(member, worker);
                        }
                    }
                }
            }
            Thread.sleep(20);
        }
        throw new Site.CannotRun("nothing was fired");
    }

    /** Null: the next fire went elsewhere. */
    private static Boolean strike(Visited last, List<Member> members) throws Exception {
        var holder = last.by;
        var worker = last.at;
        int seen = site.visits.size();
        worker.gate().shut();
        var before = fires("");
        String fire = null;
        long until = site.record.now() + 9_000;
        while (fire == null && site.record.now() < until) {
            for (var each : fires("fires/sticker/").entrySet()) {
                if (each.getValue().contains("\"sent\"") && !before.containsKey(each.getKey())) {
                    fire = each.getKey();
                }
            }
            Thread.sleep(5);
        }
        if (fire == null) {
            worker.gate().open();
            return null;
        }
        site.record.add("records", fire + " " + fires(fire).get(fire));
        Thread.sleep(200);
        if (site.visits.size() > seen) {
            worker.gate().open();
            site.record.add("test", "this fire went to another worker");
            return null;
        }
        var fence = fires("fences/" + holder.name).toString();
        signal("STOP", holder);
        Thread.sleep(300);
        worker.gate().open();
        until = site.record.now() + 10_000;
        while (fires("fences/" + holder.name).toString().equals(fence) && site.record.now() < until) {
            Thread.sleep(10);
        }
        long movedAt = site.record.now();
        site.record.add("records", "the fence has moved: " + fires("fences/" + holder.name));
        Thread.sleep(300);
        site.record.add("records", fire + " " + fires(fire).get(fire));
        signal("CONT", holder);
        Thread.sleep(2_500);
        site.record.add("records", fire + " " + fires(fire).get(fire));
        boolean held = true;
        var nominal = fire.substring(fire.lastIndexOf('/') + 1);
        for (int i = seen; i < site.visits.size(); i++) {
            var visit = site.visits.get(i);
            if (visit.txn.contains(nominal) && holder.workers.stream().anyMatch(each -> each.visits(visit))
                    && visit.at > movedAt) {
                held = false;
                site.record.add("test", holder.name + " sent " + visit.txn + " to " + visit.worker + " "
                        + (visit.at - movedAt) + " ms after its fence had moved" + (visit.ranAt < 0 ? ""
                        : "; it ran"));
            }
        }
        return held;
    }

    private static void signal(String name, Member to) throws Exception {
        site.record.add("test", "SIG" + name + " to " + to.name);
        new ProcessBuilder("/bin/kill", "-" + name, String.valueOf(to.process.pid())).start().waitFor();
    }

    private static final Pattern KEY = Pattern.compile("\"Key\":\\s*\"ryemast/site/([^\"]*)\"");
    private static final Pattern VALUE = Pattern.compile("\"Value\":\\s*\"([^\"]*)\"");

    /** The records under a prefix, by key; each with its index in front, so that a change shows. */
    private static Map<String, String> fires(String prefix) throws IOException {
        var text = Http.call(consul, "GET", "/v1/kv/ryemast/site/" + prefix + "?recurse", Map.of(), new byte[0], 2_000)
                .text();
        var found = new TreeMap<String, String>();
        for (var part : text.split("\\}")) {
            var key = KEY.matcher(part);
            var value = VALUE.matcher(part);
            if (key.find() && value.find()) {
                found.put(key.group(1), new String(Base64.getDecoder().decode(value.group(1)), StandardCharsets.UTF_8));
            }
        }
        return found;
    }
}
