package ryemast.lab.site;

import ryemast.lab.world.Timeline;

/**
 * What spreads clients' connections over the dispatchers: in turn, over those it takes for alive; a stated
 * part of them goes to one of those in place of the next: the first, and where that is gone the one after it,
 * which then keeps them.
 *
 * <p>It takes a dispatcher in as soon as that one is ready, and gives a dead one connections until it
 * notices, a while later; one that is ready again before then was never left out. Owned by one timeline.
 */
public final class Front {

    /** Returned when it knows of no dispatcher that lives. */
    public static final int NOBODY = -1;

    private final boolean[] taken;
    private final Timeline.Timer[] notices;
    private final long notice;
    private final Timeline time;
    private final double leans;
    private double owed;
    private int last = -1;
    private int favourite;

    /** {@code notice}: from a dispatcher's death until it gets no more connections. */
    public Front(int dispatchers, long notice, Timeline time) {
        this(dispatchers, notice, 0, time);
    }

    /** {@code leans}: the part of the connections that go to one dispatcher as long as it lives. */
    public Front(int dispatchers, long notice, double leans, Timeline time) {
        this.leans = leans;
        taken = new boolean[dispatchers];
        notices = new Timeline.Timer[dispatchers];
        this.notice = notice;
        this.time = time;
    }

    /** Which dispatcher the next connection goes to, or {@link #NOBODY}. */
    public int next() {
        owed += leans;
        if (owed >= 1) {
            owed--;
            int found = next(favourite - 1);
            favourite = found == NOBODY ? favourite : found;
            return found;
        }
        int found = next(last);
        last = found == NOBODY ? last : found;
        return found;
    }

    private int next(int after) {
        for (int i = 1; i <= taken.length; i++) {
            int candidate = (after + i) % taken.length;
            if (taken[candidate]) {
                return candidate;
            }
        }
        return NOBODY;
    }

    /** A dispatcher has died or says that it takes no more. */
    public void died(int dispatcher, long at) {
        forgetNotice(dispatcher);
        notices[dispatcher] = time.at(at + notice, () -> {
            notices[dispatcher] = null;
            taken[dispatcher] = false;
        });
    }

    /** Its health check has said 200. */
    public void ready(int dispatcher, long at) {
        forgetNotice(dispatcher);
        taken[dispatcher] = true;
    }

    private void forgetNotice(int dispatcher) {
        if (notices[dispatcher] != null) {
            notices[dispatcher].cancel();
            notices[dispatcher] = null;
        }
    }
}
