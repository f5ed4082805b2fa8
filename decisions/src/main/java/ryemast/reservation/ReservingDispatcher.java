package ryemast.reservation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pipitladder.Dispatcher;

/**
 * Admission control for reserved capacity, as a dispatcher that wraps another one. Each request is checked
 * once, on arrival: one that would use capacity reserved for others, or whose capped service has none left,
 * is refused at once and never reaches the inner dispatcher; all else passes unchanged, in its order. With an
 * empty ledger every event and action passes unchanged.
 *
 * <p>It sets no timers and queues nothing. Which worker, when, and who is served first among admitted
 * requests remains up to the inner dispatcher. A request uses its expected cost, whatever its outcome:
 * neither a retry nor a refusal by the inner dispatcher changes that.
 */
public final class ReservingDispatcher implements Dispatcher {

    /** As in the policy: a job without a hint counts as a second of a standard core. */
    private static final double WORK_WITHOUT_HINT = 1e6;

    /** An admitted request, until it is answered and none of its attempts is in flight. */
    private static final class Admission {
        final AdmissionDecision decision;
        final double work;
        int attemptsOut;
        boolean answered;

        Admission(AdmissionDecision decision, double work) {
            this.decision = decision;
            this.work = work;
        }
    }

    private static final class Counters {
        long reserved;
        long free;
        long borrowed;
        long refused;
        double workOut;
    }

    private final Dispatcher inner;
    private final MemberQuotas quotas;
    private final long maxRetryAfter;
    private final Map<Long, Admission> admitted = new HashMap<>();
    private final Map<String, Counters> counters = new LinkedHashMap<>();
    /** Refused at the current time; their clients may leave at the same time. */
    private final Set<Long> refused = new HashSet<>();
    private long refusedAt;

    /** {@code limits}: those of the inner dispatcher's settings, for the retry delay. */
    public ReservingDispatcher(Dispatcher inner, MemberQuotas quotas, Limits limits) {
        this.inner = inner;
        this.quotas = quotas;
        maxRetryAfter = limits.retryAfter() ? limits.maxRetryAfter() : 0;
    }

    @Override
    public void handle(long now, Event event, Consumer<? super Action> out) {
        if (!refused.isEmpty() && now > refusedAt) {
            refused.clear();
        }
        if (event instanceof Request request && !admitted.containsKey(request.id())) {
            admit(now, request, out);
        } else if (!(event instanceof ClientGone gone) || !refused.contains(gone.request())) {
            forward(now, event, out);
        }
    }

    private void admit(long now, Request request, Consumer<? super Action> out) {
        double hint = request.costHint() > 0 ? request.costHint() : WORK_WITHOUT_HINT;
        double work = request.slots() * hint;
        var decision = quotas.acquire(request.tenant(), request.jobClass(), work, request.costHint(), now);
        if (decision.kind() == AdmissionDecision.Kind.UNLIMITED) {
            forward(now, request, out);
            return;
        }
        if (decision.kind() == AdmissionDecision.Kind.REFUSED) {
            countersFor(decision).refused++;
            refused.add(request.id());
            refusedAt = now;
            out.accept(new Refuse(request.id(), Math.min(maxRetryAfter, decision.retryAfter())));
            return;
        }
        var count = countersFor(decision);
        count.workOut += work;
        admitted.put(request.id(), new Admission(decision, work));
        try {
            forward(now, request, out);
        } catch (RuntimeException | StackOverflowError e) {
            count.workOut -= admitted.remove(request.id()) == null ? 0 : work;
            quotas.refund(decision, work);
            throw e;
        }
        switch (decision.kind()) {
            case RESERVED -> count.reserved++;
            case FREE -> count.free++;
            default -> count.borrowed++;
        }
    }

    private Counters countersFor(AdmissionDecision decision) {
        return counters.computeIfAbsent(decision.service(), name -> new Counters());
    }

    private void forward(long now, Event event, Consumer<? super Action> out) {
        if (admitted.isEmpty()) {
            inner.handle(now, event, out);
            return;
        }
        inner.handle(now, event, action -> {
            trackAction(action);
            out.accept(action);
        });
        if (event instanceof AttemptEnded ended) {
            finish(ended.request(), 1, ended.requestClosed());
        } else if (event instanceof ClientGone gone) {
            finish(gone.request(), 0, true);
        }
    }

    private void trackAction(Action action) {
        if (action instanceof Send send && admitted.containsKey(send.request())) {
            admitted.get(send.request()).attemptsOut++;
        } else if (action instanceof Refuse refuse) {
            finish(refuse.request(), 0, true);
        } else if (action instanceof Fail fail) {
            finish(fail.request(), 0, true);
        }
    }

    private void finish(long request, int attempts, boolean answered) {
        var admission = admitted.get(request);
        if (admission == null) {
            return;
        }
        admission.attemptsOut -= attempts;
        admission.answered |= answered;
        if (admission.answered && admission.attemptsOut <= 0) {
            admitted.remove(request);
            quotas.onEnded(admission.decision, admission.work);
            var count = countersFor(admission.decision);
            count.workOut = Math.max(0, count.workOut - admission.work);
        }
    }

    /** By service; "" for requests of no service. */
    public Map<String, AdmissionCounts> admissionCounts() {
        var result = new LinkedHashMap<String, AdmissionCounts>();
        counters.forEach((service, each) -> result.put(service,
                new AdmissionCounts(each.reserved, each.free, each.borrowed, each.refused, each.workOut)));
        return result;
    }
}
