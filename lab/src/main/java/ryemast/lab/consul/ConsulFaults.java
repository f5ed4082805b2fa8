package ryemast.lab.consul;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.world.Timeline;

/** The faults that are set, and what lists were when one of old lists was set. One thread. */
public final class ConsulFaults {

    private final Timeline time;
    private final List<ConsulFault> set = new ArrayList<>();
    /**
     * By path and query without the index: what was answered last, with its index, before the list grew old.
     */
    private final Map<String, Old> last = new HashMap<>();

    /** An answer as it was. */
    record Old(String body, long index) {
    }

    ConsulFaults(Timeline time) {
        this.time = time;
    }

    /** {@code forMicros}: for so long, 0 for ever; {@code times}: for so many calls, 0 for all. */
    public void set(String kind, String path, long size, long forMicros, long times) {
        var found = ConsulFault.Kind.of(kind);
        if (found == null) {
            throw new IllegalArgumentException("kind: '" + kind + "'; expected one of " + String.join(", ",
                    java.util.Arrays.stream(ConsulFault.Kind.values()).map(ConsulFault.Kind::word).toList()));
        }
        set.add(new ConsulFault(found, path, size, forMicros == 0 ? Long.MAX_VALUE : time.now() + forMicros,
                times == 0 ? Long.MAX_VALUE : times));
    }

    public void clear() {
        set.clear();
    }

    /** The faults that strike a call, each of which counts it. */
    List<ConsulFault> striking(String path) {
        long now = time.now();
        set.removeIf(each -> each.until() <= now || each.times() <= 0);
        var found = new ArrayList<ConsulFault>();
        for (int i = 0; i < set.size(); i++) {
            var each = set.get(i);
            if (path.startsWith(each.path())) {
                found.add(each);
                set.set(i, each.once());
            }
        }
        return found;
    }

    boolean isOld() {
        return set.stream().anyMatch(each -> each.kind() == ConsulFault.Kind.OLD && each.until() > time.now()
                && each.times() > 0);
    }

    void remember(String call, String body, long index) {
        if (!isOld()) {
            last.put(call, new Old(body, index));
        }
    }

    Old old(String call) {
        return last.get(call);
    }
}
