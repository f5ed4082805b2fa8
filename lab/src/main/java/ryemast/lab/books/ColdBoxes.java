package ryemast.lab.books;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.scenario.Scenario;

/**
 * Where a cold box fell over, at least a third of the work that reached it in the fatal window, taken or not,
 * came from dispatchers that did not know of its start. Whether a box falls is the box's own doing; this
 * decides who is to blame.
 */
final class ColdBoxes implements Law {

    private static final double KNOWING = 2.0 / 3;
    /** Sums of the same work in another order may differ by so much. */
    private static final double ROUNDING = 1e-9;

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        Map<Integer, List<History.Sent>> byBox = null;
        for (Map.Entry<Integer, List<History.BoxAt>> box : history.boxes().entrySet()) {
            long startedAt = Long.MIN_VALUE;
            boolean up = false;
            for (History.BoxAt state : box.getValue()) {
                if (state.state() == BoxState.READY && !up) {
                    startedAt = state.at();
                }
                up = state.state() == BoxState.READY || state.state() == BoxState.DRAINING;
                if (state.state() == BoxState.FELL_OVER) {
                    byBox = byBox != null ? byBox : history.attempts().stream()
                            .collect(Collectors.groupingBy(sent -> sent.attempt().box()));
                    fell(scenario, history, box.getKey(), startedAt, state.at(),
                            byBox.getOrDefault(box.getKey(), List.of()), broken);
                }
            }
        }
    }

    private static void fell(Scenario scenario, History history, int box, long startedAt, long fellAt,
            List<History.Sent> sent, Consumer<Breach> broken) {
        long from = Math.max(startedAt, fellAt - scenario.rules().fallWindow());
        Map<Integer, Told> told = new HashMap<>();
        Map<Integer, Double> known = new HashMap<>();
        double all = 0;
        double knowing = 0;
        for (History.Sent one : sent) {
            Attempt attempt = one.attempt();
            if (attempt.at() < from || attempt.at() > fellAt) {
                continue;
            }
            double work = one.story().job().work();
            all += work;
            if (told.computeIfAbsent(attempt.dispatcher(), d -> new Told(history, d, box))
                    .ofStart(startedAt, attempt.firstByteAt())) {
                knowing += work;
                known.merge(attempt.dispatcher(), work, Double::sum);
            }
        }
        if (all > 0 && knowing >= all * (KNOWING - ROUNDING)) {
            int most = known.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
            broken.accept(new Breach(Rule.COLD, fellAt, null, box, most,
                    ("Cold box %s was pushed over %d ms after its start: %.0f%% of the %.0f ms of work that "
                            + "reached it in the last %d ms came from dispatchers that knew of the start.")
                            .formatted(
                            scenario.boxes().get(box).id(), (fellAt - startedAt) / 1_000, 100 * knowing / all,
                            all / 1_000, scenario.rules().fallWindow() / 1_000)));
        }
    }
}
