package ryemast.lab.books;

import java.util.function.Consumer;
import ryemast.lab.scenario.Scenario;

/**
 * Every request at a box bears a name that a client had used, and the body that this client had sent, where
 * both sides wrote down what it was. A request without a name breaks nothing: a box answers it 404.
 */
final class NoStrangers implements Law {

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        for (History.Stranger stranger : history.strangers()) {
            if (stranger.txn() != null) {
                broken.accept(new Breach(Rule.STRANGER, stranger.at(), stranger.txn(), stranger.box(),
                        stranger.dispatcher(), "Box %s got a request named '%s', which no client has sent."
                        .formatted(scenario.boxes().get(stranger.box()).id(), stranger.txn())));
            }
        }
        for (JobStory job : history.jobs()) {
            job.tries().forEach(story -> bodies(scenario, story, broken));
        }
    }

    private static void bodies(Scenario scenario, TryStory story, Consumer<Breach> broken) {
        for (Attempt attempt : story.attempts()) {
            boolean known = attempt.body() != Fingerprint.UNKNOWN && !story.asked().isEmpty()
                    && story.asked().stream().noneMatch(asked -> asked.body() == Fingerprint.UNKNOWN);
            if (known && story.asked().stream().noneMatch(asked -> asked.body() == attempt.body())) {
                broken.accept(new Breach(Rule.STRANGER, attempt.at(), story.txn(), attempt.box(),
                        attempt.dispatcher(),
                        "Box %s got request %s with a body that its client has not sent."
                        .formatted(scenario.boxes().get(attempt.box()).id(), story.txn())));
            }
        }
    }
}
