package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.fleet.Wellness.Span;

/** Times in which nothing had struck or changed for so long that reservations are owed. */
final class Quiet {

    private Quiet() {
    }

    static List<Span> of(FleetBooks books) {
        var reserved = books.trial().reserved();
        var history = books.history();
        long settled = reserved.settled();
        var troubled = new ArrayList<Span>();
        for (var each : books.struck()) {
            troubled.add(new Span(each.at(), each.untilAt() + settled));
        }
        for (int i = 0; i < books.trial().scenario().dispatchers().count(); i++) {
            // Pauses on command are strikes; the others are the machine's, and for whoever judges by time.
            history.dispatcher(i).stream().filter(each -> each.state() != DispatcherState.PAUSED
                    && each.state() != DispatcherState.RESUMED).forEach(each ->
                    troubled.add(new Span(each.at(), each.at() + settled)));
        }
        for (var states : history.boxes().values()) {
            BoxState before = null;
            for (var each : states) {
                // A box that is ready and gets warm is written down again, and is the same to the book.
                if (each.state() != before) {
                    troubled.add(new Span(each.at(), each.at() + settled));
                }
                before = each.state();
            }
        }
        for (var each : reserved.services()) {
            if (!each.always()) {
                // What is given up ahead of a window's begin is free room, which nobody is owed.
                long opens = books.origin() + each.from();
                long closes = books.origin() + each.until();
                troubled.add(new Span(opens - BookJudge.EDGE, opens + settled));
                troubled.add(new Span(closes, closes + settled));
            }
        }
        troubled.sort(Comparator.comparingLong(Span::from));
        var quiet = new ArrayList<Span>();
        long from = history.beganAt() + settled;
        // After the last new job there is no demand.
        long end = history.beganAt() + books.trial().scenario().length();
        for (var each : troubled) {
            if (Math.min(each.from(), end) > from) {
                quiet.add(new Span(from, Math.min(each.from(), end)));
            }
            from = Math.max(from, each.until());
        }
        if (end > from) {
            quiet.add(new Span(from, end));
        }
        return quiet;
    }
}
