package ryemast.net.servicetable;

import java.net.InetSocketAddress;
import java.util.List;
import pipitladder.Dispatcher.WorkerInfo;

/** What the service table says at one time: all of its entries, or those that changed. */
public record TableUpdate(long version, boolean full, List<Entry> entries) {

    public record Entry(WorkerInfo worker, InetSocketAddress address) {
    }
}
