package ryemast.fleet.signals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import ryemast.health.WorkerHealth;
import ryemast.health.TrafficState;

/**
 * The books of one life of a member in a {@link SignalsTrial}: what came over each link, in its sender's own
 * order, and what it sent to workers itself. From these follow bounds on what it may believe and tell. Slow
 * and plain, and apart from {@link Signals}: of the code only the reading of digests is used.
 */
final class SignalsJudge {

    private static final double S = SignalsTrial.S;
    private static final double ROUNDING = 0.02;
    /** A job that has been out for longer may be overdue, which is a sign as well. */
    private static final long PROMPT = 20 * SignalsTrial.MS;
    private static final long TROUBLE_LASTS = 40 * SignalsTrial.S;

    /** A tale and when it was sent in truth, on this member's clock. */
    private record Heard(Tale tale, long at) {
    }

    /** What came from one life of a peer. */
    private static final class Told {
        final Map<Integer, Heard> tales = new HashMap<>();
        long newest;
        long newestAt;
        /** When the newest was sent in truth. */
        long newestSent;

        /** How much of a tale's jobs may be believed. */
        double held(Heard each, long now) {
            return now - each.at > 2.5 * S ? 0 : each.tale.jobs() * Math.exp((newestSent - now) / S);
        }

        double total(long now) {
            return tales.values().stream().mapToDouble(each -> held(each, now)).sum();
        }
    }

    /** A link, and the life of its peer that has the say: the next one has to wait until it is silent. */
    private static final class Link {
        final Map<Integer, Long> past = new HashMap<>();
        boolean lies;
        int life;
        Told told;
        /** Whether that life has answered ours. */
        boolean answered;
        long noSayUntil;
        /** Since when it brings news of one life with no gap and nothing that costs the say. */
        long wellSince;

        void came(long now, long sentAt, long self, SignalsTrial.Sent sent, Digest digest) {
            long number = digest.sequence();
            if (sent.life() != life || told == null) {
                boolean before = past.containsKey(sent.life());
                double silent = told == null ? S : now - told.newestAt;
                if (silent < S / 2 || before && (silent <= 3 * S || number <= past.get(sent.life()))) {
                    return;
                }
                if (told != null) {
                    past.put(life, told.newest);
                }
                past.remove(sent.life());
                told = new Told();
                answered = false;
                told.newest = number - 1;
                life = sent.life();
                wellSince = now;
            }
            if (number <= told.newest || sent.blatant()) {
                if (number < told.newest - 64 || sent.blatant() && number > told.newest) {
                    wellSince = now;
                    noSayUntil = now + (long) (10 * S);
                    told.tales.clear();
                }
                return;
            }
            wellSince = now - told.newestAt > S / 2 ? now : wellSince;
            told.newest = number;
            told.newestAt = now;
            told.newestSent = sentAt;
            answered |= digest.echo() != null && digest.echo().process() == self;
            if (now >= noSayUntil) {
                digest.tales().forEach(tale -> told.tales.put(tale.code(), new Heard(tale, sentAt)));
            }
        }

        boolean hasSay(long now) {
            return answered && now >= noSayUntil && now - told.newestAt <= 3 * S;
        }

        boolean isWell(long now, double since) {
            return told != null && now >= noSayUntil && now - wellSince > since
                    && now - told.newestAt < S / 2;
        }
    }

    /** What was done with a worker in this life. */
    private static final class Used {
        final List<Long> out = new ArrayList<>();
        final Deque<Long> served = new ArrayDeque<>();
        int ends;
        int successes;
        long troubleAt = Long.MIN_VALUE / 2;

        boolean isWithoutTrouble(long now) {
            return now - troubleAt > TROUBLE_LASTS && out.stream().allMatch(sent -> now - sent < PROMPT);
        }
    }

    private final long process;
    private final Link[] links;
    private final Map<String, Used> used = new HashMap<>();

    /** {@code process}: the mark of this life; the last so many of the members lie. */
    SignalsJudge(long process, int members, int liars) {
        this.process = process;
        links = IntStream.range(0, members).mapToObj(i -> new Link()).toArray(Link[]::new);
        Arrays.stream(links).skip(members - liars).forEach(link -> link.lies = true);
    }

    /** Times are of this member's clock; {@code sentAt}: when it was sent in truth. */
    void came(long now, long sentAt, SignalsTrial.Sent sent, Digest digest) {
        links[sent.sender()].came(now, sentAt, process, sent, digest);
    }

    void sent(String worker, long at) {
        used.computeIfAbsent(worker, id -> new Used()).out.add(at);
    }

    /** The member was told that it is a new process: what was seen of the former one is no evidence. */
    void startedAnew(String worker) {
        if (used.containsKey(worker)) {
            used.get(worker).served.clear();
        }
    }

    void ended(String worker, long sentAt, boolean success, long now) {
        var of = used.get(worker);
        of.out.remove(sentAt);
        of.ends++;
        if (success) {
            of.successes++;
            of.served.add(now);
        } else {
            of.troubleAt = now;
        }
    }

    boolean knows(int peer) {
        return links[peer].told != null;
    }

    /** Whether news of that life of a peer has come for so long, with no gap, and nothing cost its say. */
    boolean isWell(long now, int peer, int life, double since) {
        return links[peer].life == life && links[peer].isWell(now, since);
    }

    /** Whoever tells what can be, and has heard us for long enough to have answered, is heard. */
    void heard(long now, int heard, IntPredicate hasHeardUs, Map<String, String> breaches) {
        long well = IntStream.range(0, links.length).filter(i -> !links[i].lies
                && links[i].isWell(now, S) && hasHeardUs.test(i)).count();
        if (heard < well) {
            breach(breaches, "heard", heard + " peers have a say, " + well + " should");
        }
    }

    private static void breach(Map<String, String> breaches, String rule, Object what) {
        breaches.putIfAbsent(rule, String.valueOf(what));
    }

    /** Only own evidence is told. */
    void told(long now, Own own, Map<String, String> breaches) {
        var tale = own.tale();
        var mine = used.get(own.worker());
        if (tale == null) {
            return;
        }
        if (mine == null || tale.jobs() > mine.out.size() + ROUNDING
                || tale.samples() > mine.successes + ROUNDING
                || tale.evidence() > mine.ends + 1 + ROUNDING) {
            breach(breaches, "own", tale);
        } else if (tale.sick() > 0.3 && mine.isWithoutTrouble(now)) {
            breach(breaches, "own", "suspects without a sign: " + tale);
        }
    }

    /** What is believed is within what peers, each for itself and by its last word, have told. */
    void believed(long now, Collection<Own> beliefs, Map<String, Borrowed> borrowed,
            Map<String, String> breaches) {
        double honest = beliefs.stream().filter(own -> own.tale() != null)
                .mapToDouble(own -> own.tale().jobs()).sum();
        double most = Math.max(4, 2 * honest);
        double all = 0;
        var lies = new ArrayList<Double>();
        int more = 1;
        for (var link : links) {
            double total = link.hasSay(now) ? link.told.total(now) : 0;
            if (link.hasSay(now) && link.lies) {
                lies.add(total);
            } else if (link.hasSay(now)) {
                all += total;
                most = Math.max(most, 2 * total);
                more++;
            }
        }
        double room = most;
        double sum = all + lies.stream().mapToDouble(each -> Math.min(room, each)).sum();
        double jobs = borrowed.values().stream().mapToDouble(Borrowed::jobs).sum();
        if (more > lies.size() && jobs > sum * 1.01 + ROUNDING) {
            breach(breaches, "share", jobs + " jobs in all, of " + sum);
        }
        for (var own : beliefs) {
            var of = borrowed.get(own.worker());
            if (of != null) {
                believed(now, own, of, breaches);
            }
        }
    }

    private void believed(long now, Own own, Borrowed of, Map<String, String> breaches) {
        double jobs = 0;
        var sick = new ArrayList<Double>();
        var speeds = new ArrayList<Double>();
        for (var link : links) {
            var heard = link.hasSay(now) ? link.told.tales.get(Tale.code(own.worker())) : null;
            if (heard == null || heard.at < own.startedAt()) {
                continue;
            }
            var tale = heard.tale;
            jobs += link.told.held(heard, now);
            if (tale.evidence() > 0 && heard.at - tale.age() >= own.startedAt()) {
                sick.add(tale.sick() * Math.exp((heard.at - tale.age() - now) / S / 8));
            }
            if (tale.speed() > 0) {
                speeds.add(Math.log(tale.speed()));
            }
        }
        if (of.jobs() > jobs * 1.01 + ROUNDING) {
            breach(breaches, "held", of.jobs() + " of " + jobs + " at " + own);
        }
        if (of.sick() > 0 && (sick.size() < 2 || of.sick() > second(sick, own.tale() == null ? 0
                : own.tale().sick()) + ROUNDING)) {
            breach(breaches, "two", of + " of suspicions " + sick + " beside " + own);
        }
        if (of.samples() > 0) {
            double mine = Math.log(own.speed());
            var slow = speeds.stream().map(each -> -each).toList();
            double room = Math.log(3);
            boolean within = speeds.size() >= 2
                    && of.logSpeed() <= Math.max(mine - room, second(speeds, mine)) + ROUNDING
                    && -of.logSpeed() <= Math.max(-mine - room, second(slow, -mine)) + ROUNDING;
            if (!within || of.samples() > 12 || Math.abs(of.logSpeed() - mine) > room + ROUNDING) {
                breach(breaches, "two", of + " of speeds " + speeds + " beside " + own);
            }
        }
    }

    /** The second largest of what peers tell and we believe: one alone may say more, two or we must agree. */
    private static double second(List<Double> told, double own) {
        var all = new ArrayList<>(told);
        all.add(own);
        return all.stream().sorted().toList().get(all.size() - 2);
    }

    /** What others say sets nobody aside, and weighs little beside fresh evidence of our own. */
    void stands(long now, String worker, WorkerHealth box, Map<String, String> breaches) {
        var mine = used.get(worker);
        if (mine != null && !mine.isWithoutTrouble(now)) {
            return;
        }
        if (box.trafficState() == TrafficState.EJECTED) {
            breach(breaches, "aside", worker + " was never seen to fail");
        }
        if (mine != null) {
            mine.served.removeIf(at -> now - at > 2 * S);
            if (mine.served.size() >= 6 && box.sickProbability(now) > 0.15) {
                breach(breaches, "first", worker + " is suspect, " + mine.served.size() + " served in 2 s");
            }
        }
    }
}
