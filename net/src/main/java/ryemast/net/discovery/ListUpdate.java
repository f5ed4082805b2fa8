package ryemast.net.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.membership.HealthStatus;
import ryemast.membership.ListedWorker;
import ryemast.net.Addresses;

/** What the service table says at one time: all of its entries, or those that changed. */
public record ListUpdate(long version, boolean full, List<Entry> entries) {

    /** The workers that it says are in this state. */
    List<String> ids(WorkerState state) {
        return entries.stream().map(Entry::worker).filter(worker -> worker.state() == state)
                .map(WorkerInfo::id).toList();
    }

    /** {@code address} may be null for a worker that is gone. */
    public record Entry(WorkerInfo worker, InetSocketAddress address) {

        /** As a word of this source about a worker; a weight that can't be one counts as the usual one. */
        ListedWorker sighting() {
            var condition = switch (worker.state()) {
                case READY -> HealthStatus.PASSING;
                case DRAINING -> HealthStatus.DRAINING;
                case GONE -> HealthStatus.GONE;
            };
            double weight = worker.weight() > 0
                    && worker.weight() < Double.POSITIVE_INFINITY ? worker.weight() : 1;
            return new ListedWorker(worker.id(), address == null ? null : Addresses.text(address), condition,
                    worker.kind(), worker.zone(), worker.cell(), weight, worker.startedAt(), 0, 0, "");
        }
    }
}
