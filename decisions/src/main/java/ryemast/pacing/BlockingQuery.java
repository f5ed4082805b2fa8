package ryemast.pacing;

import java.util.SplittableRandom;

/**
 * The pace of one blocking query, as Consul's API documentation asks of clients: the index of each answer
 * goes with the next call; one that goes backwards, as after a restore or at another server, is forgotten, so
 * that the next call returns at once with the present state; one that is not above 0 counts as 1; and
 * whatever the server does, calls are limited in rate: by a bucket that an answer takes from and that fills
 * evenly. Setbacks are followed by pauses that double, with full jitter (each between nothing and the bound,
 * so that dispatchers which lost their server together do not come back together), at the next server in
 * order where another one may do better; the first one is tried again after a while.
 *
 * <p>Exactly one call is out at a time: {@link #ask} after {@link #askAt}, then one of {@link #answered} and
 * {@link #setBack}.
 */
public final class BlockingQuery {

    /**
     * A call to make now.
     *
     * @param server    which of the servers, from 0
     * @param index     0: answer at once
     * @param hold      how long the server may hold it
     * @param giveUpAt  when it has failed
     */
    public record Ask(int server, long index, long hold, long giveUpAt) {
    }

    /** What an answer means. */
    public enum Answer {
        /** The state is another one than before. */
        NEWS,
        /** Nothing has changed since the last answer. */
        NOTHING_NEW,
        /** The server counts anew: its answer is from another history than the last one. */
        SET_BACK
    }

    private static final int MOST_DOUBLINGS = 16;

    private final Pace pace;
    private final int servers;
    private final SplittableRandom random;
    private int server;
    private long awayFrom = Long.MAX_VALUE;
    private long index;
    private boolean answeredOnce;
    private long askAt;
    private int setbacks;
    /** Answers that the bucket has room for, in so many microseconds of filling. */
    private double spent;
    private long spentAt;

    /** {@code seed}: what the jitter is drawn from. */
    public BlockingQuery(Pace pace, int servers, long seed) {
        if (servers < 1) {
            throw new IllegalArgumentException("no server to ask");
        }
        this.pace = pace;
        this.servers = servers;
        random = new SplittableRandom(seed);
    }

    /** When the next call is due. */
    public long askAt() {
        return askAt;
    }

    /** Setbacks in a row. */
    public int setbacks() {
        return setbacks;
    }

    public int server() {
        return server;
    }

    public Ask ask(long now) {
        if (server > 0 && now >= awayFrom + pace.homeAfter()) {
            move(0, now);
        }
        long hold = index == 0 ? 0 : pace.hold();
        // A server adds up to a sixteenth to the wait, so that its clients do not all come at once.
        return new Ask(server, index, hold, now + hold + hold / 16 + pace.slack());
    }

    /** Whether an answer of this index says nothing that an earlier one has not said. */
    public boolean knows(long newIndex) {
        return answeredOnce && Math.max(1, newIndex) == index;
    }

    /** To be called once the answer has been understood; one that can't be is a setback. */
    public Answer answered(long now, long newIndex) {
        setbacks = 0;
        long found = Math.max(1, newIndex);
        var meaning = answeredOnce && found < index ? Answer.SET_BACK
                : knows(newIndex) ? Answer.NOTHING_NEW : Answer.NEWS;
        answeredOnce = true;
        index = meaning == Answer.SET_BACK ? 0 : found;
        spent = Math.max(0, spent - (double) (now - spentAt) / pace.every());
        spentAt = now;
        spent = Math.min(pace.burst(), spent + 1);
        askAt = now + (long) (Math.max(0, spent - (pace.burst() - 1)) * pace.every());
        return meaning;
    }

    /**
     * The last answer is doubted: the next call is to bring the present state at once, whatever its index.
     */
    public void doubt() {
        index = 0;
    }

    public void setBack(long now, Setback why) {
        boolean slow = !why.elsewhere;
        long bound = Math.min(slow ? 4 * pace.mostPause() : pace.mostPause(),
                (slow ? pace.longPause() : pace.firstPause()) << Math.min(MOST_DOUBLINGS, setbacks));
        setbacks++;
        long least = slow ? bound / 2 : 0;
        askAt = now + least + random.nextLong(Math.max(1, bound - least));
        if (why.elsewhere && servers > 1) {
            move((server + 1) % servers, now);
        }
    }

    /** Another server's index may mean another state: its first answer comes at once. */
    private void move(int to, long now) {
        awayFrom = to == 0 ? Long.MAX_VALUE : server == 0 ? now : awayFrom;
        server = to;
        index = 0;
    }
}
