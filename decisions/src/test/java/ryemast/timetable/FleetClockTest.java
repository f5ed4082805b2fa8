package ryemast.timetable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import ryemast.fleet.MemberClock;

class FleetClockTest {

    private static final long SECOND = 1_000_000;
    private static final long WALL = 1_796_000_000L * SECOND;
    private static final long NOW = 500 * SECOND;
    /** Largest error of a correct clock, and largest delay of its report. */
    private static final long NEAR = 4 * SECOND;
    private static final long LATE = 3 * SECOND;

    /** While most clocks are correct, the own one or not, the time used is close to the correct one. */
    @Property(seed = "8", tries = 3_000)
    void usesACorrectTimeWhileMostClocksAreCorrect(@ForAll @IntRange(min = 3, max = 300) int members,
            @ForAll @IntRange(max = 149) int wrong, @ForAll boolean ownWrong, @ForAll long seed) {
        int wrongClocks = Math.min(wrong, (members - 1) / 2);
        var random = new Random(seed);
        boolean ownIsWrong = ownWrong && wrongClocks > 0;
        var reported = new ArrayList<MemberClock>();
        for (int i = 1; i < members; i++) {
            boolean isWrong = i <= wrongClocks - (ownIsWrong ? 1 : 0);
            long at = NOW - random.nextInt(20) * SECOND;
            long off = isWrong ? (random.nextLong(20_000) - 10_000) * SECOND
                    : random.nextLong(2 * NEAR) - NEAR;
            reported.add(new MemberClock("m" + i, WALL + at - NOW + off - random.nextLong(LATE), at));
        }
        long own = WALL + (ownIsWrong ? (random.nextLong(20_000) - 10_000) * SECOND
                : random.nextLong(2 * NEAR) - NEAR);
        var clocks = new FleetClock();
        clocks.update(reported);
        long effective = clocks.effectiveWallTime(NOW, own);
        assertTrue(Math.abs(effective - WALL) <= FleetClock.MAX_OFFSET + NEAR + LATE,
                (effective - WALL) / SECOND + " s off");
        assertTrue(clocks.overruled() || effective == own);
        // A clock within the bound of all correct clocks is not overruled.
        assertTrue(ownIsWrong || !clocks.overruled() || FleetClock.MAX_OFFSET < 2 * NEAR + LATE);
        assertEquals(own, new FleetClock().effectiveWallTime(NOW, own), "a single member uses its own clock");
        clocks.update(List.of(reported.get(0)));
        assertEquals(own, clocks.effectiveWallTime(NOW, own), "two have no majority");
    }
}
