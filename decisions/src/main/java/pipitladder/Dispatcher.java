package pipitladder;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.fleet.signals.Borrowed;

/**
 * The interface of the decision module: one dispatcher that assigns jobs to workers.
 *
 * <p>The embedder owns the network, the clock and the list of workers. It tells the dispatcher what happens
 * as {@link Event events} and carries out the {@link Action actions} it gets back, in their order. One
 * dispatcher is used by one thread at a time and shares nothing with another one. All times are whole
 * microseconds on a monotonic clock of the embedder's choice.
 *
 * <p>The embedder guarantees: events come in the order in which they happened; the clock never steps back;
 * every {@link Send} gets exactly one {@link AttemptEnded}; a first {@link Outcome#SUCCESS} is handed to the
 * client and reported as closing its request; time-outs are cut at the client's deadline.
 *
 * <p>A call that breaks this (a clock that steps back, a request id used twice, a worker, class or attempt
 * that was never named) gets an {@link IllegalArgumentException}; the dispatcher is then as it was before.
 */
public interface Dispatcher {

    /**
     * Takes one event and hands every resulting action to {@code out}, before it returns.
     *
     * @param now the time of the event, never less than in an earlier call
     */
    void handle(long now, Event event, Consumer<? super Action> out);

    /** What a second run of a request would do. */
    enum Effect {
        /** Nothing: any number of runs is harmless. */
        REPEATABLE,
        /** Workers that share the request's key scope drop its repeats for a while. */
        KEYED,
        /** Harm: it must run once at most. */
        UNSAFE
    }

    /** Which workers drop the repeats of a keyed request: all, those of one zone, or of one cell. */
    enum KeyScope { ALL, ZONE, CELL }

    /** How an attempt ended. */
    enum Outcome {
        SUCCESS(false), ERROR(false), REJECTED(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true),
        /** The worker can't use the request: the request is at fault, not the worker. */
        UNUSABLE(true);

        /** Whether the job certainly never ran in this attempt. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** What the list says of a worker. */
    enum WorkerState { READY, DRAINING, GONE }

    /** How far a list update reaches, or how a call for the list failed. */
    enum ListKind {
        /** What has changed, as discovery tells it. */
        CHANGES,
        /** All workers, as discovery tells them: one that is left out is gone. */
        COMPLETE,
        /** All workers as they were last known, before discovery was asked. */
        CACHED,
        /** A call brought nothing, or what it began has ended. */
        FAILED,
        /** Workers that have been gone for so long that nothing need be remembered of them. */
        FORGOTTEN,
        /** Changes that discovery did not tell, such as an operator's drain. */
        AMENDED,
        /** A call failed as its connection broke: what discovery wrote may have been lost on its way. */
        BROKEN,
        /** A call failed as no connection to discovery came up. */
        UNREACHABLE;

        /** Whether a worker that the update leaves out is gone. */
        public boolean isWhole() {
            return this == COMPLETE || this == CACHED;
        }

        /** Whether it holds no workers, as a call failed. */
        public boolean isFailure() {
            return this == FAILED || this == BROKEN || this == UNREACHABLE;
        }
    }

    /** Figures a worker may report, in the order of {@link Settings#reportFields}. */
    enum ReportField { IN_FLIGHT, QUEUED, UTILISATION, LATENCY_MS, PER_SECOND, ERRORS_PER_SECOND, FREE_SLOTS,
        FREE_MEMORY, UNKNOWN }

    /**
     * Everything a dispatcher is told once, at its start.
     *
     * @param self             its number among the dispatchers, from 0
     * @param dispatchers      how many dispatchers there are, itself included
     * @param zone             the zone it lives in
     * @param resolution       the least time between two calls with different clocks
     * @param listPushed       true if list changes arrive unasked; false if they follow {@link Subscribe}
     * @param weightsAreSizes  true if {@link WorkerInfo#weight} compares the sizes of workers
     * @param startsReported   true if workers report that a job has started
     * @param progressInterval how often a running job reports progress, 0 if never
     */
    record Settings(int self, int dispatchers, int zone, long resolution, boolean listPushed,
            boolean weightsAreSizes, boolean startsReported, long progressInterval, List<JobClass> classes,
            List<Tenant> tenants, List<ReportField> reportFields, Limits limits, Rules rules, Prices prices) {

        /** A figure of a load report, or NaN where it is not reported. */
        double field(double[] report, ReportField name) {
            int index = reportFields.indexOf(name);
            return report != null && index >= 0 && index < report.length ? report[index] : Double.NaN;
        }
    }

    /**
     * A class of requests.
     *
     * @param kind       the only kind of worker that can run it, -1 for any
     * @param aim        an answer within this time, plus {@code aimStretch} times the job's own run time,
     *                   earns full worth
     * @param deadline   when a client gives up for good
     * @param lateWorth  the part of the worth that an answer between aim and deadline earns
     * @param keyWindow  how long repeats of a keyed request are dropped, from the first send that may have
     *                   run
     */
    record JobClass(Effect effect, KeyScope keyScope, int kind, long aim, double aimStretch, long deadline,
            double worth, double lateWorth, long keyWindow) {
    }

    /** A tenant; above {@code quotaPerSecond}, over all dispatchers, its requests are worth little. */
    record Tenant(double quotaPerSecond) {
    }

    /**
     * What the deployment permits.
     *
     * @param connIdle  after how long a worker closes a connection that nothing is sent on
     */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes, boolean peerMessages,
            boolean retryAfter, long maxRetryAfter, long connectTimeout, long connIdle) {

        /** Where the deployment does not say otherwise, in microseconds. */
        public static final long USUAL_CONN_IDLE = 5_000_000;

        /** Those of a deployment that says nothing of idle connections. */
        public Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes,
                boolean peerMessages, boolean retryAfter, long maxRetryAfter, long connectTimeout) {
            this(maxAttempts, secondCopies, cancel, probes, peerMessages, retryAfter, maxRetryAfter,
                    connectTimeout, USUAL_CONN_IDLE);
        }
    }

    /**
     * The figures of the rules every dispatcher keeps.
     *
     * @param askEvery      a dispatcher without a subscription is deemed told of list changes this old
     * @param coldFor       a worker that started this long ago is warm
     * @param coldCapacity  the least part of its capacity a worker starts with
     * @param coldMultiple  a cold worker falls over at this multiple of its present capacity ...
     * @param coldWindow    ... received over this time, from all dispatchers together
     */
    record Rules(long askEvery, long coldFor, double coldCapacity, double coldMultiple, long coldWindow) {
    }

    /**
     * Prices in parts of the result.
     *
     * @param crossZone    for an attempt in another zone with each request
     * @param waste        for as much work wasted as was asked for
     * @param peerMessage  for a full message received with each request
     * @param probe        for a probe with each request
     */
    record Prices(double crossZone, double waste, double peerMessage, double probe) {

        /** The length of a full message, in bytes. */
        public static final int MESSAGE_BYTES = 256;
    }

    /**
     * A worker as listed.
     *
     * @param startedAt  0 means long ago
     * @param share      the part of its ordinary traffic that it is to have, from 0 to 1, where others can
     *                   take the rest
     */
    record WorkerInfo(String id, WorkerState state, int kind, int zone, int cell, double weight,
            long startedAt,
            double share) {

        /** One that is to have all of its traffic. */
        public WorkerInfo(String id, WorkerState state, int kind, int zone, int cell, double weight,
                long startedAt) {
            this(id, state, kind, zone, cell, weight, startedAt, 1);
        }
    }

    /** What happens to a dispatcher. */
    sealed interface Event { }

    /** The list of workers, or its changes. A worker that a complete list leaves out is gone. */
    record WorkerList(ListKind kind, List<WorkerInfo> workers) implements Event { }

    /** Discovery is not listened to any more; its last word came at {@code heardAt}. */
    record DiscoveryLost(long heardAt) implements Event { }

    /** One process of the worker lived throughout: it answered a connection that was open all the while. */
    record WorkerLived(String worker, long from, long to) implements Event { }

    /**
     * A client's request; it is owed exactly one final answer within {@code timeLeft}.
     *
     * @param slots     how many slots the job takes
     * @param memory    the memory it takes, 0 where that is not accounted
     * @param costHint  its expected work on a standard core, 0 if unknown
     */
    record Request(long id, int jobClass, int tenant, double slots, double memory, long costHint,
            long timeLeft) implements Event { }

    /** The end of an attempt; {@code report} is null, or the worker's {@link Settings#reportFields}. */
    record AttemptEnded(long request, int attempt, String worker, Outcome outcome, boolean requestClosed,
            double[] report) implements Event { }

    /** An attempt's job has started to run. */
    record AttemptStarted(long request, int attempt, String worker) implements Event { }

    /** A running attempt reports how much of its job is done, from 0 to 1. */
    record AttemptProgress(long request, int attempt, String worker, double done) implements Event { }

    /** The answer of a probe; {@code report} as in {@link AttemptEnded}. */
    record ProbeEnded(String worker, boolean healthy, double[] report) implements Event { }

    /** Another dispatcher's message. */
    record PeerMessage(int from, String text) implements Event { }

    /**
     * What peers' evidence comes to now, by worker; of those left out nothing is known from peers. It counts
     * where own evidence is thin, and never where a cold worker's budget is worked out.
     */
    record PeersTold(Map<String, Borrowed> byWorker) implements Event { }

    /** The client has left; no answer is owed any more. */
    record ClientGone(long request) implements Event { }

    /** A timer set with {@link SetTimer} is due. */
    record TimerDue(String name) implements Event { }

    /** What a dispatcher wants done. */
    sealed interface Action { }

    /**
     * Start the request's next attempt; they are numbered from 0.
     *
     * @param timeOut  0: until the deadline
     * @param beginBy  the last moment at which it may be written to the worker, as connections take time to
     *                 come up; later it must not begin, which is {@link Outcome#NOT_SENT}
     */
    record Send(long request, String worker, long timeOut, long beginBy) implements Action {

        /** One that may begin at any time until its time-out. */
        public Send(long request, String worker, long timeOut) {
            this(request, worker, timeOut, Long.MAX_VALUE);
        }
    }

    /** Stop waiting for an attempt. */
    record Cancel(long request, int attempt) implements Action { }

    /** Final answer: refused, and harmless to try again, after {@code retryAfter} if that is above 0. */
    record Refuse(long request, long retryAfter) implements Action { }

    /** Final answer: failed, with no promise about effects. */
    record Fail(long request) implements Action { }

    /** Ask the list for all changes from now on. */
    record Subscribe() implements Action { }

    /** Ask a worker for its health. */
    record Probe(String worker) implements Action { }

    /** Send a message to every other dispatcher. */
    record TellPeers(String text) implements Action { }

    /** Send back {@link TimerDue} at {@code dueAt}, or as soon after as possible. */
    record SetTimer(long dueAt, String name) implements Action { }

    /** A line for the operators. */
    record Log(String text) implements Action { }
}
