package ryemast.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UsedNamesTest {

    private static final int MOST = 10;

    private final UsedNames names = new UsedNames(MOST);

    /** Guards against a second run of a job whose name ever new names pushed out. */
    @Test
    void aNameThatWentToAWorkerOutlastsThoseThatDidNot() {
        names.taken("unsent");
        names.taken("sent");
        names.sent("sent");
        for (int i = 0; i < 100 * MOST; i++) {
            names.taken("other-" + i);
        }
        assertTrue(names.contains("sent"));
        assertFalse(names.contains("unsent"));
        assertTrue(names.contains("other-" + (100 * MOST - 1)));
    }

    @Test
    void theOldestOfThoseThatWentOutIsForgotten() {
        for (int i = 0; i < 100 * MOST; i++) {
            names.sent("sent-" + i);
        }
        assertFalse(names.contains("sent-0"));
        assertTrue(names.contains("sent-" + (99 * MOST)));
    }
}
