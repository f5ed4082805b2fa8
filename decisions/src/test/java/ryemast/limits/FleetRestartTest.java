package ryemast.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

/**
 * All workers of a site restart at once, and every dispatcher sends them as much as its budget allows. An
 * independent record per worker checks every window of the rule: at most N plus two square roots of N plus 2
 * calls, and N plus three square roots of N plus 3 if N is below 30. Both the number of calls and their work
 * in mean jobs are checked.
 */
class FleetRestartTest {

    private static final long SECOND = 1_000_000;
    private static final long STEP = SECOND / 10;
    private static final int[] DISPATCHERS = {1, 3, 14, 100, 300};
    private static final int SEEDS = 200;
    /** A job that no worker may take tries this many of them at each step, for this long. */
    private static final int WORKERS_TRIED = 4;
    private static final long PATIENCE = 2 * SECOND;

    /** A waiting job, and since when it waits. */
    private record Waiting(int dispatcher, double size, long since) {
    }

    /** Time and work of the sends, with their number and sum within the window. */
    private static final class SendRecord {
        private final ArrayDeque<double[]> sent = new ArrayDeque<>();
        private double sum;

        double sumSince(long from) {
            while (!sent.isEmpty() && sent.peek()[0] <= from) {
                sum -= sent.poll()[1];
            }
            return sent.isEmpty() ? 0 : sum;
        }

        int calls() {
            return sent.size();
        }

        void add(long now, double work) {
            sent.add(new double[] {now, work});
            sum += work;
        }
    }

    /** One simulated power cut. */
    private static final class Restart {
        private final SplittableRandom random;
        private final int members;
        private final int sizeMix;
        private final double mean;
        private final long window;
        private final long coldFor;
        private final double startCapacity;
        private final double multiple;
        private final SlowStartBudget[] budgets;
        private final double[] capacity;
        private final long[] startedAt;
        /**
         * Each dispatcher's error in the workers' capacity, its jobs so far, its start, and when it knows the
         * list.
         */
        private final double[] guess;
        private final double[] jobs;
        private final double[] work;
        private final long[] bornAt;
        private final long[] knowsAt;
        private final SendRecord[][] own;
        private final SendRecord[] received;
        double worst;
        int sent;

        Restart(int seed, BiFunction<Integer, Integer, int[]> numbers) {
            random = new SplittableRandom(seed);
            members = DISPATCHERS[seed % DISPATCHERS.length];
            sizeMix = random.nextInt(4);
            mean = Math.exp(random.nextDouble(-3, 1));
            window = random.nextLong(SECOND / 2, 3 * SECOND);
            coldFor = random.nextLong(8 * SECOND, 22 * SECOND);
            startCapacity = random.nextDouble(0.1, 0.4);
            multiple = random.nextDouble(2, 5);
            boolean promised = seed % 2 == 0;
            budgets = new SlowStartBudget[members];
            for (int i = 0; i < members; i++) {
                int[] place = numbers.apply(i, members);
                budgets[i] = new SlowStartBudget(place[0], place[1], coldFor, startCapacity, multiple, window,
                        promised);
            }
            capacity = new double[(int) Math.exp(random.nextDouble(0, Math.log(201)))];
            startedAt = new long[capacity.length];
            received = new SendRecord[capacity.length];
            long cutAt = 10 * SECOND;
            for (int i = 0; i < capacity.length; i++) {
                capacity[i] = (1 + random.nextInt(4)) * Math.exp(random.nextDouble(-0.5, 0.7));
                startedAt[i] = cutAt + (seed % 2 == 0 ? 0 : random.nextLong(SECOND));
                received[i] = new SendRecord();
            }
            guess = new double[members];
            jobs = new double[members];
            work = new double[members];
            bornAt = new long[members];
            knowsAt = new long[members];
            own = new SendRecord[members][capacity.length];
            for (int i = 0; i < members; i++) {
                guess[i] = Math.exp(random.nextDouble(-0.4, promised ? 0 : 0.2));
                knowsAt[i] = cutAt + random.nextLong(2 * SECOND);
                // Some dispatchers restart during the slow start and lose the record of their sends.
                if (random.nextInt(10) == 0) {
                    bornAt[i] = cutAt + random.nextLong(coldFor);
                }
            }
        }

        double size() {
            return mean * switch (sizeMix) {
                case 0 -> 1;
                case 1 -> Math.exp(random.nextDouble(-3.45, 3.45)) / 4.57;
                case 2 -> random.nextInt(20) == 0 ? 10.5 : 0.5;
                default -> Math.exp(1.2 * gaussian() - 0.72);
            };
        }

        private double gaussian() {
            return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                    * Math.cos(2 * Math.PI * random.nextDouble());
        }

        Restart run() {
            double demand = Arrays.stream(capacity).sum() * random.nextDouble(1, 3) / mean;
            demand = Math.min(demand, 1_500);
            var waiting = new ArrayDeque<Waiting>();
            double due = 0;
            for (long now = 10 * SECOND; now < 10 * SECOND + coldFor; now += STEP) {
                for (due += demand * STEP / SECOND; due >= 1; due--) {
                    int member = random.nextInt(members);
                    double size = size();
                    jobs[member]++;
                    work[member] += size;
                    waiting.add(new Waiting(member, size, now));
                }
                for (int left = waiting.size(); left > 0; left--) {
                    var job = waiting.poll();
                    if (!isPlaced(job, now) && now - job.since() < PATIENCE) {
                        waiting.add(job);
                    }
                }
            }
            return this;
        }

        private boolean isPlaced(Waiting job, long now) {
            int self = job.dispatcher();
            for (int asked = 0; asked < WORKERS_TRIED && knowsAt[self] <= now
                    && bornAt[self] <= now; asked++) {
                int worker = random.nextInt(capacity.length);
                long born = bornAt[self];
                var book = own[self][worker] == null ? new SendRecord() : own[self][worker];
                // A mean over few jobs is reduced, as in the decision module.
                double known = work[self] / (jobs[self] + 2);
                if (startedAt[worker] <= now && budgets[self].allows(worker, startedAt[worker],
                        capacity[worker] * guess[self], known, job.size(), book.sumSince(now - window), born,
                        now)) {
                    own[self][worker] = book;
                    book.add(now, Math.max(job.size(), work[self] / jobs[self]));
                    received[worker].add(now, job.size());
                    sent++;
                    double n = multiple * capacity[worker]
                            * budgets[self].warmUp(startedAt[worker], now) * window / SECOND / mean;
                    double chance = n < 30 ? 3 : 2;
                    double bound = n + chance * Math.sqrt(n) + chance;
                    double work = received[worker].sumSince(now - window) / mean;
                    worst = Math.max(worst, Math.max(work, received[worker].calls()) / bound);
                    return true;
                }
            }
            return false;
        }
    }

    private static int[] numbered(int self, int members) {
        return new int[] {self, members};
    }

    @Test
    void noWorkerInSlowStartIsOverloadedIn200PowerCuts() {
        double worst = 0;
        int pushed = 0;
        int sent = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            var cut = new Restart(seed, FleetRestartTest::numbered).run();
            sent += cut.sent > 0 ? 1 : 0;
            pushed += cut.worst > 1 ? 1 : 0;
            worst = Math.max(worst, cut.worst);
        }
        assertEquals(0, pushed, "the worst load was " + worst + " of the limit");
        assertTrue(worst > 0.5, "only " + worst + " of the limit was ever used");
        assertTrue(sent >= SEEDS - 3, "nothing was sent in " + (SEEDS - sent) + " power cuts");
    }

    /** Each dispatcher uses a budget as if it were the only one. */
    @Test
    void aBudgetPerDispatcherIsDetected() {
        int found = 0;
        for (int seed = 0; seed < 10; seed++) {
            found += new Restart(seed, (self, members) -> numbered(0, 1)).run().worst > 1 ? 1 : 0;
        }
        assertTrue(found >= 4, found + " of 10");
    }
}
