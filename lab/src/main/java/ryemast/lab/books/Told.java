package ryemast.lab.books;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ryemast.lab.books.Books.BoxState;

/**
 * What a dispatcher has been told of one box: what discovery wrote to it, and what counts as told because
 * discovery had it to tell 6 s ago and has written nothing newer of that box.
 */
final class Told {

    /** Whatever discovery has to tell counts as told so long after, whether it arrived or not. */
    static final long AT_THE_LATEST = 6_000_000;

    private final List<History.Listing> told = new ArrayList<>();

    Told(History history, int dispatcher, int box) {
        List<History.Listing> written = history.listings(box).stream()
                .filter(listing -> listing.dispatcher() == dispatcher).toList();
        told.addAll(written);
        for (History.Listing listing : history.listings(box)) {
            long latest = latest(listing.at(), history.deaf().getOrDefault(dispatcher, List.of()));
            if (listing.listable() && written.stream()
                    .noneMatch(w -> w.at() >= listing.at() && w.at() <= latest)) {
                told.add(new History.Listing(dispatcher, latest, listing.state(), listing.startedAt()));
            }
        }
        told.sort(Comparator.comparingLong(History.Listing::at));
    }

    /** Time stands while nothing can arrive. */
    private static long latest(long listableAt, List<long[]> deaf) {
        long latest = listableAt + AT_THE_LATEST;
        for (long[] span : deaf) {
            if (span[0] < latest && span[1] > listableAt) {
                latest += span[1] - Math.max(listableAt, span[0]);
            }
        }
        return latest;
    }

    /** Since when it knows that the box drains or is gone; {@link Attempt#NEVER} if it thinks it ready. */
    long unfitSince(long at) {
        long since = Attempt.NEVER;
        for (History.Listing listing : told) {
            if (listing.at() > at) {
                break;
            }
            if (listing.state() == BoxState.READY) {
                since = Attempt.NEVER;
            } else if (since == Attempt.NEVER) {
                since = listing.at();
            }
        }
        return since;
    }

    /** Whether it knew by then of a start at that time. */
    boolean ofStart(long startedAt, long at) {
        for (History.Listing listing : told) {
            if (listing.at() <= at && listing.state() == BoxState.READY
                    && listing.startedAt() >= startedAt - Rule.SLACK) {
                return true;
            }
        }
        return false;
    }
}
