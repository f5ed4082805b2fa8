package ryemast.lab.books;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ryemast.lab.books.Tale.FREE;
import static ryemast.lab.books.Tale.ONCE;
import static ryemast.lab.books.Tale.WORK;
import static ryemast.lab.books.Tale.result;

import org.junit.jupiter.api.Test;
import ryemast.lab.books.Books.End;

/** The measure against numbers worked by hand. */
class ServiceMeasureTest {

    private static final double EXACT = 1e-12;

    private final Tale tale = new Tale();

    @Test
    void theFourSharesAreMixedAndThePricesComeOff() {
        // Worth: free 3 x 0.1 s, once 5 x 0.1 s; in time within 150 + 2 x 100 ms.
        tale.served("a", FREE, 0).served("b", ONCE, 500);
        tale.ask("late", FREE, 1_000);
        tale.runs("late", 1, 1_005).told("late", 1_400, 200, result("late", 1));
        tale.ask("refused", ONCE, 2_000);
        tale.told("refused", 2_010, 503, "");
        tale.ask("failed", FREE, 3_000);
        tale.runs("failed", 2, 3_005).told("failed", 3_400, 500, "");
        ServiceMeasure measure = tale.service();
        // Asked 3 + 5 + 3 + 5 + 3 = 19, earned 3 + 5 + 3 x 0.5 = 9.5, each times 0.1 s.
        assertEquals(1.9, measure.worthAsked(), EXACT);
        assertEquals(0.5, measure.whole(), EXACT);
        assertEquals(0.5, measure.worstWindow(), EXACT);
        assertEquals(0.5, measure.worstClass(), EXACT, "free: 4.5 of 9; once: 5 of 10");
        assertEquals(0.5, measure.worstTenant(), EXACT, "no tenants: the whole run");
        assertEquals(3.0 / 19, measure.lateFail(), EXACT, "the refusal came before its aim had passed");
        assertEquals(0.2, measure.waste(), EXACT, "one run in five jobs served nobody");
        assertEquals(0.5 - 0.03 * 3 / 19 - 0.02 * 0.2, measure.service(), EXACT);
    }

    @Test
    void anAnswerIsInTimeUntilAimAndStretchHavePassedSinceTheFirstTry() {
        Job job = tale.ask("x", FREE, 0);
        tale.told("x", 10, 503, "").again("x2", job, 1, 200);
        tale.runs("x2", 0, 205).told("x2", 350, 200, result("x2", 0));
        assertEquals(1, tale.service().whole(), EXACT);
        job = tale.ask("y", FREE, 0);
        tale.told("y", 10, 503, "").again("y2", job, 1, 200);
        tale.runs("y2", 0, 205).told("y2", 351, 200, result("y2", 0));
        assertEquals(0.75, tale.service().whole(), EXACT, "late worth is half");
    }

    @Test
    void theWorstWindowSlidesAcrossTheRun() {
        for (int second = 0; second <= 30; second++) {
            if (second >= 8 && second < 18) {
                tale.ask("x" + second, FREE, second * 1_000L);
            } else {
                tale.served("x" + second, FREE, second * 1_000L);
            }
        }
        assertEquals(0, tale.service().worstWindow(), EXACT, "seconds 8 to 17 are one window");
        assertEquals(21.0 / 31, tale.service().whole(), EXACT);
    }

    @Test
    void whatIsOverATenantsShareIsWorthLittleAndNotThatTenantsService() {
        tale.tenant("small", 2).tenant("other", 0);
        // Two tokens at 0; a third at 500 ms; the second job at 500 finds none.
        long[] at = {0, 0, 500, 500};
        for (int i = 0; i < at.length; i++) {
            tale.again("x" + i, tale.job(FREE, 0, WORK, at[i]), 0, at[i]);
            if (i != 1) {
                tale.runs("x" + i, 0, at[i] + 5).told("x" + i, at[i] + 110, 200, result("x" + i, 0));
            }
        }
        ServiceMeasure measure = tale.service();
        assertEquals(2.0 / 3, measure.worstTenant(), EXACT, "nothing was asked by the other one");
        assertEquals(2.1 / 3.1, measure.whole(), EXACT);
    }

    @Test
    void workThatACopyDidIsWasted() {
        tale.ask("x", FREE, 0);
        tale.runs("x", 0, 5).arrives("x", 1, 50).begins("x", 1, 50).ends("x", 1, 110, End.CANCELLED, WORK / 2)
                .told("x", 110, 200, result("x", 0));
        assertEquals(0.5, tale.service().waste(), EXACT);
    }

    @Test
    void withoutJobsAllIsZeroAndAnEmptyClassDoesNotCount() {
        ServiceMeasure none = tale.service();
        assertEquals(new ServiceMeasure(0, 0, 0, 0, 0, 0, 0, 0, 0), none);
        tale.served("x", FREE, 0);
        assertEquals(1, tale.service().service(), EXACT);
    }
}
