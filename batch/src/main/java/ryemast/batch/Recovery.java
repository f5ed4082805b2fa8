package ryemast.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import ryemast.core.Note;
import ryemast.recovery.RecoveryPolicy;
import ryemast.recovery.RecoveryPolicy.NextStep;
import ryemast.recovery.RecoveryPolicy.DispatchOutcome;
import ryemast.store.DurableStore;
import ryemast.store.StoreException;
import ryemast.wire.Cbor;
import ryemast.wire.WireException;
import ryemast.wire.Words.State;

/**
 * Makes the book anew from what is on the disk, as after a kill. Runs on a thread of its own before anybody
 * sees the book. What {@link RecoveryPolicy} finds ended is left to whoever goes on with the book, as ends
 * are written before they count.
 */
final class Recovery {

    private static final Logger LOG = Logger.getLogger(Recovery.class.getName());

    /**
     * A job that may have run, must not run again, and has no end yet.
     *
     * @param worker  where its last attempt was sent, or was to be
     */
    record CutOff(JobArray array, int slot, String worker, long beganAt) {
    }

    /**
     * @param cutOff     to be ended
     * @param again      jobs that were out and go out again
     * @param orphans    keys of jobs whose array was being forgotten when the program ended
     * @param doubles    arrays that a disk kept though it had failed, and that were taken again
     * @param unreadable entries that can't be read; they stay on the disk
     */
    record Found(Book book, List<CutOff> cutOff, int again, List<Long> orphans, List<JobArray> doubles,
            int unreadable) {
    }

    private final DurableStore store;
    private final Book book;
    private final List<CutOff> cutOff = new ArrayList<>();
    /** When each job ended, so that they are told in that order again. */
    private final Map<BatchSession, List<long[]>> ended = new HashMap<>();
    private final List<Long> orphans = new ArrayList<>();
    private final List<JobArray> doubles = new ArrayList<>();
    private int again;
    private int unreadable;

    private Recovery(DurableStore store, JobKinds kinds) {
        this.store = store;
        book = new Book(kinds);
    }

    static Found read(DurableStore store, JobKinds kinds) throws StoreException {
        return new Recovery(store, kinds).read();
    }

    private Found read() throws StoreException {
        store.each(Records.SESSIONS,
                (number, bytes) -> guarded("session", number, () -> session(number, bytes)));
        store.each(Records.ARRAYS, (number, bytes) -> guarded("array", number, () -> array(number, bytes)));
        store.each(Records.JOBS, (key, bytes) -> guarded("job", key, () -> job(key, bytes)));
        ended.forEach((session, jobs) -> {
            jobs.sort((one, other) -> Long.compare(one[0], other[0]));
            jobs.forEach(each -> session.ended.add(each[1]));
        });
        return new Found(book, cutOff, again, orphans, doubles, unreadable);
    }

    private interface Step {
        void run() throws WireException;
    }

    /** Guards all others against one entry that can't be read: it is named, and stays as it is. */
    private void guarded(String what, long number, Step step) {
        try {
            step.run();
        } catch (WireException e) {
            unreadable++;
            Note.warning(LOG, "the batch store's {what} {number} can't be read and is left alone: {why}",
                    "what", what, "number", number, "why", e.getMessage());
        }
    }

    private void session(long number, byte[] bytes) throws WireException {
        var fields = Cbor.read(bytes).at("session");
        var account = fields.text("account");
        int tenant = book.kinds.accounts().isEmpty() ? 0 : book.kinds.accounts().indexOf(account);
        var session = new BatchSession(number, fields.text("name"), Math.max(0, tenant), account,
                fields.text("submitter"), fields.whole("made", 0, Long.MAX_VALUE));
        session.closing = fields.flag("closing");
        session.durable = true;
        book.add(session);
    }

    private void array(long number, byte[] bytes) throws WireException {
        book.passed(number);
        var fields = Cbor.read(bytes).at("array");
        var session = book.sessions.get(fields.whole("session", 0, Long.MAX_VALUE));
        if (session == null) {
            throw new WireException("its session is not there");
        }
        var parts = new ArrayList<JobArray.Part>();
        for (var each : fields.list("parts")) {
            var template = Template.stored(each.fields("template"), book.kinds);
            if (template.jobClass() < 0) {
                Note.warning(LOG, "batch jobs {array} wait, as there is no class {class} here any more",
                        "array", number, "class", template.className());
            }
            parts.add(new JobArray.Part(template, (int) each.whole("count", 1, JobArray.MOST_JOBS)));
        }
        var terms = new JobArray.Terms(fields.whole("first", Long.MIN_VALUE, Long.MAX_VALUE),
                fields.whole("step", 1, Long.MAX_VALUE), (int) fields.whole("parallel", 0, Integer.MAX_VALUE),
                fields.whole("start", 0, Long.MAX_VALUE), fields.flag("held"));
        var array = new JobArray(number, session, fields.text("submission"), parts, terms,
                fields.whole("digest", Long.MIN_VALUE, Long.MAX_VALUE),
                        fields.whole("taken", 0, Long.MAX_VALUE));
        array.durable = true;
        var before = session.submissions.get(array.submission);
        if (before != null) {
            // Its submitter was told that the first one was not taken, as the disk failed behind its writing.
            book.remove(before);
            doubles.add(before);
        }
        book.add(array);
    }

    private void job(long key, byte[] bytes) throws WireException {
        var array = book.arrays.get(JobArray.arrayOf(key));
        int slot = JobArray.slotOf(key);
        if (array == null) {
            book.passed(JobArray.arrayOf(key));
            orphans.add(key);
            return;
        }
        if (slot >= array.count) {
            throw new WireException("its array has no such job");
        }
        var job = Records.job(bytes);
        boolean over = job.state() == State.DONE || job.state() == State.FAILED;
        if (over) {
            array.restore(slot, job.state(), job.turn(), job.failures(), job.reaped());
            array.lastEndAt = Math.max(array.lastEndAt, job.endedAt());
            array.session.open--;
            book.open--;
            if (!job.reaped()) {
                ended.computeIfAbsent(array.session, each -> new ArrayList<>())
                        .add(new long[] {job.endedAt(), key});
            }
            return;
        }
        if (!job.intent()) {
            array.restore(slot, job.state() == State.HELD ? State.HELD : State.QUEUED, job.turn(),
                    job.failures(), false);
            return;
        }
        var template = array.template(slot);
        boolean runsOnce = template.jobClass() < 0 || book.kinds.runsOnce(template.jobClass());
        if (RecoveryPolicy.nextStep(DispatchOutcome.INTERRUPTED, runsOnce, job.failures(),
                template.failures()) == NextStep.RESUBMIT) {
            again++;
            // Its name may have left, and is not used again.
            array.restore(slot, State.QUEUED, job.turn() + 1, job.failures(), false);
        } else {
            array.restore(slot, State.RUNNING, job.turn(), job.failures(), false);
            cutOff.add(new CutOff(array, slot, job.worker(), job.beganAt()));
        }
    }
}
