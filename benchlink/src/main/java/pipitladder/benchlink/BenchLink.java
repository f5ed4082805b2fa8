package pipitladder.benchlink;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pipitladder.Brain;
import pipitladder.Dispatcher;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptProgress;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.ClientGone;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.PeerMessage;
import pipitladder.Dispatcher.ProbeEnded;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.TimerDue;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import ryemast.settings.SettingsException;
import ryemast.settings.SettingsReader;

/** Hosts the dispatchers of one process and translates between them and the wire; it decides nothing. */
final class BenchLink {

    private static final int HINT_VALID = 1;
    private static final int JOB_STARTED = 1;
    private static final int JOB_PROGRESS = 2;

    private final MessageReader reader;
    private final ReplyWriter writer;
    private final Map<Long, Dispatcher> instances = new HashMap<>();
    private final Map<Long, List<WorkerInfo>> lists = new HashMap<>();
    private final List<Action> actions = new ArrayList<>();
    private final Consumer<Action> collect = actions::add;
    private long now = Message.ABSENT;

    BenchLink(MessageReader reader, ReplyWriter writer) {
        this.reader = reader;
        this.writer = writer;
    }

    /** Answers batch after batch until the input ends. */
    void run() throws IOException {
        boolean inBatch = false;
        for (var message = reader.next(); message != null; message = reader.next()) {
            if (message.kind.equals("sync") == inBatch) {
                throw new MalformedInputException(
                        message.kind + (inBatch ? " inside a batch" : " outside a batch"));
            }
            switch (message.kind) {
                case "sync" -> {
                    now = message.need(message.time, "t");
                    inBatch = true;
                }
                case "eob" -> {
                    writer.endOfReply();
                    inBatch = false;
                }
                case "census" ->
                    lists.put(message.need(message.ref, "ref"), message.need(message.workers, "entries"));
                default -> take(message);
            }
        }
        if (inBatch) {
            throw new MalformedInputException("the input ends inside a batch");
        }
    }

    private void take(Message message) throws IOException {
        long who = message.need(message.who, "who");
        if (message.kind.equals("new_instance")) {
            start(who, message);
            return;
        }
        if (!instances.containsKey(who)) {
            throw new MalformedInputException(message.kind + " for instance " + who + ", never started");
        }
        if (message.kind.equals("kill")) {
            instances.put(who, null);
            return;
        }
        var event = event(message);
        var instance = instances.get(who);
        if (instance != null && event != null) {
            answer(who, () -> instance.handle(now, event, collect));
        }
    }

    private void start(long who, Message message) throws IOException {
        long seed = message.need(message.seed, "random_seed");
        try {
            var settings = SettingsReader.read(message.need(message.settings, "env"));
            answer(who, () -> instances.put(who, new Brain(settings, seed)));
        } catch (SettingsException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }

    /** A failure of the module is the wire's to report: the day ends with its cause. */
    private void answer(long who, Runnable step) throws IOException {
        actions.clear();
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError e) {
            var at = e.getStackTrace();
            writer.fatal(who, e + (at.length > 0 ? " at " + at[0] : ""));
            instances.put(who, null);
            return;
        }
        for (int i = 0; i < actions.size(); i++) {
            writer.action(who, actions.get(i));
        }
    }

    private Event event(Message m) throws MalformedInputException {
        return switch (m.kind) {
            case "work_item" -> new Request(m.need(m.ref, "ref"), (int) m.need(m.category, "category"),
                    (int) m.tenant, m.slots, m.memory, (m.flags & HINT_VALID) == 0 ? 0 : m.costHint,
                    m.need(m.expiresIn, "expires_in"));
            case "ended" -> new AttemptEnded(m.need(m.ref, "ref"), (int) m.need(m.attempt, "round_no"),
                    m.need(m.worker, "runner"), outcome(m.need(m.code, "code")), m.closed, m.report);
            case "interim" -> note(m);
            case "wake" -> new TimerDue(m.need(m.name, "name"));
            case "lapsed" -> new ClientGone(m.need(m.ref, "ref"));
            case "heard" -> new PeerMessage((int) m.need(m.from, "origin_peer"), m.need(m.text, "raw"));
            case "health_result" -> new ProbeEnded(m.need(m.worker, "runner"),
                    outcome(m.need(m.code, "code")) == Outcome.SUCCESS, m.report);
            case "view" -> list(m);
            case "under_way" -> new AttemptStarted(m.need(m.ref, "ref"), (int) m.need(m.attempt, "round_no"),
                    m.need(m.worker, "runner"));
            default -> throw new MalformedInputException("unknown kind '" + m.kind + "'");
        };
    }

    private static Event note(Message m) throws MalformedInputException {
        long request = m.need(m.ref, "ref");
        int attempt = (int) m.need(m.attempt, "round_no");
        m.need(m.worker, "runner");
        return switch ((int) m.need(m.what, "what")) {
            case JOB_STARTED -> new AttemptStarted(request, attempt, m.worker);
            case JOB_PROGRESS -> new AttemptProgress(request, attempt, m.worker, m.done);
            default -> null;
        };
    }

    private Event list(Message m) throws MalformedInputException {
        var kind = listKind(m.need(m.scope, "scope"));
        if (kind == ListKind.FAILED) {
            return new WorkerList(kind, List.of());
        }
        var workers = lists.get(m.need(m.ref, "ref"));
        if (workers == null) {
            throw new MalformedInputException("view of list " + m.ref + ", which was never given");
        }
        return new WorkerList(kind, workers);
    }

    private static ListKind listKind(String word) throws MalformedInputException {
        return switch (word) {
            case "patch" -> ListKind.CHANGES;
            case "whole" -> ListKind.COMPLETE;
            case "stale_copy" -> ListKind.CACHED;
            case "broken" -> ListKind.FAILED;
            default -> throw new MalformedInputException("unknown scope '" + word + "'");
        };
    }

    private static Outcome outcome(String word) throws MalformedInputException {
        return switch (word) {
            case "GOOD" -> Outcome.SUCCESS;
            case "BAD" -> Outcome.ERROR;
            case "FULL" -> Outcome.REJECTED;
            case "LATE" -> Outcome.TIMED_OUT;
            case "NOCONN" -> Outcome.CONNECT_FAILED;
            case "RST" -> Outcome.RESET;
            case "CXL" -> Outcome.CANCELLED;
            case "NOP" -> Outcome.NOT_SENT;
            default -> throw new MalformedInputException("unknown code '" + word + "'");
        };
    }
}
