package ryemast.lab.books;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The tries that clients have sent, by name: how a box knows what a request will cost it, and whether any
 * client has sent it at all. Any thread may use it.
 */
public final class Tries {

    private final Map<String, Try> sent = new ConcurrentHashMap<>();

    /** To be called before the try's first byte leaves. */
    public void add(Try sentNow) {
        sent.put(sentNow.txn(), sentNow);
    }

    /** Null for a name that no client has used. */
    public Try find(String txn) {
        return sent.get(txn);
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
