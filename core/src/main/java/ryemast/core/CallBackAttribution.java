package ryemast.core;

import ryemast.core.CallBack.State;

/**
 * Tells which attempt of a transaction a call-back is about. A call-back names the job and the worker but not
 * the attempt, and the worker repeats it until it is answered, so that it may arrive after a later attempt of
 * the same job has begun at the same worker.
 *
 * <p>Guarantees that an end is attributed to the later attempt as certain only if no earlier one can have
 * told it: each attempt tells one end at most, however often, so that an end that was told before may be a
 * repetition, and an attempt that ended without the worker's word may still tell any. A result is an
 * exception: whichever attempt made it, it answers the request.
 */
final class CallBackAttribution {

    /**
     * The attempt that a call-back is about, which has not ended yet.
     *
     * @param isCertain whether no other attempt can have told it
     */
    record Attribution(RoutedTask attempt, boolean isCertain) {
    }

    private CallBackAttribution() {
    }

    /** Null if it is about no attempt that is still open. The transaction may be null: it is over. */
    static Attribution of(Transaction transaction, CallBack call) {
        var latest = transaction == null ? null : latestAt(transaction, call.from());
        if (latest == null) {
            return null;
        }
        boolean isEnd = call.state().isEnd();
        boolean earlierMayTell = transaction.tasks.stream().anyMatch(task -> task != latest
                && task.worker.equals(call.from()) && task.mayTell(call.state()));
        if (isEnd && !earlierMayTell && latest.toldEnd == null) {
            latest.toldEnd = call.state();
        }
        if (latest.ended()) {
            return null;
        }
        if (!earlierMayTell || call.state() == State.DONE) {
            return new Attribution(latest, true);
        }
        // Before the worker has taken the later attempt, its progress is the earlier one's.
        return isEnd || latest.accepted() ? new Attribution(latest, !isEnd) : null;
    }

    private static RoutedTask latestAt(Transaction transaction, String worker) {
        RoutedTask latest = null;
        for (var task : transaction.tasks) {
            if (task.worker.equals(worker)) {
                latest = task;
            }
        }
        return latest;
    }
}
