package ryemast.lab.fit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Request;
import ryemast.lab.fit.Tries.Behaviour;
import ryemast.lab.scenario.Replay;
import ryemast.lab.scenario.Scenario.Backoff;
import ryemast.lab.scenario.Scenario.Shape;

/**
 * Learns a scenario from recordings of a site's dispatchers.
 *
 * <p>In an order in which each step needs the ones before: which requests are tries of one job; speeds of
 * boxes by hints, and where these leap; how far hints are off; what went wrong, heavy spells among it; then
 * the work of each class outside such spells, and when jobs come. What a recording can't tell is said in
 * words, and the key keeps its default.
 */
public final class Fitter {

    private static final double SECOND = 1e6;
    private static final double MS = 1e3;
    private static final double EXACT = 0.01;

    private final Seen seen;
    private final Platform platform;
    private final List<Attempt> runs;
    private final Speeds speeds;
    private final Figure hintSigma;
    private final Mishaps mishaps;
    private final Behaviour behaviour;
    private final List<Request> first;
    private final List<String> untold = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();

    private Fitter(Seen seen) {
        this.seen = seen;
        platform = new Platform(seen.settings());
        Tries.link(seen.jobs());
        first = seen.firstTries();
        runs = Runs.of(seen, platform.tellsStarts());
        speeds = new Speeds(seen, runs, platform.coldFor());
        hintSigma = hintSigma();
        mishaps = new Mishaps(seen, speeds, runs);
        behaviour = Tries.behaviour(seen.jobs(), seen.length());
    }

    /**
     * @param recordings  each a folder or a file; those of several dispatchers of one site
     * @throws IOException with a message for people: one can't be read, or they don't belong together
     */
    public static Fitted fit(List<Path> recordings, boolean withReplay) throws IOException {
        return fit(Collector.collect(recordings), withReplay);
    }

    static Fitted fit(Seen seen, boolean withReplay) throws IOException {
        if (seen.boxes().isEmpty() || seen.jobs().isEmpty() || seen.length() <= 0) {
            throw new IOException("the recording holds " + seen.jobs().size() + " jobs and " + seen.boxes()
                    .size()
                    + " boxes; nothing can be learned without both");
        }
        return new Fitter(seen).fitted(withReplay);
    }

    private Fitted fitted(boolean withReplay) {
        var top = new Table("", "run");
        var title = String.format(Locale.ROOT, "fitted to %.0f s of %d jobs at %d boxes",
                seen.length() / SECOND,
                first.size(), seen.boxes().size());
        top.text("title", title, "");
        // Up to the next tenth of a second, so that the last job is within it.
        double lastJob = (first.get(first.size() - 1).at / 100_000 + 1) / 10.0;
        top.number("length_s", Math.max(0.1, Math.min(86_400, lastJob)), "until the last job came");
        top.number("resolution_ms", platform.number("resolution", 5_000) / MS, "");
        var zones = platform.names("areas");
        if (!zones.isEmpty()) {
            top.raw("zones", "[" + String.join(", ", zones.stream().map(Table::quoted).toList()) + "]", null,
                    "");
        }
        tables.add(top);
        tables.addAll(platform.tables(seen.sources()));
        tables.add(network());
        tables.add(new DiscoveryTable(seen).table());
        var kinds = new KindTables(seen, platform, speeds, mishaps);
        tables.addAll(kinds.tables());
        untold.addAll(kinds.untold());
        var demand = new DemandTables(seen, platform, speeds, mishaps, runs, first, behaviour);
        tables.add(load(demand, withReplay, kinds.capacity()));
        tables.add(clients());
        tables.addAll(demand.tables());
        var faults = new FaultTables(seen, platform, mishaps, kinds);
        tables.addAll(faults.tables(withReplay));
        var replay = withReplay ? new Replay(demand.replay()) : null;
        untold.addAll(demand.untold());
        whatCantBeTold();
        return new Fitted(title, tables, mishaps.all(), mishaps.all().stream().map(faults::words).toList(),
                untold,
                seen.warnings(), replay, platform.classes().stream().map(Platform.JobClass::name).toList(),
                platform.tenants().stream().map(Platform.Tenant::name).toList());
    }

    private Figure hintSigma() {
        if (!speeds.hinted()) {
            return Figure.none("clients gave no hints");
        }
        var errors = runs.stream().filter(run -> run.done() && run.job.hint > 0 && speeds.tells(run))
                .mapToDouble(run -> Math.log(speeds.work(run) / run.job.hint)).toArray();
        return Stats.sigma(errors, "hinted jobs");
    }

    /** A worker answers 202 at once, so that half the time until then is one way. */
    private Table network() {
        var waits = seen.boxes().stream().flatMap(box -> box.attempts.stream())
                .filter(each -> each.acceptedAt != Seen.NEVER)
                .mapToDouble(each -> Math.max(0, each.acceptedAt - each.sentAt) / 2 / MS).toArray();
        return new Table("[model]", "model").figure("one_way_ms",
                Stats.median(waits, "answers of boxes, half of each"), 0, 60_000);
    }

    private Table load(DemandTables demand, boolean withReplay, double capacity) {
        var table = new Table("[load]", "load");
        var shape = demand.shape();
        if (withReplay) {
            table.text("replay", "REPLAY", "the very jobs, in place of the figures below");
            table.remark("drawn anew, it would be rate_per_s = " + Figure.text(shape.rate().value()) + " ("
                    + shape.rate().words() + "), shape = " + shape.shape().name().toLowerCase(Locale.ROOT)
                    + (shape.shape() == Shape.STEADY ? "" : ", swing = " + Figure.text(shape.swing().value())
                    + ", period_s = " + Figure.text(shape.periodS().value())));
        } else {
            table.figure("rate_per_s", shape.rate(), 0.001, 1e6);
            table.text("shape", shape.shape().name().toLowerCase(Locale.ROOT), shape.shape() == Shape.STEADY
                    ? "no more uneven than chance" : "");
            if (shape.shape() != Shape.STEADY) {
                table.figure("swing", shape.swing(), 0, 1);
                table.figure("period_s", shape.periodS(), 0.01, 86_400);
            }
        }
        long hinted = first.stream().filter(job -> job.hint > 0).count();
        var given = Stats.share(hinted, first.size(), "jobs");
        if (hinted == 0) {
            table.text("hints", "none", "no job had one");
            untold.add("speeds in absolute terms and work in absolute terms: no job had a hint, so that only"
                    + " their ratio shows; the mean speed is taken as 1");
        } else if (hintSigma.known() && hintSigma.value() < EXACT) {
            table.text("hints", "exact", "");
        } else {
            table.text("hints", "rough", "given with " + Figure.text(100 * given.value()) + "% of jobs");
            table.figure("hint_sigma", hintSigma, 0, 5);
            untold.add("whether all hints are off by one common factor: it can't be told from the boxes' "
                    + "speeds,"
                    + " and does not matter to a run, as work is fitted by the same hints");
        }
        double quota = platform.tenants().stream().mapToDouble(Platform.Tenant::quota).sum();
        if (quota > 0 && capacity > 0) {
            double jobs = capacity / demand.meanWorkSeconds();
            table.number("quota_of_capacity", Math.max(0.001, Math.min(100, quota / jobs)),
                    "the settings' quotas together are " + Figure.text(quota) + " jobs a second");
        }
        table.remark("body_bytes is not recorded: the default holds");
        return table;
    }

    private Table clients() {
        var table = new Table("[clients]", "clients");
        table.number("retries", behaviour.retries(), "the most that was seen; " + (behaviour.again().known()
                ? Figure.text(100 * behaviour.again().value())
                + "% of tries that were not served were followed by "
                + "another (" + behaviour.again().words() + ")" : "no try went unserved with time left"));
        table.text("backoff", behaviour.backoff().name().toLowerCase(Locale.ROOT),
                behaviour.backoffMs().known() ? "" : "no retry was seen");
        if (behaviour.backoff() != Backoff.NONE) {
            table.figure("backoff_ms", behaviour.backoffMs(), 0, 60_000);
        }
        if (behaviour.honour().known()) {
            table.figure("honour", behaviour.honour(), 0, 1);
        } else {
            table.remark("honour is not fitted: no try came after a Retry-After of 30 ms or more, and"
                    + " shorter ones can't be told from a client's own haste");
        }
        if (behaviour.impatient().known() && behaviour.impatient().value() > 0) {
            table.figure("impatient", behaviour.impatient(), 0, 1);
        }
        table.flag("marks_retry", Platform.flag(platform.object("callers"), "marks_retry", false), "");
        table.number("over_share_worth", Math.max(0, Math.min(1, platform.number("over_share_worth", 0.1))),
                "");
        return table;
    }

    private void whatCantBeTold() {
        long open = runs.stream().filter(run -> run.outcome == null).count();
        long cut = runs.stream().filter(run -> run.outcome != null && !run.ended()).count();
        if (open + cut > 0) {
            untold.add((open + cut) + " runs never came to their own end (" + open
                    + " still ran when the recording"
                    + " ended, " + cut + " were cancelled, timed out or lost): what they would have cost is "
                    + "known to"
                    + " be more than was seen, and no more than that; their classes' work is fitted with "
                    + "them as"
                    + " such");
        }
        long neverRan = first.stream().filter(job -> job.attempts.stream().noneMatch(Attempt::started))
                .count();
        if (neverRan > 0) {
            untold.add(neverRan + " jobs were never seen to start: nothing but their hints tells of their "
                    + "cost");
        }
        int fleet = (int) platform.number("fleet_size", 1);
        if (fleet > seen.sources()) {
            untold.add("what the other " + (fleet - seen.sources()) + " of " + fleet
                    + " dispatchers sent: boxes were"
                    + " shared with them, so that cores, queues and waits show in part; record all and fit "
                    + "them"
                    + " together");
        }
        if (!platform.tellsStarts()) {
            untold.add("when jobs started: boxes don't tell; speeds rest on jobs that were alone at a box");
        }
        untold.add("what never happened while it was recorded: how boxes warm up, when connections run out, "
                + "what a"
                + " handshake costs; the defaults hold");
    }
}
