package ryemast.lab.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.fleet.Trial.Service;

/**
 * The rule {@code book}: what the reservations' record said, against what boxes there were and what the
 * trial's file says of windows and ranks; every change of the record is judged. So: all that is given, with
 * what is free, each by the most that anyone who may act by a page can believe, is no more than what was
 * cleared less the margin; the page counts on no more boxes than were up not long ago; nothing is given
 * outside a window, but for the time that the book may be late; who yields are the lowest rank, and there the
 * youngest. The rule {@code held}: where nothing had struck or changed for long enough, each is given what it
 * keeps by that order.
 */
final class BookJudge implements FleetJudge {

    private static final double SECOND = 1e6;
    /** As the program has them where the file says nothing: the margin, and what counts as no change. */
    private static final double MARGIN = 0.1;
    private static final double BAND = 0.05;
    /** Amounts are whole microseconds of work a second. */
    private static final double ROUNDED = 2;
    /** About a window's edge the keeper's step and its clock's last digits decide. */
    static final long EDGE = 1_500_000;
    private static final long CLOCKS = 50_000;

    @Override
    public void judge(FleetBooks books, Findings findings) {
        var reserved = books.trial().reserved();
        var given = new Given(books);
        if (reserved.services().isEmpty() || given.pages().isEmpty()) {
            return;
        }
        sums(reserved, given, findings);
        boxes(books, given, findings);
        var byRank = new HashMap<String, Service>();
        reserved.services().forEach(each -> byRank.put(each.name(), each));
        long yields = 0;
        for (var page : given.pages()) {
            yields += page.lines().entrySet().stream().anyMatch(each -> each.getValue().given() > 0
                    && each.getValue().given() < each.getValue().promised()) ? 1 : 0;
            order(books, byRank, page, findings);
        }
        windows(books, given, findings);
        for (var span : Quiet.of(books)) {
            atRest(books, byRank, given.stood(span.until() - 1, span.until() - 1).get(0),
                    span.until() - 1, findings);
        }
        findings.count("book_pages", given.pages().size());
        findings.count("book_pages_yielding", yields);
    }

    private static void breach(Findings findings, long at, String form, Object... with) {
        findings.breach("book", at, String.format(Locale.ROOT, form, with));
    }

    private static void sums(Trial.Reserved reserved, Given given, Findings findings) {
        for (var page : given.pages()) {
            double promises = given.most(page.at() - reserved.acts(), page.at(), each -> each.clears()
                    * (1 - MARGIN));
            double sum = given.most(page.at() - reserved.acts(), page.at(), Given.Page::free);
            for (var service : reserved.services()) {
                sum += given.most(page.at() - reserved.acts(), page.at(), each -> each.given(service.name()));
            }
            if (sum > promises + ROUNDED) {
                breach(findings, page.at(), "Given and free come to %.3f s a second by pages that members may"
                        + " still act by, of %.3f that may be promised.", sum / SECOND, promises / SECOND);
                return;
            }
        }
    }

    /** By the boxes' own book, whenever a page was written or boxes had changed for long enough. */
    private static void boxes(FleetBooks books, Given given, Findings findings) {
        var reserved = books.trial().reserved();
        var times = new TreeSet<Long>();
        given.pages().forEach(each -> times.add(each.at()));
        books.history().boxes().values().forEach(states -> states.forEach(each -> times.add(each.at())));
        for (long at : List.copyOf(times)) {
            times.add(at + reserved.late());
        }
        long end = books.history().beganAt() + books.trial().scenario().length();
        for (long at : times) {
            double cleared = up(books, at - reserved.late()) * reserved.weight();
            for (long each : times.subSet(at - reserved.late(), true, at, true)) {
                cleared = Math.max(cleared, up(books, each) * reserved.weight());
            }
            double counted = given.least(at, at, Given.Page::clears);
            // While none is known the keeper leaves what stands: it may have just begun.
            if (at <= end && cleared > 0 && counted > cleared / (1 - BAND) + ROUNDED) {
                breach(findings, at, "The book counts on %.3f s a second, though for %.1f s no boxes were up"
                        + " that clear more than %.3f.", counted / SECOND, reserved.late() / SECOND,
                        cleared / SECOND);
                return;
            }
        }
    }

    /** The weight of all boxes that are up at a time. */
    private static double up(FleetBooks books, long at) {
        double weight = 0;
        for (var spec : books.trial().scenario().boxes()) {
            var last = books.history().box(spec.index()).stream().filter(each -> each.at() <= at)
                    .reduce((one, other) -> other);
            boolean ready = last.isPresent() && last.get().state() == BoxState.READY;
            weight += ready ? spec.weight() : 0;
        }
        return weight;
    }

    private static boolean near(Service service, long at) {
        return !service.always() && (Math.abs(at - service.from()) < EDGE
                || Math.abs(at - service.until()) < EDGE);
    }

    private static boolean open(Service service, long at) {
        return service.always() || at >= service.from() && at < service.until();
    }

    /** What each may have at most, those that yield last first; pages about an edge are passed over. */
    private static void order(FleetBooks books, Map<String, Service> services, Given.Page page,
            Findings findings) {
        long at = page.at() - books.origin();
        if (services.values().stream().anyMatch(each -> near(each, at))) {
            return;
        }
        kept(services, page, at).forEach((name, keeps) -> {
            double has = page.given(name);
            if (has > keeps + ROUNDED && open(services.get(name), at)) {
                breach(findings, page.at(), "%s is given %.3f s a second, though with what is left to it by"
                        + " those that yield after it, it keeps %.3f.", name, has / SECOND, keeps / SECOND);
            }
        });
    }

    /** What each keeps of what the page says is cleared, {@code at} since the origin. */
    private static Map<String, Double> kept(Map<String, Service> services, Given.Page page, long at) {
        var kept = new LinkedHashMap<String, Double>();
        double left = page.clears() * (1 - MARGIN);
        var order = page.lines().keySet().stream().filter(services::containsKey)
                .sorted(Comparator.comparingInt((String each) -> -services.get(each).rank())
                        .thenComparingLong(each -> page.lines().get(each).age())).toList();
        for (var name : order) {
            double promised = open(services.get(name), at) ? page.lines().get(name).promised() : 0;
            double keeps = Math.min(left, promised);
            kept.put(name, keeps);
            left -= keeps;
        }
        return kept;
    }

    private static void atRest(FleetBooks books, Map<String, Service> services, Given.Page page, long at,
            Findings findings) {
        var kept = kept(services, page, at - books.origin());
        double cleared = up(books, at) * books.trial().reserved().weight();
        for (var name : services.keySet()) {
            double keeps = kept.getOrDefault(name, -1.0);
            boolean has = keeps >= 0 && page.given(name) >= keeps - ROUNDED;
            if (!has || page.clears() < cleared * (1 - BAND) - ROUNDED) {
                var what = String.format(Locale.ROOT, "%s is given %.3f s a second and keeps %.3f by a page"
                        + " that counts on %.3f, while nothing was wrong and boxes clear %.3f.", name,
                        page.given(name) / SECOND, keeps / SECOND, page.clears() / SECOND, cleared / SECOND);
                long waited = books.waits().waited(-1, at - books.trial().reserved().settled(), at);
                if (waited >= ReservedJudge.STARVED) {
                    findings.doubtful("held", at, what);
                } else {
                    findings.breach("held", at, what);
                }
                return;
            }
        }
    }

    private static void windows(FleetBooks books, Given given, Findings findings) {
        var reserved = books.trial().reserved();
        for (var service : reserved.services()) {
            if (service.always()) {
                continue;
            }
            long from = books.origin() + service.from() - CLOCKS;
            long until = books.origin() + service.until() + reserved.late();
            double before = given.most(books.history().beganAt(), from, each -> each.given(service.name()));
            double after = given.most(until, books.history().endedAt(), each -> each.given(service.name()));
            if (before > 0 || after > 0) {
                breach(findings, before > 0 ? from : until, "%s is given %.3f s a second %s its window.",
                        service.name(), Math.max(before, after) / SECOND, before > 0 ? "before" : "after");
            }
        }
    }
}
