package ryemast.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class QuotaCapacityTest {

    @Test
    void aWorkerClearsItsShareOfAllQuotasBySize() {
        var promised = new QuotaCapacity(List.of(12.0, 18.0), true);
        assertTrue(promised.isKnown());
        assertEquals(0, promised.jobsPerSecondFor(3), "before any list");
        promised.recordTotalSize(10);
        assertEquals(9, promised.jobsPerSecondFor(3), 1e-9);
    }

    /** Half of the workers are gone: the capacity of the others stays the same. */
    @Test
    void aLossOfWorkersDoesNotRaiseTheCapacityOfOthers() {
        var promised = new QuotaCapacity(List.of(30.0), true);
        promised.recordTotalSize(10);
        promised.recordTotalSize(5);
        assertEquals(9, promised.jobsPerSecondFor(3), 1e-9);
        promised.recordTotalSize(20);
        assertEquals(4.5, promised.jobsPerSecondFor(3), 1e-9);
    }

    @Test
    void nothingIsKnownWithoutSizesOrWhereATenantHasNoQuota() {
        assertFalse(new QuotaCapacity(List.of(12.0), false).isKnown());
        assertFalse(new QuotaCapacity(List.of(), true).isKnown());
        assertFalse(new QuotaCapacity(List.of(12.0, Double.MAX_VALUE), true).isKnown());
    }
}
