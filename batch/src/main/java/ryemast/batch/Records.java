package ryemast.batch;

import java.util.List;
import ryemast.store.Changes;
import ryemast.wire.Cbor;
import ryemast.wire.Fields;
import ryemast.wire.WireException;
import ryemast.wire.Words.State;

/**
 * What is on the disk, and in which form: CBOR maps, so that a later version may add fields. A table for
 * sessions, arrays, their bodies and jobs; a job has an entry only once something has happened to it.
 */
final class Records {

    static final String PURPOSE = "ryemast-batch";
    /** Grows when an older program could not read what a newer one writes. */
    static final int SCHEMA = 1;
    static final String SESSIONS = "sessions";
    static final String ARRAYS = "arrays";
    static final String BODIES = "bodies";
    static final String JOBS = "jobs";
    private static final State[] STATES = State.values();
    private static final int LONGEST = 1 << 20;

    private Records() {
    }

    /**
     * A job as it is stored.
     *
     * @param turn      of the turn that is out, or of the next one
     * @param intent    an attempt of that turn may have left
     * @param worker    where it is, or ended; empty if nowhere
     * @param reason    why it failed
     * @param result    what the worker made
     * @param beganAt   when its last turn began (Unix, microseconds), 0: never
     */
    record Job(State state, int turn, int failures, boolean intent, boolean reaped, String worker,
            String reason,
            byte[] result, long beganAt, long endedAt) {
    }

    static Changes session(Changes to, BatchSession session) {
        return to.put(SESSIONS, session.number, Cbor.write(new Fields().with("name", session.name)
                .with("account", session.account).with("submitter", session.submitter)
                .with("made", session.madeAt).with("closing", session.closing)));
    }

    /** Bits of a body's key that number the part. */
    private static final int PART_BITS = 8;
    static final int MOST_PARTS = 1 << PART_BITS;

    static long body(long array, int part) {
        return array << PART_BITS | part;
    }

    /** {@code bodies}: by part. */
    static Changes array(Changes to, JobArray array, boolean held, List<byte[]> bodies) {
        var parts = array.parts.stream().map(each -> new Fields().with("count", each.count())
                .with("template", each.template().stored())).toList();
        var terms = array.terms(held);
        to.put(ARRAYS, array.number, Cbor.write(new Fields().with("session", array.session.number)
                .with("submission", array.submission).with("digest", array.digest)
                        .with("first", terms.first())
                .with("step", terms.step()).with("parallel", terms.parallel()).with("start", terms.startAt())
                .with("held", terms.held()).with("taken", array.takenAt).with("parts", parts)));
        for (int i = 0; i < bodies.size(); i++) {
            if (bodies.get(i).length > 0) {
                to.put(BODIES, body(array.number, i), bodies.get(i));
            }
        }
        return to;
    }

    static Changes job(Changes to, long key, Job job) {
        var fields = new Fields().with("s", job.state.ordinal()).with("u", job.turn);
        if (job.failures > 0) {
            fields.with("f", job.failures);
        }
        if (job.intent) {
            fields.with("i", true);
        }
        if (job.reaped) {
            fields.with("x", true);
        }
        if (!job.worker.isEmpty()) {
            fields.with("w", job.worker);
        }
        if (!job.reason.isEmpty()) {
            fields.with("e", job.reason);
        }
        if (job.result.length > 0) {
            fields.with("r", job.result);
        }
        if (job.beganAt > 0) {
            fields.with("b", job.beganAt);
        }
        if (job.endedAt > 0) {
            fields.with("z", job.endedAt);
        }
        return to.put(JOBS, key, Cbor.write(fields));
    }

    static Job job(byte[] bytes) throws WireException {
        var fields = Cbor.read(bytes).at("job");
        return new Job(STATES[(int) fields.whole("s", 0, STATES.length - 1)],
                (int) fields.whole("u", 0, Integer.MAX_VALUE), (int) fields.whole("f", 0, Byte.MAX_VALUE, 0),
                fields.flag("i"), fields.flag("x"), fields.text("w", ""), fields.text("e", ""),
                fields.bytes("r", LONGEST), fields.whole("b", 0, Long.MAX_VALUE, 0),
                fields.whole("z", 0, Long.MAX_VALUE, 0));
    }
}
