package ryemast.lab.books;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.lab.scenario.Scenario;

/**
 * No request's first byte reaches a box later than the grace and 50 ms after its dispatcher was told, or
 * counts as told, that the box drains or is gone, until it is told that the box is ready again. The grace
 * does not run while the scenario lets the dispatcher stand still.
 */
final class NothingToDraining implements Law {

    private record Pair(int dispatcher, int box) {
    }

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        Lives lives = new Lives(history);
        Map<Pair, Told> told = new HashMap<>();
        long grace = scenario.rules().drainGrace() + Rule.SLACK;
        for (History.Sent sent : history.attempts()) {
            Attempt attempt = sent.attempt();
            long at = attempt.firstByteAt();
            long since = told.computeIfAbsent(new Pair(attempt.dispatcher(), attempt.box()),
                    pair -> new Told(history, pair.dispatcher, pair.box)).unfitSince(at);
            if (since == Attempt.NEVER) {
                continue;
            }
            long after = at - since - lives.pausedWithin(attempt.dispatcher(), since, at);
            if (after > grace) {
                broken.accept(new Breach(Rule.DRAIN, at, sent.story().txn(), attempt.box(),
                        attempt.dispatcher(), ("Request %s was sent to %s %d ms after dispatcher %d was told "
                        + "that this box drains or is gone; the grace is %d ms.").formatted(
                                sent.story().txn(), scenario.boxes().get(attempt.box()).id(), after / 1_000,
                                attempt.dispatcher(), scenario.rules().drainGrace() / 1_000)));
            }
        }
    }
}
