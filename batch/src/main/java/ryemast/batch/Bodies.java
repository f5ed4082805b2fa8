package ryemast.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.core.Loop;
import ryemast.store.DurableStore;

/**
 * The bodies of arrays, which are on the disk; those used lately are here, up to {@link #MOST} bytes.
 * Nobody waits for the disk: a body comes when it is there. Owned by the loop.
 */
final class Bodies {

    static final long MOST = 2 << 20;
    private static final byte[] NONE = new byte[0];

    private final Loop loop;
    private final DurableStore store;
    private final LinkedHashMap<Long, byte[]> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, List<Consumer<byte[]>>> asked = new HashMap<>();
    private long bytes;

    Bodies(Loop loop, DurableStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** {@code found}: called now or later, with null if the disk does not have it. */
    void of(JobArray array, int slot, Consumer<byte[]> found) {
        int part = array.part(slot);
        long key = Records.body(array.number, part);
        if (array.parts.get(part).template().body() == 0) {
            found.accept(NONE);
            return;
        }
        var here = kept.get(key);
        if (here != null) {
            found.accept(here);
            return;
        }
        var waiting = asked.get(key);
        if (waiting != null) {
            waiting.add(found);
            return;
        }
        asked.put(key, new ArrayList<>(List.of(found)));
        store.read(Records.BODIES, key, body -> loop.post(() -> read(key, body)));
    }

    void keep(long key, byte[] body) {
        if (body.length == 0 || kept.containsKey(key)) {
            return;
        }
        kept.put(key, body);
        bytes += body.length;
        var oldest = kept.entrySet().iterator();
        while (bytes > MOST && kept.size() > 1) {
            bytes -= oldest.next().getValue().length;
            oldest.remove();
        }
    }

    void forget(JobArray array) {
        for (int part = 0; part < array.parts.size(); part++) {
            var gone = kept.remove(Records.body(array.number, part));
            bytes -= gone == null ? 0 : gone.length;
        }
    }

    private void read(long key, byte[] body) {
        if (body != null) {
            keep(key, body);
        }
        asked.remove(key).forEach(each -> each.accept(body));
    }
}
