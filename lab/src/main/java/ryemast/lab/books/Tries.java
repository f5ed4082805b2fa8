package ryemast.lab.books;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The tries that clients have sent, by name: how a box knows what a request will cost it, and whether any
 * client has sent it at all. Any thread may use it.
 */
public final class Tries {

    private final Map<String, Try> sent = new ConcurrentHashMap<>();
    private volatile Function<String, Try> others = txn -> null;

    /** To be called before the try's first byte leaves. */
    public void add(Try sentNow) {
        sent.put(sentNow.txn(), sentNow);
    }

    /**
     * {@code names}: tells of tries that come by another way than the clients', null for those that don't.
     */
    public void others(Function<String, Try> names) {
        others = names;
    }

    /** Null for a name that no client has used. */
    public Try find(String txn) {
        var found = sent.get(txn);
        return found != null ? found : others.apply(txn);
    }

    /** For runs so long that there is no room for all names: a box that hears it again does not know it. */
    public void forget(String txn) {
        sent.remove(txn);
    }

    /** All that were ever sent, or were to be; it grows as long as clients send. */
    public Collection<Try> all() {
        return Collections.unmodifiableCollection(sent.values());
    }
}
