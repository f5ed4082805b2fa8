package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import ryemast.lab.books.Attempt;
import ryemast.lab.books.TryStory;
import ryemast.lab.fleet.Trial.Service;
import ryemast.lab.fleet.Wellness.Span;

/**
 * The reservations' rules, from what clients asked for and boxes ran, against what the book gave. Work is
 * what the client said that it would cost, and counts once for each try that began at a box, at the time when
 * its client had written it: what is let in is let in then, however long it waits inside, and copies and
 * further attempts are no further work let in. They are counted beside.
 *
 * <p>{@code reserved}: over no time does a capped service begin more than it was given in it, the stated
 * slack and one job a process. Held by a bucket that leaks at the most that pages gave about that time, which
 * judges all times at once; and it begins nothing while nobody can act by a page that gives it anything.
 * {@code held}: over each window in which nothing has struck or changed for long enough, a service that was
 * asked for half as much again as it was given begins what it was given, less the stated part, whichever
 * processes were asked.
 */
final class ReservedJudge implements FleetJudge {

    private static final double SECOND = 1e6;
    private static final double MS_PER_S = 1e3;
    /** What chance makes of the demand must not pass for a reservation that is not held. */
    private static final double ENOUGH = 1.5;
    /** Between a process's decision and its job's begin at a box, or a pause in their midst. */
    private static final long ON_THE_WAY = 500_000;
    /** How finely what pages gave is followed. */
    private static final long GRAIN = 100_000;
    /** Windows begin a part of their length apart. */
    private static final int STEPS = 4;
    /** Beats and calls that the machine held up for so long may have cost a member its part. */
    static final long STARVED = 1_000_000;
    /** A job without a hint counts as a second's work, as the settings' page says. */
    private static final double NO_HINT = SECOND;

    /** A try; {@code process}: whose began first at a box, -1: nobody's, {@code beganAt}: when. */
    private record Asked(long at, double work, boolean first, int process, long beganAt, int runs) {
    }

    @Override
    public void judge(FleetBooks books, Findings findings) {
        var reserved = books.trial().reserved();
        if (reserved.services().isEmpty()) {
            return;
        }
        var reservedMs = new TreeMap<String, Long>();
        var askedMs = new TreeMap<String, Long>();
        var begunMs = new TreeMap<String, Long>();
        var over = new TreeMap<String, Long>();
        var again = new TreeMap<String, Long>();
        var shares = new TreeMap<String, Long>();
        double length = Math.max(1, books.history().endedAt() - books.history().beganAt()) / SECOND;
        var quiet = Quiet.of(books);
        var given = new Given(books);
        long windows = 0;
        for (var service : reserved.services()) {
            var all = asked(books, service);
            var let = all.stream().filter(each -> each.process >= 0).toList();
            reservedMs.put(service.name(), Math.round(service.perSecond() / MS_PER_S));
            askedMs.put(service.name(), perSecond(all.stream().filter(Asked::first).toList(), length));
            begunMs.put(service.name(), perSecond(let, length));
            again.put(service.name(), let.stream().mapToLong(each -> each.runs - 1).sum());
            let.forEach(each -> shares.merge("n" + each.process, 1L, Long::sum));
            over.put(service.name(), Math.round(worst(books, service, given, let, findings) / MS_PER_S));
            for (var span : quiet) {
                windows += held(books, service, given, all, span, findings);
            }
        }
        findings.counts("reserved_ms_per_s", reservedMs);
        findings.counts("asked_ms_per_s", askedMs);
        findings.counts("begun_ms_per_s", begunMs);
        findings.counts("most_ahead_ms", over);
        findings.counts("begun_again", again);
        findings.counts("reserved_by_replica", shares);
        findings.count("held_windows", windows);
    }

    private static long perSecond(List<Asked> tries, double length) {
        return Math.round(tries.stream().mapToDouble(Asked::work).sum() / length / MS_PER_S);
    }

    private static List<Asked> asked(FleetBooks books, Service service) {
        var found = new ArrayList<Asked>();
        for (var job : books.history().jobs()) {
            var its = job.job();
            if (service.covers(its.tenant(), its.jobClass())) {
                double work = its.slots() * (its.hint() > 0 ? its.hint() : NO_HINT);
                for (var each : job.tries()) {
                    if (!each.asked().isEmpty()) {
                        found.add(asked(each, work));
                    }
                }
            }
        }
        found.sort(Comparator.comparingLong(Asked::at));
        return found;
    }

    private static Asked asked(TryStory story, double work) {
        int process = -1;
        long beganAt = Attempt.NEVER;
        int runs = 0;
        for (var attempt : story.attempts()) {
            if (attempt.began()) {
                process = process < 0 ? attempt.dispatcher() : process;
                beganAt = Math.min(beganAt, attempt.beganAt());
                runs++;
            }
        }
        return new Asked(story.lastAsked().at(), work, story.sentTry().number() == 0, process, beganAt,
                runs);
    }

    /** The most that was begun ahead of what was given, in microseconds of work. */
    private static double worst(FleetBooks books, Service service, Given given, List<Asked> let,
            Findings findings) {
        var reserved = books.trial().reserved();
        double largest = let.stream().mapToDouble(Asked::work).max().orElse(0);
        double most = service.perSecond() / SECOND * reserved.slack()
                + largest * books.trial().scenario().dispatchers().count();
        double level = 0;
        double worst = 0;
        long at = books.history().beganAt();
        boolean told = !service.capped();
        for (var each : let) {
            level = Math.max(0, level - flown(given, service, reserved, at, each.at)) + each.work;
            at = Math.max(at, each.at);
            worst = Math.max(worst, level);
            // Its process may have been stopped between: it was let in at some time from here to its begin.
            boolean any = given.most(each.at - reserved.acts() - ON_THE_WAY, each.beganAt,
                    page -> page.given(service.name())) > 0;
            if (!told && (level > most || !any)) {
                told = true;
                findings.breach("reserved", each.at, any ? String.format(Locale.ROOT, "The capped service %s"
                        + " began %.2f s of work ahead of what it was given of its reservation of %.2f s a"
                        + " second; at most %.2f s may be.", service.name(), level / SECOND,
                        service.perSecond() / SECOND, most / SECOND) : String.format(Locale.ROOT, "A job of"
                        + " the capped service %s was begun, though it was given nothing.", service.name()));
            }
        }
        return worst;
    }

    /** The most that may have flown in between two times, by pages that members acted by or soon would. */
    private static double flown(Given given, Service service, Trial.Reserved reserved, long from,
            long until) {
        double sum = 0;
        for (long at = from; at < until; at += GRAIN) {
            double rate = Math.min(service.perSecond(), given.most(at - reserved.acts() - ON_THE_WAY,
                    at + GRAIN + ON_THE_WAY, page -> page.given(service.name())));
            sum += rate * Math.min(GRAIN, until - at) / SECOND;
        }
        return sum;
    }

    /** How many windows were judged. */
    private static long held(FleetBooks books, Service service, Given given, List<Asked> all, Span span,
            Findings findings) {
        var reserved = books.trial().reserved();
        long judged = 0;
        for (long from = span.from(); from + reserved.window() <= span.until();
                from += reserved.window() / STEPS) {
            long since = from;
            var inside = all.stream().filter(each -> each.at >= since
                    && each.at < since + reserved.window()).toList();
            double due = given.least(from, from + reserved.window(), page -> page.given(service.name()))
                    / SECOND * reserved.window();
            double asked = inside.stream().mapToDouble(Asked::work).sum();
            if (due == 0 || asked < ENOUGH * due) {
                continue;
            }
            double begun = inside.stream().filter(each -> each.process >= 0).mapToDouble(Asked::work).sum();
            judged++;
            if (begun < (1 - reserved.less()) * due) {
                var what = String.format(Locale.ROOT, "The service %s began %.2f s of work in %.1f s, of %.2f"
                        + " s that it was given and %.2f s that it was asked for, while nothing was wrong.",
                        service.name(), begun / SECOND, reserved.window() / SECOND, due / SECOND,
                        asked / SECOND);
                if (books.waits().waited(-1, from - reserved.settled(), from + reserved.window())
                        >= STARVED) {
                    findings.doubtful("held", from, what);
                } else {
                    findings.breach("held", from, what);
                }
                return judged;
            }
        }
        return judged;
    }
}
