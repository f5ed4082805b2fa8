package ryemast.drmaa;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import ryemast.wire.Fields;
import ryemast.wire.WireException;
import ryemast.wire.Words;
import ryemast.wire.Words.Action;

/**
 * The protocol's requests as calls, their errors as DRMAA's exceptions. What DRMAA's own classes and the
 * commands rest on. Safe for several threads.
 */
public final class Remote implements AutoCloseable {

    /** Requests that are answered at once, once they are on the disk. */
    private static final long ANSWER_MS = 60_000;
    private static final long WAIT_SLICE_MS = 60_000;
    private static final long MICROS = 1_000;
    private static final int PAGE = 1_000;
    private static final int KEYS = 10_000;
    private static final int FULL = 50;

    /**
     * A submission that was taken: jobs of one array, by the index of each.
     *
     * @param single  one job that bears the array's number alone
     */
    public record Taken(long array, long first, long step, int count, boolean single) {

        public List<String> ids() {
            if (single) {
                return List.of(Long.toString(array));
            }
            var ids = new ArrayList<String>(count);
            for (int i = 0; i < count; i++) {
                ids.add(array + "." + (first + i * step));
            }
            return ids;
        }
    }

    /** A page of jobs, each as id, state, class and name; {@code counts}: of the whole session, by state. */
    public record Page(List<JobInfo> jobs, Map<String, Long> counts, long next) {
    }

    private final Link link;
    private final String session;

    /** {@code patienceMs}: for how long a call tries to reach the dispatcher. */
    public Remote(Contact contact, long patienceMs) throws DrmaaException {
        link = new Link(contact, patienceMs);
        session = contact.session();
    }

    /** A fresh name for a submission, so that it may be sent again without doubling. */
    public static String submissionId() {
        var random = ThreadLocalRandom.current();
        return String.format("%016x%08x", random.nextLong(), random.nextInt());
    }

    /** Of the session, or of all the account's; by name, with the numbers of jobs by state. */
    public Map<String, Map<String, Long>> sessions() throws DrmaaException {
        var found = new LinkedHashMap<String, Map<String, Long>>();
        try {
            for (var each : ask(request(Words.SESSIONS), ANSWER_MS).answer().list("sessions")) {
                found.put(each.text("name"), counts(each));
            }
        } catch (WireException e) {
            throw unclear(e);
        }
        return found;
    }

    private static Map<String, Long> counts(Fields summary) throws WireException {
        var counts = new LinkedHashMap<String, Long>();
        for (var state : Words.State.values()) {
            var name = state.name().toLowerCase(java.util.Locale.ROOT);
            counts.put(name, summary.whole(name, 0, Long.MAX_VALUE, 0));
        }
        return counts;
    }

    public void create(String name) throws DrmaaException {
        var call = link.ask(request(Words.CREATE).with("name", name), ANSWER_MS);
        if (!(call.askedAgain() && Words.SESSION_EXISTS.equals(code(call.answer())))) {
            checked(call.answer());
        }
    }

    public void open(String name) throws DrmaaException {
        ask(request(Words.OPEN).with("name", name), ANSWER_MS);
    }

    /**
     * How many of the session's jobs are in which state; those that were reaped, but whose array is there,
     * count.
     */
    public Map<String, Long> counts() throws DrmaaException {
        try {
            return counts(ask(request(Words.OPEN).with("name", session), ANSWER_MS).answer());
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /** {@code force}: also where jobs are not over; these are ended. */
    public void destroy(String name, boolean force) throws DrmaaException {
        var call = link.ask(request(Words.DESTROY).with("name", name).with("force", force), Link.FOR_EVER);
        if (!(call.askedAgain() && Words.NO_SESSION.equals(code(call.answer())))) {
            checked(call.answer());
        }
    }

    /** Jobs of an array in a row that share a template. */
    public record Part(JobTemplate template, int count) {
    }

    /**
     * Submits one job, or an array of jobs with indices from {@code first} in steps; those of its parts
     * follow one another. Whether it is held, and when it may start, its first part's template says.
     *
     * @param submission  its own name: the same one again gives the same jobs, and no more
     * @param parallel    so many at once at most; 0: any number
     */
    public Taken submit(List<Part> parts, String submission, long first, long step, int parallel)
            throws DrmaaException {
        var list = new ArrayList<Fields>();
        for (var each : parts) {
            list.add(new Fields().with("count", each.count).with("template", each.template.fields()));
        }
        var head = parts.get(0).template;
        var request = request(Words.SUBMIT).with("session", session).with("submission", submission)
                .with("parts", list).with("first", first).with("step", step).with("parallel", parallel)
                .with("held", head.getJobSubmissionState() == JobTemplate.HOLD_STATE);
        if (head.getStartTime() != null) {
            request.with("start_at_us", Math.max(0, head.getStartTime().toEpochMilli() * 1_000));
        }
        var call = ask(request, ANSWER_MS);
        try {
            var answer = call.answer();
            return new Taken(answer.whole("array", 0, Long.MAX_VALUE),
                    answer.whole("first", Long.MIN_VALUE, Long.MAX_VALUE),
                            answer.whole("step", 1, Long.MAX_VALUE),
                    (int) answer.whole("count", 1, Integer.MAX_VALUE), answer.flag("single"));
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /** {@code jobs} null: all of the session's. How many were changed by it. */
    public long control(List<String> jobs, Action action) throws DrmaaException {
        var request = request(Words.CONTROL).with("session", session)
                .with("action", action.name().toLowerCase(java.util.Locale.ROOT));
        var call = link.ask(jobs == null ? request.with("all", true) : request.with("jobs", jobs), ANSWER_MS);
        if (call.askedAgain() && Words.WRONG_STATE.equals(code(call.answer()))) {
            return 0;
        }
        var code = code(call.answer());
        if (Words.WRONG_STATE.equals(code)) {
            var message = message(call.answer());
            throw switch (action) {
                case HOLD -> new HoldInconsistentStateException(message);
                case RELEASE -> new ReleaseInconsistentStateException(message);
                case SUSPEND -> new SuspendInconsistentStateException(message);
                case RESUME -> new ResumeInconsistentStateException(message);
                default -> new InvalidJobException(message);
            };
        }
        checked(call.answer());
        try {
            return call.answer().whole("changed", 0, Long.MAX_VALUE, 0);
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /** State and class of these jobs, at most 1,000. */
    public List<JobInfo> status(List<String> jobs) throws DrmaaException {
        return infos(ask(request(Words.STATUS).with("session", session).with("jobs", jobs), ANSWER_MS)
                .answer());
    }

    /** All that is known of these jobs, results included; they are not reaped. */
    public List<JobInfo> infos(List<String> jobs) throws DrmaaException {
        var found = new ArrayList<JobInfo>();
        for (int from = 0; from < jobs.size(); from += FULL) {
            found.addAll(infos(ask(request(Words.STATUS).with("session", session).with("full", true)
                    .with("jobs", jobs.subList(from, Math.min(jobs.size(), from + FULL))), ANSWER_MS)
                            .answer()));
        }
        return found;
    }

    private static List<JobInfo> infos(Fields answer) throws DrmaaException {
        try {
            var found = new ArrayList<JobInfo>();
            for (var each : answer.list("jobs")) {
                found.add(JobInfo.of(each));
            }
            return found;
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /**
     * A page of the session's jobs, behind the page whose {@code next} is {@code after}; -1 for the first
     * one. {@code next} is -1 behind the last one. {@code state} null: in any.
     */
    public Page page(long after, String state) throws DrmaaException {
        var answer = ask(request(Words.STATUS).with("session", session).with("after", after)
                .with("limit", PAGE)
                .with("state", state), ANSWER_MS).answer();
        try {
            return new Page(infos(answer), counts(answer.fields("session")),
                    answer.whole("next", 0, Long.MAX_VALUE, -1));
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /**
     * The first of these jobs that has ended, handed to nobody else; null if none had when the time was over.
     *
     * @param jobs       null: any of the session's
     * @param timeoutMs  {@link Long#MAX_VALUE}: for ever
     */
    public JobInfo waitAny(List<String> jobs, long timeoutMs) throws DrmaaException {
        var answer = await(request(Words.WAIT).with("session", session).with("jobs", jobs), timeoutMs);
        try {
            return answer == null ? null : JobInfo.of(answer.fields("job"));
        } catch (WireException e) {
            throw unclear(e);
        }
    }

    /** True once all of these jobs have ended; false if the time was over first. {@code jobs} null: all. */
    public boolean waitAll(List<String> jobs, long timeoutMs) throws DrmaaException {
        if (jobs == null) {
            return await(request(Words.WAIT).with("session", session).with("every", true), timeoutMs) != null;
        }
        long begin = System.nanoTime();
        for (int from = 0; from < jobs.size(); from += KEYS) {
            long passed = (System.nanoTime() - begin) / 1_000_000;
            if (await(request(Words.WAIT).with("session", session).with("every", true)
                    .with("jobs", jobs.subList(from, Math.min(jobs.size(), from + KEYS))),
                    timeoutMs == Long.MAX_VALUE ? timeoutMs : Math.max(0, timeoutMs - passed)) == null) {
                return false;
            }
        }
        return true;
    }

    /** In slices, so that a connection that has died in silence is noticed. Null: the time was over. */
    private Fields await(Fields request, long timeoutMs) throws DrmaaException {
        long until = timeoutMs == Long.MAX_VALUE ? Long.MAX_VALUE : System.nanoTime() / 1_000_000 + timeoutMs;
        while (true) {
            long left = until == Long.MAX_VALUE ? WAIT_SLICE_MS : until - System.nanoTime() / 1_000_000;
            long slice = Math.max(0, Math.min(WAIT_SLICE_MS, left));
            Fields answer;
            try {
                answer = ask(request.with("timeout_us", slice * MICROS), slice + ANSWER_MS).answer();
                if (!answer.flag("timed_out")) {
                    return answer;
                }
            } catch (WireException e) {
                throw unclear(e);
            }
            if (left <= WAIT_SLICE_MS && until != Long.MAX_VALUE) {
                return null;
            }
        }
    }

    /** These jobs have been dealt with: those that are over are forgotten. {@code jobs} null: all. */
    public void reap(List<String> jobs) throws DrmaaException {
        if (jobs == null) {
            ask(request(Words.REAP).with("session", session).with("all", true), ANSWER_MS);
            return;
        }
        for (int from = 0; from < jobs.size(); from += KEYS) {
            ask(request(Words.REAP).with("session", session)
                    .with("jobs", jobs.subList(from, Math.min(jobs.size(), from + KEYS))), ANSWER_MS);
        }
    }

    /** Cuts the connection; the next call makes a new one. For trials. */
    public void cut() {
        link.cut();
    }

    @Override
    public void close() {
        link.close();
    }

    private static Fields request(String type) {
        return new Fields().with(Words.TYPE, type);
    }

    private Link.Call ask(Fields request, long answerMs) throws DrmaaException {
        var call = link.ask(request, answerMs);
        checked(call.answer());
        return call;
    }

    private static String code(Fields answer) {
        try {
            return Words.ERROR.equals(answer.text(Words.TYPE, "")) ? answer.text("code", Words.MALFORMED)
                    : "";
        } catch (WireException e) {
            return Words.MALFORMED;
        }
    }

    private static String message(Fields answer) {
        try {
            return answer.text("message", "no reason is given");
        } catch (WireException e) {
            return "no reason is given";
        }
    }

    private static void checked(Fields answer) throws DrmaaException {
        var code = code(answer);
        if (code.isEmpty()) {
            return;
        }
        var message = message(answer);
        throw switch (code) {
            case Words.DENIED -> new AuthorizationException(message);
            case Words.MALFORMED -> new InvalidAttributeValueException(message);
            case Words.NO_SESSION -> new NoActiveSessionException(message);
            case Words.SESSION_EXISTS -> new AlreadyActiveSessionException(message);
            case Words.NO_JOB -> new InvalidJobException(message);
            case Words.TRY_LATER, Words.ENDING -> new TryLaterException(message);
            default -> new DeniedByDrmException(message);
        };
    }

    private static DrmCommunicationException unclear(WireException e) {
        return new DrmCommunicationException("the dispatcher's answer can't be understood: " + e.getMessage(),
                e);
    }
}
