package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerState;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Box;
import ryemast.lab.fit.Seen.Request;

/** What went wrong: boxes by what discovery said and how attempts ended, classes by spells in their jobs. */
final class Mishaps {

    private static final double SECOND = 1e6;
    /** Discovery tells of a silent death so late at most. */
    private static final long TOLD_LATE = 30_000_000;
    /** So many sigmas, and so many times, over what is to be expected of its hint is a heavy job. */
    private static final double SIGMAS = 3.1;
    private static final double HEAVY = 2.5;
    /** A spell in so many jobs of all is no spell but how the class is. */
    private static final double MOST_OF_TIME = 0.9;

    private final Seen seen;
    private final Speeds speeds;
    private final List<Attempt> runs;
    private final List<Mishap> found = new ArrayList<>();
    private final Set<Request> heavy = new HashSet<>();
    /** When a box was down, by what was found: its failures then are no fault of their own. */
    private final List<Mishap> down = new ArrayList<>();

    Mishaps(Seen seen, Speeds speeds, List<Attempt> runs) {
        this.seen = seen;
        this.speeds = speeds;
        this.runs = runs;
        seen.boxes().forEach(this::lives);
        for (var each : speeds.slow()) {
            found.add(Mishap.of("slow", each.box(), each.fromS(), lasts(each.fromS(), each.untilS()),
                    "its runs took longer for their hints").withSize(each.factor(), Double.NaN));
        }
        int classes = seen.jobs().stream().mapToInt(job -> job.jobClass).max().orElse(-1) + 1;
        for (int jobClass = 0; jobClass < classes; jobClass++) {
            heavy(jobClass, classes);
            poisoned(jobClass, classes);
        }
        for (var box : seen.boxes()) {
            outcomes(box, Outcome.ERROR, "errors", "its jobs ended in errors");
            outcomes(box, Outcome.RESET, "resets", "its connections were reset, or its jobs lost");
        }
        found.sort(Comparator.comparingDouble(each -> each.atS().value()));
    }

    List<Mishap> all() {
        return found;
    }

    /** Runs that belong to a spell of heavy jobs: they say nothing of how the class is otherwise. */
    boolean isHeavy(Attempt run) {
        return heavy.contains(run.job.first);
    }

    private static Figure lasts(Figure from, Figure until) {
        return new Figure(until.value() - from.value(), Math.max(0, until.low() - from.high()),
                until.high() - from.low(), until.samples(), until.what());
    }

    /** A box's lives as discovery told them; a new start without a drain before it was a crash. */
    private void lives(Box box) {
        Seen.Listing ready = null;
        Seen.Listing draining = null;
        Seen.Listing gone = null;
        for (var each : box.listings) {
            boolean anew = ready != null && each.startedAt() > ready.startedAt() && each.startedAt() >= 0;
            if (each.state() == WorkerState.DRAINING) {
                draining = draining == null ? each : draining;
            } else if (each.state() == WorkerState.GONE) {
                gone = each;
            } else {
                if (ready != null && anew) {
                    ended(box, draining, each.startedAt(), true);
                } else if (draining != null && !anew) {
                    ended(box, draining, each.at(), true);
                }
                ready = each;
                draining = null;
                gone = null;
            }
        }
        if (draining != null) {
            ended(box, draining, seen.length(), false);
        } else if (gone != null && ready != null) {
            ended(box, null, gone.at(), false);
        }
    }

    private void ended(Box box, Seen.Listing draining, long backAt, boolean back) {
        var until = back ? new Figure(backAt / SECOND, backAt / SECOND, backAt / SECOND, 1, "start told")
                : new Figure(seen.length() / SECOND, backAt / SECOND, Double.NaN, 1,
                "end: it was not back by then");
        Mishap mishap;
        if (draining != null) {
            double at = draining.at() / SECOND;
            var from = new Figure(at, Double.NaN, at, 1,
                    "drain told; when it began is not known, only when it was told");
            mishap = Mishap.of("drain", box, from, lasts(from, until), back
                    ? "discovery said that it drains, then"
                    + " that it started anew" : "discovery said that it drains; it was not back by the end");
        } else {
            long lastGood = 0;
            long firstBad = backAt;
            boolean reset = false;
            for (var each : box.attempts) {
                if (each.sentAt < backAt - TOLD_LATE || each.sentAt > backAt) {
                    if (each.sentAt > backAt) {
                        break;
                    }
                }
                long word = each.ended() ? each.endedAt : each.started() ? each.startedAt
                        : each.acceptedAt != Seen.NEVER ? each.acceptedAt : 0;
                lastGood = word <= backAt ? Math.max(lastGood, word) : lastGood;
            }
            for (var each : box.attempts) {
                boolean bad = each.outcome == Outcome.RESET || each.outcome == Outcome.CONNECT_FAILED;
                if (bad && each.endedAt > lastGood && each.endedAt < backAt) {
                    firstBad = Math.min(firstBad, each.endedAt);
                    reset |= each.outcome == Outcome.RESET;
                }
            }
            var from = new Figure(Math.min(firstBad, backAt) / SECOND, lastGood / SECOND, firstBad / SECOND,
                    1,
                    "death: between its last word and the first failure");
            mishap = Mishap.of(reset || !back ? "crash" : "vanish", box, from, lasts(from, until), back
                    ? "discovery told of a new start and of no drain" : "discovery took it off the list");
        }
        found.add(mishap);
        down.add(mishap);
    }

    /** Jobs of a class that cost a multiple of their hints, in a stretch of time. */
    private void heavy(int jobClass, int classes) {
        var telling = runs.stream().filter(run -> run.job.jobClass == jobClass && speeds.tells(run)
                && (!speeds.hinted() || run.job.hint > 0)).toList();
        var of = Runs.onePerJob(telling, seen.length()).stream()
                .sorted(Comparator.comparingLong(run -> run.job.first.at)).toList();
        // Over what is to be expected of its hint, not over the hint: under load a dispatcher takes jobs with
        // small hints, and those mostly cost more than their hints say.
        var excesses = of.stream().mapToDouble(speeds::excess).toArray();
        double spread = Stats.sigma(excesses, "").value();
        double bar = Math.max(Math.log(HEAVY), SIGMAS * (Double.isNaN(spread) ? 0.5 : spread));
        // A run that was cut short below the bar may have become either.
        var certain = new ArrayList<Integer>();
        for (int i = 0; i < of.size(); i++) {
            if (of.get(i).done() || excesses[i] > bar) {
                certain.add(i);
            }
        }
        var at = certain.stream().mapToDouble(i -> of.get(i).job.first.at / SECOND).toArray();
        var hit = new boolean[at.length];
        for (int i = 0; i < hit.length; i++) {
            hit[i] = excesses[certain.get(i)] > bar;
        }
        for (var spell : Scan.find(at, hit, classes, "jobs of the class")) {
            if (spell.share().samples() > MOST_OF_TIME * at.length) {
                continue;
            }
            var sizes = new ArrayList<Double>();
            for (int i = 0; i < hit.length; i++) {
                if (hit[i] && spell.holds(at[i])) {
                    sizes.add(Math.exp(excesses[certain.get(i)]));
                    heavy.add(of.get(certain.get(i)).job.first);
                }
            }
            var sorted = sizes.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            long cut = certain.stream().filter(i -> excesses[i] > 0 && !of.get(i).done()
                    && spell.holds(of.get(i).job.first.at / SECOND)).count();
            found.add(Mishap.of("heavy", null, spell.fromS(), lasts(spell.fromS(), spell.untilS()),
                    "its jobs cost a multiple of their hints"
                    + (cut == 0 ? "" : "; " + cut + " of them were cut "
                            + "short, and may have cost any more")).withClass(jobClass)
                            .withShare(spell.share())
                    .withSize(new Figure(Stats.quantile(sorted, 0.05), sorted[0], sorted[sorted.length - 1],
                            sorted.length, "heavy jobs; the range that nine in ten lie in"),
                            Stats.quantile(sorted, 0.95)));
        }
    }

    /** Jobs of a class that end in errors wherever they run, in a stretch of time. */
    private void poisoned(int jobClass, int classes) {
        var of = runs.stream().filter(run -> run.job.jobClass == jobClass && run.ended())
                .sorted(Comparator.comparingLong(run -> run.job.at)).toList();
        var at = of.stream().mapToDouble(run -> run.job.at / SECOND).toArray();
        var hit = new boolean[at.length];
        for (int i = 0; i < hit.length; i++) {
            hit[i] = of.get(i).outcome == Outcome.ERROR;
        }
        for (var spell : Scan.find(at, hit, classes, "runs of the class that ended")) {
            var boxes = new HashSet<Box>();
            for (int i = 0; i < hit.length; i++) {
                if (hit[i] && spell.holds(at[i])) {
                    boxes.add(of.get(i).box);
                }
            }
            // At one box alone, it is the box.
            if (boxes.size() > 1) {
                found.add(Mishap.of("poisoned", null, spell.fromS(), lasts(spell.fromS(), spell.untilS()),
                        "its jobs ended in errors at " + boxes.size() + " boxes").withClass(jobClass)
                        .withShare(spell.share()));
            }
        }
    }

    private void outcomes(Box box, Outcome outcome, String kind, String words) {
        var of = box.attempts.stream().filter(each -> each.outcome != null && each.outcome != Outcome.NOT_SENT
                && !isDown(box, each.endedAt / SECOND) && !isPoisoned(each)).toList();
        var at = of.stream().mapToDouble(each -> each.sentAt / SECOND).toArray();
        var hit = new boolean[at.length];
        for (int i = 0; i < hit.length; i++) {
            hit[i] = of.get(i).outcome == outcome;
        }
        for (var spell : Scan.find(at, hit, seen.boxes().size(), "attempts there")) {
            found.add(Mishap.of(kind, box, spell.fromS(), lasts(spell.fromS(), spell.untilS()), words)
                    .withShare(spell.share()));
        }
    }

    private boolean isDown(Box box, double at) {
        return down.stream().anyMatch(each -> each.box() == box && at >= each.atS().value() - 1
                && at <= each.atS().value() + each.forS().value() + 2);
    }

    private boolean isPoisoned(Attempt attempt) {
        double at = attempt.job.at / SECOND;
        return found.stream().anyMatch(each -> each.kind().equals("poisoned")
                && each.jobClass() == attempt.job.jobClass && at >= each.atS().value()
                && at <= each.atS().value() + each.forS().value());
    }
}
