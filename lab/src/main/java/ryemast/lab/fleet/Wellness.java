package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ryemast.lab.books.Books.DispatcherState;

/** When each process was up, moving and unharmed, with the agent in reach: what a fire can rest on. */
final class Wellness {

    /** From and until, in microseconds. */
    record Span(long from, long until) {
        long length() {
            return until - from;
        }
    }

    private static final long NONE = Long.MAX_VALUE;
    private static final long MOMENT = 1_000_000;
    /** Each way: a call and its answer then take longer than a call may, a third of a lease of 3 s. */
    private static final double TOO_SLOW_MS = 450;

    private final List<List<Span>> spans = new ArrayList<>();

    Wellness(FleetBooks books) {
        for (int i = 0; i < books.trial().scenario().dispatchers().count(); i++) {
            spans.add(of(books, i));
        }
    }

    /** Whether some process was well for so long at a stretch between the two times. */
    boolean lasted(long from, long until, long length) {
        return spans.stream().flatMap(List::stream).anyMatch(each ->
                Math.min(until, each.until) - Math.max(from, each.from) >= length);
    }

    List<Span> of(int process) {
        return spans.get(process);
    }

    private static List<Span> of(FleetBooks books, int process) {
        var up = new ArrayList<Span>();
        boolean ready = false;
        long since = NONE;
        long pausedAt = NONE;
        long before = NONE;
        for (var state : books.history().dispatcher(process)) {
            long at = state.at();
            switch (state.state()) {
                case READY -> {
                    ready = true;
                    since = at;
                }
                case PAUSED -> {
                    pausedAt = at;
                    before = since;
                }
                case RESUMED -> {
                    // A moment's pause is no harm to what takes seconds.
                    boolean brief = at - pausedAt < MOMENT;
                    if (ready && brief && before != NONE) {
                        up.remove(up.size() - 1);
                    }
                    since = !ready ? NONE : brief ? before : at;
                }
                default -> ready = false;
            }
            if (since != NONE && (!ready || state.state() == DispatcherState.PAUSED)) {
                up.add(new Span(since, at));
                since = NONE;
            }
        }
        if (since != NONE) {
            up.add(new Span(since, books.history().endedAt()));
        }
        for (var each : books.struck()) {
            var kind = each.strike().kind();
            boolean slow = kind == StrikeKind.SLOW && each.strike().size() >= TOO_SLOW_MS;
            // Who lags behind the highest revision claims nothing; for a moment, that is no harm either.
            boolean lags = kind == StrikeKind.REVISE && !each.hits(process)
                    && each.untilAt() - each.at() >= MOMENT;
            if (lags || each.hits(process) && (kind.disables() || kind.deafens() || slow
                    || kind.struck() == StrikeKind.Struck.CLOCK)) {
                without(up, each.at(), each.untilAt());
            }
        }
        up.sort(Comparator.comparingLong(Span::from));
        return List.copyOf(up);
    }

    private static void without(List<Span> spans, long from, long until) {
        for (var each : List.copyOf(spans)) {
            if (each.from < until && each.until > from) {
                spans.remove(each);
                if (each.from < from) {
                    spans.add(new Span(each.from, from));
                }
                if (each.until > until) {
                    spans.add(new Span(until, each.until));
                }
            }
        }
    }
}
