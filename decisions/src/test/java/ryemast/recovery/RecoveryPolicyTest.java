package ryemast.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ryemast.recovery.RecoveryPolicy.NextStep;
import ryemast.recovery.RecoveryPolicy.DispatchOutcome;

class RecoveryPolicyTest {

    /** Guards the main guarantee: a job that must run at most once and may have run is never sent again. */
    @Test
    void anUnsafeJobIsResubmittedOnlyIfItCertainlyDidNotRun() {
        for (var turn : DispatchOutcome.values()) {
            for (int failures = 0; failures < 5; failures++) {
                var next = RecoveryPolicy.nextStep(turn, true, failures, 5);
                if (turn == DispatchOutcome.REFUSED || turn == DispatchOutcome.NOT_STARTED) {
                    assertEquals(NextStep.RESUBMIT, next);
                } else {
                    assertNotEquals(NextStep.RESUBMIT, next);
                }
            }
        }
    }

    @Test
    void aRepeatableJobIsResubmittedUpToTheFailureLimit() {
        assertEquals(NextStep.RESUBMIT, RecoveryPolicy.nextStep(DispatchOutcome.FAILED, false, 1, 3));
        assertEquals(NextStep.RESUBMIT, RecoveryPolicy.nextStep(DispatchOutcome.FAILED, false, 2, 3));
        assertEquals(NextStep.FAILED, RecoveryPolicy.nextStep(DispatchOutcome.FAILED, false, 3, 3));
        assertEquals(NextStep.RESUBMIT, RecoveryPolicy.nextStep(DispatchOutcome.INTERRUPTED, false, 2, 3));
        assertEquals(NextStep.DONE, RecoveryPolicy.nextStep(DispatchOutcome.SERVED, false, 2, 3));
        assertEquals(NextStep.DONE, RecoveryPolicy.nextStep(DispatchOutcome.SERVED, true, 0, 1));
    }

    @Test
    void theBackoffDoublesAndIsBounded() {
        assertEquals(0, RecoveryPolicy.backoff(0));
        assertEquals(200_000, RecoveryPolicy.backoff(1));
        assertEquals(400_000, RecoveryPolicy.backoff(2));
        for (int failures = 1; failures < 200; failures++) {
            assertTrue(RecoveryPolicy.backoff(failures) > 0
                    && RecoveryPolicy.backoff(failures) <= 30_000_000);
        }
    }
}
