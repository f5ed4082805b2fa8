package ryemast.coordination;

import java.nio.file.Path;

/** A second dispatcher was started on an embedded store, which is for one. */
public final class StoreInUseException extends CoordinationException {

    private static final long serialVersionUID = 1L;

    StoreInUseException(Path folder) {
        super("coordination.folder = " + folder,
                "is in use by another process, and an embedded store is for one dispatcher",
                "This dispatcher does not start; the other one goes on",
                "End the other one first, or give this one a folder of its own if it serves another site, or"
                + " set coordination.kind = \"consul\" for all replicas", null);
    }
}
