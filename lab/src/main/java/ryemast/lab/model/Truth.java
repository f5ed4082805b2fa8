package ryemast.lab.model;

import java.util.Map;
import ryemast.lab.site.Box;

/** How all boxes really are: what no dispatcher can see, and the oracle does. One for a run. */
public final class Truth {

    private final Map<String, Box> byId;

    Truth(Map<String, Box> byId) {
        this.byId = byId;
    }

    /** The box of that id as it is now. */
    public Box.Present of(String id) {
        return byId.get(id).present();
    }
}
