package ryemast.lab.site;

import java.util.ArrayDeque;

/** How much work has reached a cold box within the last so many microseconds: what may push it over. */
final class Flood {

    private record Wave(long at, double work) {
    }

    private final ArrayDeque<Wave> waves = new ArrayDeque<>();
    private final long window;
    private double sum;

    Flood(long window) {
        this.window = window;
    }

    /** The work that has come within the window that ends now, this wave included. */
    double after(long now, double work) {
        waves.add(new Wave(now, work));
        sum += work;
        while (waves.peek().at <= now - window) {
            sum -= waves.poll().work;
        }
        return waves.size() == 1 ? sum = work : sum;
    }

    void dry() {
        waves.clear();
        sum = 0;
    }
}
