package pipitladder;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.fleet.signals.Borrowed;

/**
 * The interface of the decision module: one dispatcher that assigns jobs to workers.
 *
 * <p>The embedder owns the network, the clock and the list of workers. It passes what happens to the
 * dispatcher as {@link Event events} and executes the {@link Action actions} it returns, in order. A
 * dispatcher is used by one thread at a time and shares no state with another one. All times are whole
 * microseconds of a monotonic clock chosen by the embedder.
 *
 * <p>The embedder guarantees: events arrive in the order in which they happened; the clock never goes back;
 * every {@link Send} gets exactly one {@link AttemptEnded}; a first {@link Outcome#SUCCESS} is forwarded to
 * the client and reported as closing its request; time-outs are limited to the client's deadline.
 *
 * <p>A call that violates this (a clock that goes back, a reused request id, an unknown worker, class or
 * attempt) throws an {@link IllegalArgumentException} and leaves the dispatcher's state unchanged.
 */
public interface Dispatcher {

    /**
     * Handles one event and passes every resulting action to {@code out} before it returns.
     *
     * @param now the time of the event, never before that of an earlier call
     */
    void handle(long now, Event event, Consumer<? super Action> out);

    /** What a second run of a request would do. */
    enum Effect {
        /** Nothing: any number of runs is harmless. */
        REPEATABLE,
        /** Workers that share the request's key scope deduplicate repeats for a limited time. */
        KEYED,
        /** Harm: it must run at most once. */
        UNSAFE
    }

    /** Which workers deduplicate a keyed request: all of them, those of one zone, or those of one cell. */
    enum KeyScope { ALL, ZONE, CELL }

    /** How an attempt ended. */
    enum Outcome {
        SUCCESS(false), ERROR(false), REJECTED(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true),
        /** The worker can't process the request: the request is at fault, not the worker. */
        UNUSABLE(true);

        /** Whether the job certainly did not run in this attempt. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** A worker's state in the list. */
    enum WorkerState { READY, DRAINING, GONE }

    /** The scope of a list update, or how a call for the list failed. */
    enum ListKind {
        /** Changes reported by discovery. */
        CHANGES,
        /** All workers, as reported by discovery: one that is missing is gone. */
        COMPLETE,
        /** All workers as last known, before discovery was called. */
        CACHED,
        /** A call returned nothing, or the subscription it started has ended. */
        FAILED,
        /** Workers that have been gone for so long that their state can be dropped. */
        FORGOTTEN,
        /** Changes that did not come from discovery, such as an operator's drain. */
        AMENDED,
        /**
         * A call failed because its connection broke: updates that discovery wrote may have been lost in
         * transit.
         */
        BROKEN,
        /** A call failed because no connection to discovery could be established. */
        UNREACHABLE;

        /** Whether a worker missing from the update is gone. */
        public boolean isWhole() {
            return this == COMPLETE || this == CACHED;
        }

        /** Whether the update carries no workers because a call failed. */
        public boolean isFailure() {
            return this == FAILED || this == BROKEN || this == UNREACHABLE;
        }
    }

    /** The metrics a worker may report, in the order of {@link Settings#reportFields}. */
    enum ReportField { IN_FLIGHT, QUEUED, UTILISATION, LATENCY_MS, PER_SECOND, ERRORS_PER_SECOND, FREE_SLOTS,
        FREE_MEMORY, UNKNOWN }

    /**
     * The settings of a dispatcher, passed once at its start.
     *
     * @param self its index among the dispatchers, from 0
     * @param dispatchers the number of dispatchers, itself included
     * @param zone the dispatcher's zone
     * @param resolution the smallest clock difference between two calls
     * @param listPushed true if list changes arrive unsolicited; false if they follow {@link Subscribe}
     * @param weightsAreSizes true if {@link WorkerInfo#weight} is proportional to a worker's size
     * @param startsReported true if workers report that a job has started
     * @param progressInterval how often a running job reports progress, 0 if never
     */
    record Settings(int self, int dispatchers, int zone, long resolution, boolean listPushed,
            boolean weightsAreSizes, boolean startsReported, long progressInterval, List<JobClass> classes,
            List<Tenant> tenants, List<ReportField> reportFields, Limits limits, Rules rules, Prices prices) {

        /** A metric of a load report, or NaN if it is not reported. */
        double field(double[] report, ReportField name) {
            int index = reportFields.indexOf(name);
            return report != null && index >= 0 && index < report.length ? report[index] : Double.NaN;
        }
    }

    /**
     * A class of requests.
     *
     * @param kind the only kind of worker that can run it, -1 for any
     * @param aim the latency objective: an answer within this time, plus {@code aimStretch} times the job's
     *     own run time, earns its full worth
     * @param deadline when the client abandons the request
     * @param lateWorth the fraction of the worth earned by an answer between latency objective and deadline
     * @param keyWindow how long repeats of a keyed request are deduplicated, from the first send that may
     *     have run
     */
    record JobClass(Effect effect, KeyScope keyScope, int kind, long aim, double aimStretch, long deadline,
            double worth, double lateWorth, long keyWindow) {
    }

    /** A tenant; requests above {@code quotaPerSecond}, counted over all dispatchers, are worth little. */
    record Tenant(double quotaPerSecond) {
    }

    /**
     * The features and limits that the deployment allows.
     *
     * @param connIdle the time after which a worker closes an idle connection
     */
    record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes, boolean peerMessages,
            boolean retryAfter, long maxRetryAfter, long connectTimeout, long connIdle) {

        /** The default of {@code connIdle}, in microseconds. */
        public static final long USUAL_CONN_IDLE = 5_000_000;

        /** Uses the default idle time of connections. */
        public Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes,
                boolean peerMessages, boolean retryAfter, long maxRetryAfter, long connectTimeout) {
            this(maxAttempts, secondCopies, cancel, probes, peerMessages, retryAfter, maxRetryAfter,
                    connectTimeout, USUAL_CONN_IDLE);
        }
    }

    /**
     * The parameters of the rules that every dispatcher must obey.
     *
     * @param askEvery a dispatcher without a subscription is deemed notified of list changes of this age
     * @param coldFor the length of slow start: a worker that started this long ago is warm
     * @param coldCapacity the minimum fraction of its capacity that a worker starts with
     * @param coldMultiple a worker in slow start collapses at this multiple of its current capacity ...
     * @param coldWindow ... received within this time, from all dispatchers together
     */
    record Rules(long askEvery, long coldFor, double coldCapacity, double coldMultiple, long coldWindow) {
    }

    /**
     * Prices as fractions of the result.
     *
     * @param crossZone for one attempt in another zone per request
     * @param waste for as much wasted work as was requested
     * @param peerMessage for one full message received per request
     * @param probe for one probe per request
     */
    record Prices(double crossZone, double waste, double peerMessage, double probe) {

        /** The size of a full message, in bytes. */
        public static final int MESSAGE_BYTES = 256;
    }

    /**
     * A worker as listed.
     *
     * @param startedAt 0 means long ago
     * @param share the fraction of its normal traffic that it should receive, from 0 to 1, if other workers
     *     can take the rest
     */
    record WorkerInfo(String id, WorkerState state, int kind, int zone, int cell, double weight,
            long startedAt,
            double share) {

        /** A worker that should receive all of its normal traffic. */
        public WorkerInfo(String id, WorkerState state, int kind, int zone, int cell, double weight,
                long startedAt) {
            this(id, state, kind, zone, cell, weight, startedAt, 1);
        }
    }

    /** An input of a dispatcher. */
    sealed interface Event { }

    /** The list of workers, or changes to it. A worker missing from a complete list is gone. */
    record WorkerList(ListKind kind, List<WorkerInfo> workers) implements Event { }

    /** Discovery is no longer followed; its last update arrived at {@code heardAt}. */
    record DiscoveryLost(long heardAt) implements Event { }

    /**
     * One process of the worker ran during the whole interval: it answered on a connection that stayed open.
     */
    record WorkerLived(String worker, long from, long to) implements Event { }

    /**
     * A client's request, to be answered exactly once within {@code timeLeft}.
     *
     * @param slots the number of slots the job takes
     * @param memory the memory it takes, 0 if memory is not accounted for
     * @param costHint its expected work on a standard core, 0 if unknown
     */
    record Request(long id, int jobClass, int tenant, double slots, double memory, long costHint,
            long timeLeft) implements Event { }

    /** The end of an attempt; {@code report} is null, or the worker's {@link Settings#reportFields}. */
    record AttemptEnded(long request, int attempt, String worker, Outcome outcome, boolean requestClosed,
            double[] report) implements Event { }

    /** The job of an attempt has started to run. */
    record AttemptStarted(long request, int attempt, String worker) implements Event { }

    /** A running attempt reports the completed fraction of its job, from 0 to 1. */
    record AttemptProgress(long request, int attempt, String worker, double done) implements Event { }

    /** The result of a probe; {@code report} as in {@link AttemptEnded}. */
    record ProbeEnded(String worker, boolean healthy, double[] report) implements Event { }

    /** A message from another dispatcher. */
    record PeerMessage(int from, String text) implements Event { }

    /**
     * The aggregated evidence of peers, by worker; for a worker not included there is none. It counts where
     * own evidence is thin, and never in the slow-start budget.
     */
    record PeersTold(Map<String, Borrowed> byWorker) implements Event { }

    /** The client has disconnected; no answer is needed any more. */
    record ClientGone(long request) implements Event { }

    /** A timer set with {@link SetTimer} has expired. */
    record TimerDue(String name) implements Event { }

    /** An output of a dispatcher. */
    sealed interface Action { }

    /**
     * Start the request's next attempt; attempts are numbered from 0.
     *
     * @param timeOut 0: until the deadline
     * @param beginBy the latest time at which it may be written to the worker, as connections take time to
     *     open; after that it must not start, which is {@link Outcome#NOT_SENT}
     */
    record Send(long request, String worker, long timeOut, long beginBy) implements Action {

        /** An attempt that may start at any time until its time-out. */
        public Send(long request, String worker, long timeOut) {
            this(request, worker, timeOut, Long.MAX_VALUE);
        }
    }

    /** Stop waiting for an attempt. */
    record Cancel(long request, int attempt) implements Action { }

    /** Final answer: refused and safe to retry, after {@code retryAfter} if that is above 0. */
    record Refuse(long request, long retryAfter) implements Action { }

    /** Final answer: failed, with no guarantee about effects. */
    record Fail(long request) implements Action { }

    /** Subscribe to all list changes from now on. */
    record Subscribe() implements Action { }

    /** Check a worker's health. */
    record Probe(String worker) implements Action { }

    /** Send a message to every other dispatcher. */
    record TellPeers(String text) implements Action { }

    /** Return {@link TimerDue} at {@code dueAt}, or as soon after as possible. */
    record SetTimer(long dueAt, String name) implements Action { }

    /** A log line for the operators. */
    record Log(String text) implements Action { }
}
