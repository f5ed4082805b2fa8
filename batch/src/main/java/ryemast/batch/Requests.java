package ryemast.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.zip.CRC32;
import ryemast.core.Loop;
import ryemast.store.Changes;
import ryemast.store.DurableStore;
import ryemast.wire.Cbor;
import ryemast.wire.Fields;
import ryemast.wire.WireException;
import ryemast.wire.Words;
import ryemast.wire.Words.Action;
import ryemast.wire.Words.State;

/**
 * Carries out what submitters ask for. Guarantees that each request is answered once, that what a submitter
 * is told is so on the disk, and that one which is at fault changes nothing. A submitter sees the sessions
 * of its own account only. What concerns many jobs is done in slices, as the loop has clients to serve.
 * Owned by the loop.
 */
final class Requests {

    private static final int LONGEST_NAME = 128;
    private static final int MOST_LISTED = 1_000;
    private static final int MOST_FULL = 50;
    private static final int MOST_KEYS = 20_000;
    private static final long LONGEST_WAIT = 3_600_000_000L;
    /** What an ended job takes in the store, beside its result. */
    private static final long BYTES_A_JOB = 250;
    private static final String ID = "[A-Za-z0-9_-]{8,48}";

    private final Loop loop;
    private final DurableStore store;
    private final Book book;
    private final Waits waits;
    private final Keeper keeper;
    private final BatchSettings.Limits limits;
    private boolean ending;

    Requests(Loop loop, DurableStore store, Book book, Waits waits, Keeper keeper,
            BatchSettings.Limits limits) {
        this.loop = loop;
        this.store = store;
        this.book = book;
        this.waits = waits;
        this.keeper = keeper;
        this.limits = limits;
    }

    /** Nothing new is taken any more. */
    void end() {
        ending = true;
    }

    /** {@code who}: whose request it is. */
    void take(Identity who, Fields request, Reply reply) {
        try {
            var type = request.text(Words.TYPE);
            var fields = request.at(type);
            switch (type) {
                case Words.PING -> reply.ok(new Fields());
                case Words.SESSIONS -> sessions(who, reply);
                case Words.CREATE -> create(who, fields, reply);
                case Words.OPEN -> open(who, fields, reply);
                case Words.DESTROY -> destroy(who, fields, reply);
                case Words.SUBMIT -> submit(who, fields, reply);
                case Words.CONTROL -> control(who, fields, reply);
                case Words.STATUS -> status(who, fields, reply);
                case Words.WAIT -> wait(who, fields, reply);
                case Words.REAP -> reap(who, fields, reply);
                default -> reply.error(Words.MALFORMED, "t: there is no request " + type);
            }
        } catch (WireException e) {
            reply.error(Words.MALFORMED, e.getMessage());
        } catch (Refusal e) {
            reply.error(e.code, e.getMessage());
        }
    }

    /** A request that can't be met; the code is one of {@link Words}'. */
    static final class Refusal extends Exception {
        private static final long serialVersionUID = 1L;
        private final String code;

        Refusal(String code, String message) {
            super(message);
            this.code = code;
        }
    }

    private void sessions(Identity who, Reply reply) {
        var list = new ArrayList<Fields>();
        for (var session : book.sessions.values()) {
            if (session.account.equals(who.account())) {
                list.add(summary(session));
            }
        }
        reply.ok(new Fields().with("sessions", list));
    }

    private Fields summary(BatchSession session) {
        var counts = new long[State.values().length];
        for (var array : session.arrays.values()) {
            counts[State.RUNNING.ordinal()] += array.running();
            counts[State.HELD.ordinal()] += array.held();
            counts[State.QUEUED.ordinal()] += array.open() - array.running() - array.held();
            counts[State.DONE.ordinal()] += array.done();
            counts[State.FAILED.ordinal()] += array.failed();
        }
        var fields = new Fields().with("name", session.name).with("submitter", session.submitter)
                .with("made_us", session.madeAt).with("arrays", session.arrays.size());
        for (var state : State.values()) {
            fields.with(state.name().toLowerCase(Locale.ROOT), counts[state.ordinal()]);
        }
        return fields;
    }

    private void create(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var name = fields.name("name", LONGEST_NAME);
        if (book.session(who.account(), name) != null) {
            throw new Refusal(Words.SESSION_EXISTS, "there is a session " + name + " already; open it");
        }
        checkTaking(BYTES_A_JOB);
        var session = new BatchSession(book.nextSession(), name, who.tenant(), who.account(), who.submitter(),
                loop.now());
        // Here at once, so that two who make it at the same time do not both succeed.
        book.add(session);
        store.write(Records.session(new Changes(), session), failed -> loop.post(() -> {
            session.durable = failed == null;
            if (failed != null) {
                book.remove(session);
                reply.error(Words.TRY_LATER, "the session can't be written: " + failed.getMessage());
            } else {
                reply.ok(new Fields());
            }
        }));
    }

    private void open(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        reply.ok(summary(session(who, fields)));
    }

    private BatchSession session(Identity who, Fields fields) throws WireException, Refusal {
        var name = fields.name(fields.has("session") ? "session" : "name", LONGEST_NAME);
        var session = book.session(who.account(), name);
        if (session != null && !session.durable) {
            throw new Refusal(Words.TRY_LATER, "session " + name + " is being made");
        }
        if (session == null || session.closing) {
            throw new Refusal(Words.NO_SESSION, "account " + who.account() + " has no session " + name);
        }
        return session;
    }

    private void destroy(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        if (session.open > 0 && !fields.flag("force")) {
            throw new Refusal(Words.WRONG_STATE, session.open + " jobs of session " + session.name
                    + " are not over; terminate them, or ask with force");
        }
        keeper.destroy(session, reply);
    }

    private void checkTaking(long bytes) throws Refusal {
        if (ending) {
            throw new Refusal(Words.ENDING, "the dispatcher is ending; it takes nothing new");
        }
        if (!store.hasRoom(bytes)) {
            throw new Refusal(Words.TRY_LATER, "the disk has no room for so much; nothing was taken");
        }
    }

    private void submit(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        var id = fields.text("submission");
        if (!id.matches(ID)) {
            throw new WireException("submit.submission: must be 8 to 48 letters, digits, _ or -");
        }
        var parts = new ArrayList<JobArray.Part>();
        var partBodies = new ArrayList<byte[]>();
        read(fields, parts, partBodies);
        var terms = new JobArray.Terms(fields.whole("first", 0, Integer.MAX_VALUE, 1),
                fields.whole("step", 1, Integer.MAX_VALUE, 1),
                (int) fields.whole("parallel", 0, Integer.MAX_VALUE, 0),
                fields.whole("start_at_us", 0, Long.MAX_VALUE / 2, 0), fields.flag("held"));
        int count = parts.stream().mapToInt(JobArray.Part::count).sum();
        long digest = digest(parts, partBodies, terms);
        var before = session.submissions.get(id);
        if (before != null) {
            if (before.digest != digest) {
                throw new Refusal(Words.ID_USED, "submission " + id + " was of other jobs");
            }
            keeper.whenDurable(before, taken -> answer(taken, before, reply));
            return;
        }
        if (book.open + count > limits.mostWaiting()) {
            throw new Refusal(Words.TRY_LATER, book.open + " jobs are not over, and " + limits.mostWaiting()
                    + " is the most; nothing was taken");
        }
        checkTaking(partBodies.stream().mapToLong(each -> each.length).sum() + count * BYTES_A_JOB);
        var array = new JobArray(book.nextArray(), session, id, parts, terms, digest, loop.now());
        keeper.take(array, terms.held(), partBodies);
        keeper.whenDurable(array, taken -> answer(taken, array, reply));
    }

    private static void answer(String failed, JobArray array, Reply reply) {
        if (failed != null) {
            reply.error(Words.TRY_LATER, failed + "; nothing was taken");
        } else {
            reply.ok(new Fields().with("array", array.number).with("count", array.count)
                    .with("first", array.first).with("step", array.step).with("single", array.isSingle()));
        }
    }

    private void read(Fields fields, List<JobArray.Part> parts,
            List<byte[]> partBodies) throws WireException {
        var list = fields.list("parts");
        if (list.isEmpty() || list.size() > Records.MOST_PARTS) {
            throw new WireException("submit.parts: must be 1 to " + Records.MOST_PARTS);
        }
        long sum = 0;
        for (int i = 0; i < list.size(); i++) {
            var part = list.get(i).at("submit.parts[" + i + "]");
            var template = part.fields("template");
            int count = (int) part.whole("count", 1, JobArray.MOST_JOBS, 1);
            sum += count;
            parts.add(new JobArray.Part(Template.read(template, book.kinds, limits.failures()), count));
            partBodies.add(template.bytes("body", Template.LONGEST_BODY));
        }
        if (sum > JobArray.MOST_JOBS) {
            throw new WireException("submit.parts: " + sum + " jobs; " + JobArray.MOST_JOBS + " is the most");
        }
    }

    /** What tells whether two submissions under one id are the same: not for those who want to deceive. */
    private static long digest(List<JobArray.Part> parts, List<byte[]> bodies, JobArray.Terms terms) {
        var one = new CRC32();
        parts.forEach(each -> one.update(Cbor.write(each.template().stored().with("of", each.count()))));
        one.update(terms.toString().getBytes(StandardCharsets.UTF_8));
        var other = new CRC32();
        bodies.forEach(other::update);
        return one.getValue() << Integer.SIZE | other.getValue();
    }

    private void control(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        Action action;
        try {
            action = Action.valueOf(fields.text("action").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new WireException("control.action: must be one of "
                    + Arrays.toString(Action.values()).toLowerCase(Locale.ROOT));
        }
        if (action == Action.SUSPEND || action == Action.RESUME) {
            throw new Refusal(Words.WRONG_STATE, "workers can't suspend a job once it is out, nor resume one;"
                    + " hold it before it goes out");
        }
        if (ending) {
            throw new Refusal(Words.ENDING, "the dispatcher is ending; ask again when it is back");
        }
        if (fields.flag("all")) {
            keeper.control(keeper.keys(session), session, action, true, reply);
        } else {
            keeper.control(keys(session, fields).iterator(), session, action, false, reply);
        }
    }

    /** Of the jobs named; one that there is not is an error. */
    private Set<Long> keys(BatchSession session, Fields fields) throws WireException, Refusal {
        var names = fields.texts("jobs");
        if (names.isEmpty() || names.size() > MOST_KEYS) {
            throw new WireException(fields.has("jobs") ? "jobs: must be 1 to " + MOST_KEYS
                    : "jobs: is missing");
        }
        var keys = new LinkedHashSet<Long>();
        for (var name : names) {
            keys.add(key(session, name));
        }
        return keys;
    }

    private static long key(BatchSession session, String name) throws Refusal {
        int dot = name.indexOf('.');
        try {
            var array = session.arrays.get(Long.parseLong(dot < 0 ? name : name.substring(0, dot)));
            if (array != null && array.durable) {
                int slot = dot < 0 ? array.isSingle() ? 0 : -1
                        : array.slot(Long.parseLong(name.substring(dot + 1)));
                if (slot >= 0 && !array.isReaped(slot)) {
                    return array.key(slot);
                }
            }
        } catch (NumberFormatException e) {
            // Named below, as others that there are not.
        }
        throw new Refusal(Words.NO_JOB, "session " + session.name + " has no job " + name);
    }

    private void status(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        if (fields.has("jobs")) {
            var keys = keys(session, fields);
            boolean full = fields.flag("full");
            if (keys.size() > (full ? MOST_FULL : MOST_LISTED)) {
                throw new WireException("status.jobs: at most " + MOST_LISTED + ", " + MOST_FULL
                        + " of them full");
            }
            new Listing(session, List.copyOf(keys), full, reply).next();
        } else {
            page(session, fields, reply);
        }
    }

    /** Infos come from the disk one by one. */
    private final class Listing {
        private final BatchSession session;
        private final List<Long> keys;
        private final boolean full;
        private final Reply reply;
        private final List<Fields> found = new ArrayList<>();

        Listing(BatchSession session, List<Long> keys, boolean full, Reply reply) {
            this.session = session;
            this.keys = keys;
            this.full = full;
            this.reply = reply;
        }

        void next() {
            while (found.size() < keys.size()) {
                long key = keys.get(found.size());
                var array = session.array(key);
                if (array == null) {
                    found.add(new Fields());
                } else if (full) {
                    keeper.info(array, JobArray.slotOf(key), info -> {
                        found.add(info);
                        next();
                    });
                    return;
                } else {
                    found.add(Keeper.line(array, JobArray.slotOf(key)));
                }
            }
            reply.ok(new Fields().with("jobs", found));
        }
    }

    /** Jobs behind one, in order: {@code after} is the last one of the page before. */
    private void page(BatchSession session, Fields fields, Reply reply) throws WireException {
        int most = (int) fields.whole("limit", 1, MOST_LISTED, MOST_LISTED);
        long after = fields.whole("after", -1, Long.MAX_VALUE, -1);
        State only = null;
        if (fields.has("state")) {
            var word = fields.text("state");
            only = Arrays.stream(State.values()).filter(each -> each.name().equalsIgnoreCase(word))
                    .findFirst()
                    .orElseThrow(() -> new WireException("status.state: there is no state " + word));
        }
        var found = new ArrayList<Fields>();
        long last = after;
        int looked = 0;
        var arrays = session.arrays.tailMap(after < 0 ? 0 : JobArray.arrayOf(after), true).values();
        for (var array : arrays) {
            int from = after >= 0 && array.number == JobArray.arrayOf(after) ? JobArray.slotOf(after) + 1 : 0;
            for (int slot = from; array.durable && slot < array.count; slot++) {
                if (found.size() == most || ++looked > MOST_KEYS) {
                    reply.ok(new Fields().with("jobs", found).with("next", last).with("session",
                            summary(session)));
                    return;
                }
                last = array.key(slot);
                if (!array.isReaped(slot) && (only == null || array.state(slot) == only)) {
                    found.add(Keeper.line(array, slot));
                }
            }
        }
        reply.ok(new Fields().with("jobs", found).with("session", summary(session)));
    }

    private void wait(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        Set<Long> keys = fields.has("jobs") ? new HashSet<>(keys(session, fields)) : null;
        long until = loop.now() + fields.whole("timeout_us", 0, LONGEST_WAIT, LONGEST_WAIT);
        if (fields.flag("every")) {
            waits.all(session, keys, until, reply);
        } else {
            waits.any(session, keys, until, reply);
        }
    }

    private void reap(Identity who, Fields fields, Reply reply) throws WireException, Refusal {
        var session = session(who, fields);
        if (fields.flag("all")) {
            keeper.reap(keeper.keys(session), session, reply);
            return;
        }
        var keys = new ArrayList<Long>();
        for (var name : fields.texts("jobs")) {
            try {
                keys.add(key(session, name));
            } catch (Refusal e) {
                // Reaped already: the same request may come again after its answer was lost.
            }
        }
        keeper.reap(keys.iterator(), session, reply);
    }
}
