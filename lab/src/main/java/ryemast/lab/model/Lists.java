package ryemast.lab.model;

import java.io.IOException;
import java.util.List;
import pipitladder.Dispatcher.WorkerInfo;
import ryemast.net.discovery.ListReader;
import ryemast.net.discovery.ListUpdate;

/**
 * Reads what discovery says, as dispatchers read it. What many are told alike is read once and shared, so
 * that a long list costs its memory once and not for each dispatcher.
 */
final class Lists {

    /** One object of discovery's, as a dispatcher passes it on. */
    record Told(long version, boolean full, List<WorkerInfo> workers) {
    }

    private final ListReader reader;
    private String lastText = "";
    private Told last;

    Lists(List<String> zones, List<String> kinds) {
        reader = new ListReader(zones, kinds);
    }

    Told read(String json) throws IOException {
        if (!json.equals(lastText)) {
            var update = reader.read(json);
            last = new Told(update.version(), update.full(),
                    update.entries().stream().map(ListUpdate.Entry::worker).toList());
            lastText = json;
        }
        return last;
    }
}
