package ryemast.lab.model;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.fleet.signals.WorkerReport;

/**
 * How modelled dispatchers tell each other of workers.
 *
 * @param period  between two tellings, in microseconds
 * @param late    how much later than by the network alone each datagram comes, in microseconds
 * @param lie     what the first so many dispatchers, {@code liars}, tell in place of the truth
 */
public record Talk(long period, long late, Lie lie, int liars) {

    /** What a liar may say; a fault of a member, as after a wrong clock, a bug or a wrong file. */
    public enum Lie {
        /** All workers are idle, quick and well. */
        IDLE,
        /** It has many jobs everywhere. */
        FULL,
        /** All workers let nothing through. */
        SICK,
        /** Half of the workers are full, slow and sick, the others idle and quick. */
        HERD,
        /** Speeds are off by nearly what counts as impossible, up for one half and down for the other. */
        SPEED,
        /** Any of these, changing with each worker and second. */
        WILD
    }

    private static final Pattern FORM = Pattern.compile(
            "signals(?:@(?:period=([0-9.]{1,6}))?,?(?:late=([0-9.]{1,6}))?,?"
            + "(?:lie=([a-z]+)(?:\\*([0-9]))?)?)?");
    private static final double SECOND = 1e6;
    private static final long USUAL_PERIOD = 100_000;
    private static final double MANY_JOBS = 40;

    /**
     * Null for what is no such text: {@code signals}, or {@code signals@period=0.2,late=3,lie=herd*2}, of
     * which any part may be left out; seconds, and how many lie.
     */
    static Talk of(String spec) {
        var match = FORM.matcher(spec);
        if (!match.matches()) {
            return null;
        }
        try {
            return new Talk(micros(match.group(1), USUAL_PERIOD), micros(match.group(2), 0),
                    match.group(3) == null ? null : Lie.valueOf(match.group(3).toUpperCase(Locale.ROOT)),
                    match.group(3) == null ? 0
                    : match.group(4) == null ? 1 : Integer.parseInt(match.group(4)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static long micros(String seconds, long otherwise) {
        return seconds == null ? otherwise : (long) (Double.parseDouble(seconds) * SECOND);
    }

    /** What dispatcher {@code number} says where it believes this. */
    List<LocalEstimate> said(int number, long now, List<LocalEstimate> beliefs) {
        return number >= liars ? beliefs : beliefs.stream().map(each -> lied(each, now)).toList();
    }

    private LocalEstimate lied(LocalEstimate truth, long now) {
        int code = WorkerReport.nameHash(truth.worker());
        var kinds = Lie.values();
        var kind = lie != Lie.WILD ? lie
                : kinds[Math.floorMod(WorkerReport.nameHash(truth.worker() + now / (long) SECOND),
                kinds.length - 1)];
        boolean up = (code & 1) == 0;
        double speed = truth.speed();
        var told = truth.report() == null ? new WorkerReport(code, 0, 0, 0, 0, 0, 0, 0) : truth.report();
        var tale = switch (kind) {
            case IDLE -> new WorkerReport(code, 0, 0, 2 * speed, 50, 0, 20, 0);
            case FULL -> new WorkerReport(code, MANY_JOBS, MANY_JOBS, speed, 50, 0, 20, 0);
            case SICK -> new WorkerReport(code, told.jobs(), told.work(), speed, 50, 1, 20, 0);
            case HERD -> up ? new WorkerReport(code, 0, 0, 8 * speed, 50, 0, 20, 0)
                    : new WorkerReport(code, MANY_JOBS, MANY_JOBS, speed / 8, 50, 1, 20, 0);
            default -> new WorkerReport(code, told.jobs(), told.work(), up ? speed * 12 : speed / 12, 50,
                    told.suspicion(),
                    told.evidence(), told.age());
        };
        return new LocalEstimate(truth.worker(), truth.startedAt(), truth.slots(), speed, tale);
    }
}
