package ryemast.timetable;

import ryemast.recovery.RecoveryPolicy;
import ryemast.timetable.Content.How;
import ryemast.timetable.Content.Life;

/** A fire that has not ended: its record as last known, and what became of its job at this replica. */
final class Fire {

    /** So many hand-ins a holder may name; the next holder's names begin behind them. */
    static final int STRIDE = 100_000;

    final Line line;
    final long nominal;
    /** As it was when the fire was claimed, so that it ends as claimed; null: the timetable lacks it. */
    final Entry entry;
    Life life;
    long version;
    /** The fence that the record names is not its holder's any more: it can't change anything. */
    boolean gone;
    /** A change of its record is wished for, or under way. */
    boolean busy;
    /** It counts among those that this replica holds. */
    boolean held;
    /** The job is with the exchange. */
    boolean out;
    /** What became of the job, until that is recorded; null: nothing yet. */
    How told;
    /** Why it was told so, if not served. */
    long retryAfter;
    /** Of the hand-in that is out or told. */
    int turn;
    /** The fence under which it was handed in. */
    long handFence;
    int refusals;
    int failures;
    /** Hand-ins under this claim, beyond those that the record counts. */
    int again;
    long notBefore;

    Fire(Line line, long nominal, Life life, long version) {
        this.line = line;
        this.nominal = nominal;
        this.entry = line.entry;
        this.life = life;
        this.version = version;
    }

    /** Whether this very process holds it, perhaps under a fence that it has lost since. */
    boolean isMine(String self, long fence) {
        return life.holder().equals(self)
                && (life.fence() == fence || (out || told != null) && handFence == life.fence());
    }

    /** The name of the next hand-in. */
    int nextTurn() {
        return life.turn() + again;
    }

    /** How long to wait before it is handed in anew, in microseconds. */
    long pause() {
        return Math.max(retryAfter, RecoveryPolicy.backoff(refusals + failures));
    }

    /** It is to be handed in anew, not before a time. */
    void clearHand(long pausedUntil) {
        out = false;
        told = null;
        notBefore = pausedUntil;
    }
}
