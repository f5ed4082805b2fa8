package ryemast.lab.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class PairedTest {

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L);
    private final ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);

    /** Heavy on one side, as when a few sites go badly wrong for one arm alone: mean 0.005, skewness 6. */
    private double heavy() {
        return 0.005 / Math.exp(0.5) * Math.exp(normal.sample());
    }

    @Test
    void aHandWorkedCase() {
        var paired = Paired.of(new double[] {1, 2, 3, 4});
        assertEquals(2.5, paired.mean());
        assertEquals(1.2910, paired.deviation(), 1e-4);
        // Student's 97.5% with three degrees of freedom is 3.1824.
        assertEquals(2.5 - 3.1824 * 1.2910 / 2, paired.tLow(), 1e-3);
        assertEquals(1, paired.wins());
        assertTrue(paired.bootLow() < 1.5 && paired.bootHigh() > 3.5, paired.toString());
        var alike = Paired.of(new double[8]);
        assertEquals("0.0 0.0 0.5", alike.low() + " " + alike.high() + " " + alike.chance());
    }

    @Test
    void theWiderIntervalIsNotTooNarrowForHeavyTails() {
        int held = 0;
        int byT = 0;
        int trials = 1_000;
        for (int i = 0; i < trials; i++) {
            var values = new double[32];
            Arrays.setAll(values, j -> heavy());
            var paired = Paired.of(values);
            held += paired.low() <= 0.005 && paired.high() >= 0.005 ? 1 : 0;
            byT += paired.tLow() <= 0.005 && paired.tHigh() >= 0.005 ? 1 : 0;
        }
        System.out.println("heavy tails, 32 runs: wider " + held + ", t " + byT + " of " + trials);
        assertTrue(held >= 920, held + " of " + trials + ", t alone " + byT);
    }

    @Test
    void looksSpendTheErrorAsTheyShould() {
        assertEquals(List.of(8, 16, 32, 64), new Looks(64).runs());
        assertEquals(List.of(8, 16, 32, 50), new Looks(50).runs());
        assertEquals(List.of(5), new Looks(5).runs());
        assertEquals(0.05, new Looks(5).nominal(0), 1e-6);
        // The first look's level is all that it may spend: an eighth of 5%.
        assertEquals(0.05 / 8, new Looks(64).nominal(0), 1e-6);
    }

    /**
     * Look by look as a comparison goes, on differences that are none: alarms at the stated rate, not more.
     */
    @Test
    void falseAlarmsOverAllLooksStayAtTheirRate() {
        for (boolean heavyTails : new boolean[] {false, true}) {
            var looks = new Looks(64);
            int alarms = 0;
            int trials = 2_000;
            for (int i = 0; i < trials; i++) {
                var values = new double[64];
                Arrays.setAll(values, j -> heavyTails ? heavy() - heavy() : 0.01 * normal.sample());
                alarms += alarm(values, looks) ? 1 : 0;
            }
            System.out.println("false alarms, heavy tails " + heavyTails + ": " + alarms + " of " + trials);
            assertTrue(alarms <= 0.06 * trials && alarms >= 0.015 * trials, alarms + " of " + trials);
        }
    }

    private static boolean alarm(double[] values, Looks looks) {
        for (int look = 0; look < looks.runs().size(); look++) {
            int count = looks.runs().get(look);
            var verdict = Verdict.of(Paired.of(Arrays.copyOf(values, count)), looks.quantile(look, count), 0);
            if (verdict.settled()) {
                return true;
            }
        }
        return false;
    }

    @Test
    void smallDifferencesAreCalledAlikeAndUndecidedOnesSayHowManyMore() {
        var looks = new Looks(16);
        var tiny = new double[16];
        Arrays.setAll(tiny, i -> 0.0002 + 0.0001 * normal.sample());
        assertEquals(Verdict.Word.ALIKE, Verdict.of(Paired.of(tiny), looks.quantile(1, 16), 0.001).word());
        var wide = new double[16];
        Arrays.setAll(wide, i -> 0.01 + 0.04 * (i % 2 == 0 ? 1 : -1));
        var verdict = Verdict.of(Paired.of(wide), looks.quantile(1, 16), 0.001);
        assertEquals(Verdict.Word.UNDECIDED, verdict.word());
        // (2.8016 * 0.04131 / 0.01)^2 = 133.9 runs in all.
        assertEquals(134 - 16, verdict.more());
    }
}
