package ryemast.lab.model;

import java.io.IOException;
import java.util.List;
import pipitladder.Dispatcher.WorkerInfo;
import ryemast.net.servicetable.TableReader;
import ryemast.net.servicetable.TableUpdate;

/**
 * Reads what discovery says, as dispatchers read it. What many are told alike is read once and shared, so
 * that a long list costs its memory once and not for each dispatcher.
 */
final class Lists {

    /** One object of discovery's, as a dispatcher passes it on. */
    record Told(long version, boolean full, List<WorkerInfo> workers) {
    }

    private final TableReader reader;
    private String lastText = "";
    private Told last;

    Lists(List<String> zones, List<String> kinds) {
        reader = new TableReader(zones, kinds);
    }

    Told read(String json) throws IOException {
        if (!json.equals(lastText)) {
            var update = reader.read(json);
            last = new Told(update.version(), update.full(),
                    update.entries().stream().map(TableUpdate.Entry::worker).toList());
            lastText = json;
        }
        return last;
    }
}
