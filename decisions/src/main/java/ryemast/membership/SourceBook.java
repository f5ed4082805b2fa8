package ryemast.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What one source has said and what of it is believed.
 *
 * <p>An authority is believed at once. Any other source is believed at once where it takes work away from few
 * workers or by an order, and where it gives work to one that has been steady; what would take away too many
 * at once, or comes from a source that was set back or is not certain itself, waits ({@link Bounds}). What is
 * believed follows from this source's own words and their times alone, never from those of other sources.
 */
final class SourceBook {

    /** What the rest of the house knows of a worker beside what the source says. */
    interface Signs {
        /** Whether a call has shown it alive lately. */
        boolean alive(String worker, long now);

        /** Whether a call could not reach it since then. */
        boolean unreachableSince(String worker, long since);
    }

    final String name;
    private final boolean authority;
    private final Bounds bounds;
    private final Signs signs;
    private final Consumer<String> touched;
    private final Consumer<String> news;
    private final Map<String, Known> known = new LinkedHashMap<>();
    /** Losses that are withheld or recent, or flaps that are remembered: what time alone may change. */
    private final Set<Known> restless = new HashSet<>();
    private long version = Long.MIN_VALUE;
    private long heardAt = Long.MIN_VALUE;
    private long failing;
    private long suspectSince;
    private boolean begun;
    /** While a source that was set back is on probation: until when, and its last word. */
    private long probationUntil;
    private Listing onProbation;

    /**
     * {@code touched} hears of each worker whose book has changed, {@code news} of what operators should
     * know.
     */
    SourceBook(String name, boolean authority, Bounds bounds, Signs signs, Consumer<String> touched,
            Consumer<String> news) {
        this.name = name;
        this.authority = authority;
        this.bounds = bounds;
        this.signs = signs;
        this.touched = touched;
        this.news = news;
    }

    boolean isAuthority() {
        return authority;
    }

    Known known(String id) {
        return known.get(id);
    }

    SourceView view() {
        int workers = 0;
        int withheld = 0;
        for (var each : known.values()) {
            workers += each.believed.condition() == Condition.GONE ? 0 : 1;
            withheld += each.withheldAt > 0 ? 1 : 0;
        }
        return new SourceView(name, version, heardAt, failing, suspectSince, workers, withheld);
    }

    void failed(long now) {
        failing = failing == 0 ? now : failing;
    }

    /** It goes on saying what it said. */
    void unchanged(long now) {
        heardAt = now;
        failing = 0;
    }

    void observe(long now, Listing listing) {
        unchanged(now);
        if (authority) {
            version = listing.version();
            take(now, listing, true);
            return;
        }
        if (begun && listing.version() < version) {
            if (probationUntil == 0) {
                probationUntil = now + bounds.probation();
                suspect(now);
                news.accept(name + " went back from version " + version + " to " + listing.version()
                        + ": for " + bounds.probation() / 1_000_000 + " s it may only take work away");
            }
            onProbation = listing;
            takeAway(now, listing);
        } else if (begun && listing.age() > bounds.oldest()) {
            // What it was certain of once, it may have lost since; an order then is an order still.
            takeAway(now, listing);
        } else {
            probationUntil = 0;
            onProbation = null;
            // A list of nobody is believed in nothing, nor in how new it is.
            version = begun && listing.complete()
                    && listing.sightings().isEmpty() ? version : listing.version();
            take(now, listing, false);
        }
    }

    /** What time alone changes: losses that have waited long enough, and a probation that has ended. */
    void pass(long now) {
        if (probationUntil > 0 && now >= probationUntil) {
            var listing = onProbation;
            probationUntil = 0;
            onProbation = null;
            version = listing.version();
            news.accept(name + " is followed from version " + version + " on");
            take(now, listing, false);
        }
        int serving = serving();
        for (var each : inOrder()) {
            boolean recent = each.lostAt > 0 && now < each.lostAt + bounds.lossWindow();
            if (each.lostAt > 0 && !recent) {
                each.lostAt = 0;
            }
            if (each.withheldAt > 0 && now >= each.withheldAt + bounds.suspectFor() && failing == 0
                    && !signs.alive(each.id, now) && serving > 1) {
                serving--;
                news.accept(each.id + " was kept for " + bounds.suspectFor() / 1_000_000 + " s though " + name
                        + " had lost it; as nothing was heard of it, that is believed now");
                lose(now, each);
            }
            if (each.flaps != null && !each.held(now)) {
                touched.accept(each.id);
                each.flaps = each.flaps.forgotten(now) ? null : each.flaps;
            }
            if (each.lostAt == 0 && each.withheldAt == 0 && each.flaps == null) {
                restless.remove(each);
            }
        }
        retryWithheld(now);
        unsuspect();
    }

    /** When {@link #pass} may change something; {@link Long#MAX_VALUE}: never by time alone. */
    long nextDue(long now) {
        long due = probationUntil > 0 ? probationUntil : Long.MAX_VALUE;
        for (var each : restless) {
            if (each.lostAt > 0) {
                due = Math.min(due, each.lostAt + bounds.lossWindow());
            }
            if (each.withheldAt > 0) {
                long until = each.withheldAt + bounds.suspectFor();
                due = Math.min(due, until > now ? until : now + bounds.aliveFor());
            }
            if (each.flaps != null) {
                due = Math.min(due, each.held(now) ? each.flaps.steadyAt() : now + bounds.halfLife());
            }
        }
        return due;
    }

    /** Takes a worker's book away that has been gone for long; false if it is not. */
    boolean forget(String id) {
        var one = known.get(id);
        if (one != null && one.believed.condition() == Condition.GONE) {
            known.remove(id);
            restless.remove(one);
        }
        return !known.containsKey(id);
    }

    /**
     * The workers that this list no longer names have been taken off it: a second look says so, elsewhere.
     */
    void confirmGone(long now, Set<String> present) {
        int serving = serving();
        for (var each : inOrder()) {
            boolean absent = each.withheldAt > 0 && each.last.condition() == Condition.GONE;
            if (absent && !present.contains(each.id) && serving > 1) {
                serving--;
                lose(now, each);
            }
        }
        unsuspect();
    }

    /** By name: who of several is given up first must not depend on how a list was ordered. */
    private List<Known> inOrder() {
        return restless.stream().sorted((one, other) -> one.id.compareTo(other.id)).toList();
    }

    private int serving() {
        int count = 0;
        for (var each : known.values()) {
            count += each.serves() ? 1 : 0;
        }
        return count;
    }

    /** From a source in doubt: orders, and checks that fail; nothing that gives work, and no silence. */
    private void takeAway(long now, Listing listing) {
        var named = byId(listing);
        var less = new ArrayList<Sighting>();
        for (var each : named.values()) {
            var one = known.get(each.id());
            boolean stricter = one != null && each.condition().compareTo(one.believed.condition()) > 0;
            // One that is gone here may be listed elsewhere, and a drain counts there, too.
            if (stricter || each.condition() == Condition.DRAINING) {
                less.add(each);
            }
        }
        apply(now, less);
    }

    private void take(long now, Listing listing, boolean believed) {
        var named = byId(listing);
        var words = new ArrayList<>(named.values());
        if (listing.complete()) {
            for (var each : known.values()) {
                if (!named.containsKey(each.id) && each.last.condition() != Condition.GONE) {
                    words.add(each.last.as(Condition.GONE, ""));
                }
            }
        }
        if (believed) {
            words.forEach(each -> believe(now, book(each), each));
        } else {
            var absent = new HashSet<String>();
            words.subList(named.size(), words.size()).forEach(each -> absent.add(each.id()));
            apply(now, words, absent);
        }
        begun = true;
    }

    /**
     * Of two entries for one worker the one counts that was registered last; of two at the same time the one
     * that allows less, so that no order of entries gives another list.
     */
    private static Map<String, Sighting> byId(Listing listing) {
        var found = new LinkedHashMap<String, Sighting>();
        for (var each : listing.sightings()) {
            found.merge(each.id(), each, (one, other) -> {
                int later = Long.compare(other.registered(), one.registered());
                int less = other.condition().compareTo(one.condition());
                int order = later != 0 ? later : less != 0 ? less
                        : String.valueOf(one.address()).compareTo(String.valueOf(other.address()));
                return order > 0 ? other : one;
            });
        }
        return found;
    }

    private Known book(Sighting sighting) {
        return known.computeIfAbsent(sighting.id(), Known::new);
    }

    private void apply(long now, List<Sighting> words) {
        apply(now, words, Set.of());
    }

    /** {@code absent}: those of them that the list does not name: lost, perhaps, without an order. */
    private void apply(long now, List<Sighting> words, Set<String> absent) {
        var losses = new LinkedHashSet<Known>();
        for (var each : words) {
            var one = book(each);
            boolean order = each.condition().isOrder() && !absent.contains(each.id());
            boolean loss = one.serves() && !order && !each.condition().serves();
            one.last = each;
            if (loss) {
                losses.add(one);
            } else {
                believe(now, one, each);
            }
        }
        // Those lost before and withheld that this list, as it speaks of changes only, does not name.
        for (var each : restless) {
            if (each.withheldAt > 0) {
                losses.add(each);
            }
        }
        settleLosses(now, losses);
        unsuspect();
    }

    private void settleLosses(long now, Collection<Known> losses) {
        if (losses.isEmpty()) {
            return;
        }
        long recent = restless.stream().filter(each -> each.lostAt > 0).count();
        int serving = serving();
        long most = Math.max(1, (long) (bounds.lossShare() * (serving + recent)));
        if (losses.size() + recent > most || losses.size() >= serving) {
            suspect(now);
            for (var each : losses) {
                if (each.withheldAt == 0) {
                    each.withheldAt = Math.max(1, now);
                    restless.add(each);
                    touched.accept(each.id);
                }
            }
        } else {
            losses.forEach(each -> lose(now, each));
        }
    }

    /** A window has passed, or others are back: what was too much then may be little now. */
    private void retryWithheld(long now) {
        if (failing == 0 && probationUntil == 0) {
            settleLosses(now,
                    new ArrayList<>(restless.stream().filter(each -> each.withheldAt > 0).toList()));
        }
    }

    private void lose(long now, Known one) {
        one.lostAt = Math.max(1, now);
        if (one.flaps == null) {
            one.flaps = new Flaps(bounds);
        }
        one.flaps.fell(now);
        restless.add(one);
        one.withheldAt = 0;
        change(one, one.last);
    }

    private void believe(long now, Known one, Sighting word) {
        var before = one.believed;
        one.last = word;
        if (one.withheldAt > 0) {
            one.withheldAt = 0;
            touched.accept(one.id);
        }
        if (word.condition().serves()) {
            if (!authority && isAnew(one, before, word)) {
                one.begunAt = now;
            }
            one.lostAt = 0;
        }
        change(one, word);
    }

    /**
     * Whether the worker's process has begun since it was last seen, where the source does not say when: it
     * is new on a list that was known, or was put on it anew, or a call found nobody there while its checks
     * failed. One that is taken for new without need gets less work for a while; one that is new and was not
     * taken for it falls over.
     */
    private boolean isAnew(Known one, Sighting before, Sighting word) {
        if (before == null) {
            return begun;
        }
        boolean counted = before.registered() > 0 && word.registered() > 0;
        return (counted ? word.registered() > before.registered() : before.condition() == Condition.GONE)
                || before.condition() == Condition.CRITICAL
                        && signs.unreachableSince(one.id, Math.max(1, one.lostAt));
    }

    private void change(Known one, Sighting word) {
        if (!word.sameAs(one.believed)) {
            one.believed = word;
            touched.accept(one.id);
        }
    }

    private void suspect(long now) {
        if (suspectSince == 0) {
            suspectSince = Math.max(1, now);
            news.accept(name + " is suspect: it was set back, or has lost too many workers at once");
        }
    }

    private void unsuspect() {
        if (suspectSince > 0 && probationUntil == 0
                && restless.stream().noneMatch(each -> each.withheldAt > 0)) {
            suspectSince = 0;
            news.accept(name + " is believed again");
        }
    }
}
