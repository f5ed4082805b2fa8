package review2;

import java.nio.file.Files;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Entries of a class that must run once, many of them due at the same time, as at the full hour. As their
 * jobs begin to run, the dispatcher gets SIGTERM, ends in order, and is started again at once. Their windows
 * are open all the while, so that each has to run, once. Three such times, one after the other.
 */
final class EndAtTheHour {

    private static final int TIMES = 3;
    private static final int ENTRIES = 300;
    private static final int FIRST_IN_S = 12;
    private static final int EVERY_S = 16;
    /** SIGTERM comes once so many jobs of a time have begun. */
    private static final int BEGUN = 60;
    /** Beyond this nothing is waited for. */
    private static final long LAST_S = 30;
    private static final String UNKNOWN = "its outcome is unknown";

    private EndAtTheHour() {
    }

    public static void main(String[] arguments) {
        Site.run(arguments, 4, EndAtTheHour::steps);
    }

    private static boolean steps(Site site, boolean trouble) throws Exception {
        site.settings(Site.smallSite("aspen-plains-sd", "coulee-libraries"));
        site.keep(UNKNOWN);
        var first = ZonedDateTime.now(ZoneOffset.UTC).plusSeconds(FIRST_IN_S).withNano(0);
        var file = Files.writeString(site.folder.resolve("entries.toml"), entries(first));
        var operator = Files.writeString(site.folder.resolve("operator.toml"),
                "[coordination]\nkind = \"embedded\"\nfolder = \"" + site.folder.resolve("records")
                + "\"\n[timetable]\nfile = \"" + file + "\"\n");
        site.environment("RYEMAST_OPERATOR", operator.toString());
        var program = site.start("n1", site.port);
        site.note(ENTRIES + " entries of award-sticker are due at " + first + ", as many " + EVERY_S
                + " s later, and so on, " + TIMES + " times; each may start for 1800 s from then on");
        for (int time = 0; time < TIMES; time++) {
            int now = time;
            Site.until("jobs of time " + time + " to begin", () -> site.runs.stream()
                    .filter(each -> each.target().startsWith("/api/time-" + now + "/")).count() >= BEGUN);
            if (trouble) {
                site.signal(program, "TERM");
                program.waitFor();
                site.note("the dispatcher has ended with " + program.exitValue() + "; " + site.runs.size()
                        + " jobs have begun so far");
                program = site.start("n1", site.port);
            }
        }
        long end = System.nanoTime() + LAST_S * 1_000_000_000L;
        while (System.nanoTime() < end && ran(site).size() + site.kept().size() < TIMES * ENTRIES) {
            Thread.sleep(100);
        }
        // What was told as unknown is not run again, by the page; a second run of another would come by now.
        Thread.sleep(5_000);
        return judge(site);
    }

    private static String entries(ZonedDateTime first) {
        var text = new StringBuilder("revision = 1\n");
        for (int time = 0; time < TIMES; time++) {
            var due = first.plusSeconds((long) time * EVERY_S);
            for (int i = 0; i < ENTRIES; i++) {
                text.append("\n[[entry]]\nname = \"sticker-").append(time).append('-').append(i)
                        .append("\"\ntenant = \"aspen-plains-sd\"\nclass = \"award-sticker\"\npath = \"")
                        .append(target(time, i)).append("\"\ncron = \"").append(due.getSecond()).append(' ')
                        .append(due.getMinute()).append(' ').append(due.getHour())
                        .append(" * * *\"\nzone = \"UTC\"\nwindow_s = 1800\n");
            }
        }
        return text.toString();
    }

    private static String target(int time, int entry) {
        return "/api/time-" + time + "/pupil-" + entry;
    }

    private static TreeMap<String, Integer> ran(Site site) {
        var found = new TreeMap<String, Integer>();
        site.runs.forEach(each -> found.merge(each.target(), 1, Integer::sum));
        return found;
    }

    /**
     * The rule is broken where a fire is told as unknown, and so is not run again, whose job no worker was
     * ever sent: it was not under way; or where a job ran twice. One that still waits breaks nothing.
     */
    private static boolean judge(Site site) {
        var ran = ran(site);
        var unknown = new TreeSet<String>();
        var name = Pattern.compile("sticker-([0-9]+)-([0-9]+) ");
        for (var line : site.kept()) {
            var found = name.matcher(line);
            if (found.find()) {
                unknown.add(target(Integer.parseInt(found.group(1)), Integer.parseInt(found.group(2))));
            }
        }
        long twice = ran.values().stream().filter(count -> count > 1).count();
        var lost = new TreeSet<>(unknown);
        lost.removeAll(ran.keySet());
        site.note("fires whose job ran: " + ran.size() + " of " + TIMES * ENTRIES + ", more than once: " + twice);
        site.note("fires that the log tells as unknown: " + unknown.size() + ", of these never sent to a worker: "
                + lost.size() + " " + lost);
        if (lost.isEmpty() && twice == 0 && ran.size() < TIMES * ENTRIES) {
            throw new AssertionError("not all fires came to their end in time");
        }
        return lost.isEmpty() && twice == 0;
    }
}
