package ryemast.lab.site;

import ryemast.lab.scenario.Scenario.WarmBy;

/**
 * How much of its capacity a box has since its start: the part {@code w}, from what it starts with to 1.
 *
 * <p>By time it rises evenly over the stated time. By work, what the box does counts on top of that, a fully
 * busy warm box's work as much as the time it takes: {@code w' = a + b w}, with {@code a} the even rise and
 * {@code b = a} times the part of its cores in use. So it is never slower than evenly over that time, as
 * dispatchers are promised, and both ways have one closed form to integrate exactly, whatever the steps.
 */
final class Warmth {

    /** Newton's method doubles the right digits with each step: more are never needed. */
    private static final int NEWTON_STEPS = 50;
    /** What rounding may leave, in microseconds or as a part. */
    private static final double CLOSE = 1e-9;

    private final double rise;
    private final boolean byWork;
    private double part;

    /** {@code over}: microseconds until it is warm by time alone; not positive: it is warm. */
    Warmth(double startsWith, long over, WarmBy by) {
        boolean warm = startsWith >= 1 || over <= 0;
        part = warm ? 1 : startsWith;
        rise = warm ? 0 : (1 - startsWith) / over;
        byWork = by == WarmBy.WORK;
    }

    double part() {
        return part;
    }

    boolean warm() {
        return part >= 1;
    }

    /** Goes on by so many microseconds and returns the integral of the part over them. */
    double advance(double time, double use) {
        double cold = Math.min(time, untilWarm(use));
        double area = area(cold, use);
        double next = cold < time ? 1 : after(cold, use);
        part = next > 1 - CLOSE ? 1 : next;
        return area + time - cold;
    }

    /** In how many microseconds the integral of the part reaches {@code area}. */
    double timeFor(double area, double use) {
        double cold = untilWarm(use);
        double coldArea = area(cold, use);
        if (area >= coldArea) {
            return cold + area - coldArea;
        }
        double growth = growth(use);
        if (growth == 0) {
            // rise t^2 / 2 + part t = area, in the form that loses no digits
            return 2 * area / (part + Math.sqrt(part * part + 2 * rise * area));
        }
        double time = Math.min(cold, area / part);
        for (int i = 0; i < NEWTON_STEPS; i++) {
            double off = (area(time, use) - area) / after(time, use);
            time -= off;
            if (Math.abs(off) < CLOSE) {
                break;
            }
        }
        return time;
    }

    private double growth(double use) {
        return byWork ? rise * use : 0;
    }

    private double untilWarm(double use) {
        if (part >= 1) {
            return 0;
        }
        double growth = growth(use);
        return growth == 0 ? (1 - part) / rise
                : StrictMath.log((1 + growth / rise) / (1 + part * growth / rise)) / growth;
    }

    private double after(double time, double use) {
        double growth = growth(use);
        return growth == 0 ? part + rise * time
                : part + (part + rise / growth) * StrictMath.expm1(growth * time);
    }

    private double area(double time, double use) {
        double growth = growth(use);
        return growth == 0 ? time * (part + rise * time / 2)
                : (after(time, use) - part - rise * time) / growth;
    }
}
