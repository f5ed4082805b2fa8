package ryemast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells slow from sick and whose fault it was: keeps the evidence, and gives each box a part of the traffic.
 *
 * <p>One per dispatcher. It is told of every send and of what became of it, holds no clock (times are handed
 * in, in microseconds) and decides no job. Only the guilty pays: a job that fails elsewhere too, a class that
 * fails everywhere, trouble that all boxes share, our own stall and a job that hangs alone blame no box; a
 * whole zone that goes down is taken as one. At most two thirds of the boxes are set aside: beyond that it is
 * likelier that the fault is ours. docs/health.md weighs the options.
 */
public final class Health {

    /** Trials of a box that fails at once are cheap: a round later the job is elsewhere. */
    static final long FIRST_PAUSE = 100_000;
    static final long LONGEST_PAUSE = 1_000_000;
    /** A trial that meets silence costs its client as long as it takes to notice. */
    static final long FIRST_PAUSE_SILENT = 1_000_000;
    static final long LONGEST_PAUSE_SILENT = 2_000_000;
    /** From this on a box gets less than its share, and from the second on only trials. */
    static final double SUSPECT = 0.3;
    private static final double SICK = 0.8;
    private static final double MOST_ASIDE = 2.0 / 3;
    /** A box of a zone that has gone down otherwise: one more bad sign would convict it. */
    private static final double ZONE_SUSPECT = 0.5;
    private static final int LEAST_OF_ZONE = 3;
    /** Lines a second for the operators at most. */
    private static final long LINE_EVERY = 1_000_000;
    private static final long NEWS_EVERY = 10_000_000;

    final CommonRates rates = new CommonRates();
    final Silence silence;
    final TrialTurns turns;
    private final Purse purse;
    private final Refusals refusals = new Refusals();
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final Set<Box> suspects = new LinkedHashSet<>();
    private final Set<Box> dirty = new LinkedHashSet<>();
    private List<Box> listed = List.of();
    private final List<String> lines = new ArrayList<>();
    private long lineAt;
    private long newsAt;
    private final long stall;
    private boolean mostSick;
    /** When we woke from our last stall, and how long that was. */
    private long awakeAt = Long.MIN_VALUE / 2;
    private long deafFor;
    long sends;

    /**
     * @param startsTold        whether boxes tell when a job starts
     * @param progressInterval  how often a running job is heard of, 0 if never
     * @param period            the time of a round, in which nothing is overdue
     * @param self              the dispatcher's number, from 0
     */
    public Health(boolean startsTold, long progressInterval, long period, int self, int dispatchers) {
        silence = new Silence(this, startsTold, progressInterval, period, dispatchers);
        turns = new TrialTurns(self, dispatchers);
        purse = new Purse(dispatchers);
        stall = 5 * period;
    }

    public Box box(String id) {
        return boxes.computeIfAbsent(id, name -> new Box(this, name));
    }

    /** Nothing is out at this box, and it will not come back. */
    public void forget(String id) {
        var box = boxes.remove(id);
        suspects.remove(box);
        dirty.remove(box);
    }

    /** The boxes that may get jobs now. */
    public void list(List<Box> ready) {
        listed = List.copyOf(ready);
    }

    int listed() {
        return listed.size();
    }

    public Purse purse() {
        return purse;
    }

    public Refusals refusals() {
        return refusals;
    }

    /** The shortest time seen from a send to its start; the largest number before the first. */
    public long way() {
        return silence.way();
    }

    /** A timer has come: if it is very late, we were deaf meanwhile, and no box is to blame for that. */
    public void woke(long now, long dueAt) {
        if (now - dueAt > stall) {
            awakeAt = now;
            deafFor = now - dueAt;
        }
    }

    /** Whether what is heard now may have waited for us: its time tells nothing. */
    public boolean wasDeaf(long now) {
        return now <= awakeAt + stall;
    }

    /** The time since {@code from} in which we could have heard something, in seconds. */
    double heardSince(long from, long now) {
        long deaf = from < awakeAt ? Math.min(deafFor, awakeAt - from) : 0;
        return (now - from - deaf) / 1e6;
    }

    boolean mostSick() {
        return mostSick;
    }

    void changed(Box box) {
        dirty.add(box);
    }

    /** Gives every box that something has been seen of its standing; to be called before each round. */
    public void review(long now) {
        turns.at(now);
        suspects.addAll(dirty);
        dirty.clear();
        if (suspects.isEmpty()) {
            return;
        }
        var sick = new LinkedHashMap<Box, Double>();
        for (var each : suspects) {
            double opinion = each.sick(now);
            if (opinion > SUSPECT / 2) {
                sick.put(each, opinion);
            } else {
                stand(each, Standing.FULL, 1, now);
            }
        }
        suspects.retainAll(sick.keySet());
        dirty.clear();
        sick.keySet().retainAll(listed);
        blameZones(sick);
        var aside = sick.keySet().stream().filter(each -> sick.get(each) >= SICK)
                .sorted(Comparator.comparing(sick::get)).toList();
        long most = (long) (MOST_ASIDE * listed.size());
        mostSick = aside.size() > Math.max(1, listed.size() / 2);
        for (var each : sick.keySet()) {
            double opinion = sick.get(each);
            int place = aside.indexOf(each);
            if (place >= 0 && aside.size() - place <= most) {
                stand(each, Standing.TRIAL, 0, now);
            } else if (opinion >= SUSPECT) {
                stand(each, Standing.REDUCED, Math.max(1 - opinion, place >= 0 ? 0.5 : 0), now);
            } else {
                stand(each, Standing.FULL, 1, now);
            }
        }
    }

    /** Where most of a zone is sick while other zones are not, the rest of it is suspect. */
    private void blameZones(Map<Box, Double> sick) {
        if (sick.size() < LEAST_OF_ZONE) {
            return;
        }
        Map<Integer, int[]> zones = new LinkedHashMap<>();
        for (var each : listed) {
            var counts = zones.computeIfAbsent(each.zone, zone -> new int[2]);
            counts[0]++;
            counts[1] += sick.getOrDefault(each, 0.0) >= SICK ? 1 : 0;
        }
        if (zones.size() < 2 || zones.values().stream().noneMatch(each -> 3 * each[1] < each[0])) {
            return;
        }
        for (var each : listed) {
            var counts = zones.get(each.zone);
            if (counts[1] >= LEAST_OF_ZONE && 3 * counts[1] >= 2 * counts[0]) {
                sick.merge(each, ZONE_SUSPECT, Math::max);
                suspects.add(each);
            }
        }
    }

    /** A box that a job which may be repeated should go to now, to see whether it is well; null for none. */
    public Box trialDue(long now) {
        if (!suspects.isEmpty()) {
            for (var each : suspects) {
                if (each.trialDue(now)) {
                    return each;
                }
            }
        }
        return null;
    }

    private void stand(Box box, Standing standing, double share, long now) {
        var before = box.standing;
        box.stand(standing, share, now);
        boolean aside = standing == Standing.TRIAL;
        if (aside != (before == Standing.TRIAL) && now >= lineAt) {
            lineAt = now + LINE_EVERY;
            lines.add(box.belief(now).words());
        }
    }

    /** What is believed of every box that is not plainly well. */
    public List<Belief> beliefs(long now) {
        return suspects.stream().map(each -> each.belief(now)).toList();
    }

    /** Lines for the operators since the last call. */
    public List<String> news(long now) {
        if (now >= newsAt) {
            newsAt = now + NEWS_EVERY;
            var line = refusals.news();
            if (!line.isEmpty()) {
                lines.add(line);
            }
        }
        var found = List.copyOf(lines);
        lines.clear();
        return found;
    }
}
