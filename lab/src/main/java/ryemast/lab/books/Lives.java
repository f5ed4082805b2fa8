package ryemast.lab.books;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.books.Books.DispatcherState;

/**
 * The dispatchers' processes, one after the other. A dispatcher that nobody wrote of, as one that somebody
 * else runs, is taken to have lived all the time.
 */
final class Lives {

    /**
     * One process.
     *
     * @param until    when it had ended, {@link Attempt#NEVER} if it had not
     * @param end      how, null if it had not
     * @param toldAt   when it was told to end
     * @param pauses   from and until, when it stood still
     */
    record Life(long from, long until, DispatcherState end, long toldAt, List<long[]> pauses) {

        static final Life ENDLESS = new Life(Long.MIN_VALUE, Attempt.NEVER, null, Attempt.NEVER, List.of());

        boolean killed() {
            return end == DispatcherState.KILLED;
        }
    }

    private final Map<Integer, List<Life>> lives = new HashMap<>();

    Lives(History history) {
        history.dispatchers().forEach((dispatcher, states) -> lives.put(dispatcher, read(states)));
    }

    /** The process that was there then, or else the last one before. */
    Life at(int dispatcher, long at) {
        Life last = Life.ENDLESS;
        for (Life life : lives.getOrDefault(dispatcher, List.of())) {
            if (life.from <= at) {
                last = life;
            }
        }
        return last;
    }

    /** For how long of that time the dispatcher stood still. */
    long pausedWithin(int dispatcher, long from, long until) {
        long paused = 0;
        for (Life life : lives.getOrDefault(dispatcher, List.of())) {
            for (long[] pause : life.pauses) {
                paused += Math.max(0, Math.min(until, pause[1]) - Math.max(from, pause[0]));
            }
        }
        return paused;
    }

    /** When a limit that began to run at {@code from} is over, as it stands while the dispatcher does. */
    long standing(int dispatcher, long from, long dueAt) {
        long due = dueAt;
        for (Life life : lives.getOrDefault(dispatcher, List.of())) {
            for (long[] pause : life.pauses) {
                if (pause[0] < due && pause[1] > from) {
                    long stood = pause[1] - Math.max(from, pause[0]);
                    due = pause[1] == Attempt.NEVER ? Attempt.NEVER : due + stood;
                }
            }
        }
        return due;
    }

    private static List<Life> read(List<History.DispatcherAt> states) {
        List<Life> lives = new ArrayList<>();
        long from = Long.MIN_VALUE;
        long toldAt = Attempt.NEVER;
        long pausedAt = Attempt.NEVER;
        boolean open = false;
        List<long[]> pauses = new ArrayList<>();
        for (History.DispatcherAt state : states) {
            switch (state.state()) {
                case STARTED -> {
                    from = state.at();
                    toldAt = Attempt.NEVER;
                    pauses = new ArrayList<>();
                    open = true;
                }
                case READY -> open = true;
                case TOLD_TO_END -> toldAt = state.at();
                case PAUSED -> pausedAt = state.at();
                case RESUMED -> {
                    pauses.add(new long[] {pausedAt, state.at()});
                    pausedAt = Attempt.NEVER;
                }
                case KILLED, DIED, ENDED -> {
                    if (pausedAt != Attempt.NEVER) {
                        pauses.add(new long[] {pausedAt, state.at()});
                        pausedAt = Attempt.NEVER;
                    }
                    // A killed process is also seen to end; only the first word on it counts.
                    if (open || lives.isEmpty()) {
                        lives.add(new Life(from, state.at(), state.state(), toldAt, pauses));
                    }
                    open = false;
                }
            }
        }
        if (pausedAt != Attempt.NEVER) {
            pauses.add(new long[] {pausedAt, Attempt.NEVER});
        }
        if (open || lives.isEmpty()) {
            lives.add(new Life(from, Attempt.NEVER, null, toldAt, pauses));
        }
        return lives;
    }
}
