package ryemast.lab.books;

import java.util.function.Consumer;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.scenario.Scenario;

/**
 * Every try that a live dispatcher has taken (its last byte was written to a connection that was up) is
 * answered once and whole, no later than the grace and 50 ms after the client's time was up; a 200 bears the
 * result that a box made for this very try.
 *
 * <p>Nothing is owed to a client that went away before that, nor by a dispatcher that the scenario killed
 * outright. One that was told to end owes an answer to all it has taken if it ends by itself; if it is killed
 * after that, to what came more than 0.7 s after it was told. Where a dispatcher died by itself, that is the
 * breach, not each try that died with it. While the scenario lets a dispatcher stand still, its time stands.
 */
final class OneAnswer implements Law {

    /** What came later than this after SIGTERM is owed an answer even if SIGKILL comes. */
    private static final long TAKEN_WHILE_ENDING = 700_000;
    /** A connection's end and its process's end are seen by different eyes, so far apart at most. */
    private static final long NOTICED_APART = 1_000_000;

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        Lives lives = new Lives(history);
        for (JobStory job : history.jobs()) {
            for (TryStory story : job.tries()) {
                if (story.answer() != null || !story.asked().isEmpty()) {
                    judge(scenario, history, lives, story, broken);
                }
            }
        }
    }

    private static void judge(Scenario scenario, History history, Lives lives, TryStory story,
            Consumer<Breach> broken) {
        TryStory.Asked asked = story.lastAsked();
        long dueAt = story.sentTry().until() + scenario.rules().graceToAnswer() + Rule.SLACK;
        if (asked != null) {
            dueAt = lives.standing(asked.dispatcher(), asked.at(), dueAt);
        }
        if (story.answer() != null) {
            answered(story, dueAt, broken);
            return;
        }
        long endedAt = story.endedAt() == Attempt.NEVER ? history.endedAt() : story.endedAt();
        boolean left = story.leftAt() < story.brokeAt();
        if (left && story.leftAt() < dueAt || story.brokeAt() != Attempt.NEVER && !story.sent()) {
            return;
        }
        Lives.Life life = lives.at(asked.dispatcher(), asked.at());
        if (life.until() <= Math.min(endedAt + NOTICED_APART, dueAt)) {
            endedWith(story, life, broken);
        } else if (story.brokeAt() < dueAt) {
            broken.accept(breach(story, story.brokeAt(), "its connection ended without a whole answer"));
        } else if (endedAt >= dueAt) {
            broken.accept(breach(story, dueAt, "there was no answer when its time and the grace were over"));
        }
    }

    private static void answered(TryStory story, long dueAt, Consumer<Breach> broken) {
        TryStory.Answer answer = story.answer();
        if (story.answers() > 1) {
            broken.accept(breach(story, answer.at(), "it was answered " + story.answers() + " times"));
        } else if (story.outcome() == TryStory.Outcome.SERVED && story.servedBy() == null) {
            boolean done = story.attempts().stream().anyMatch(Attempt::done);
            broken.accept(breach(story, answer.at(), done ? "its answer is not the result that the box made"
                    : "it was answered 200 though no box had made a result for it"));
        } else if (story.servedBy() != null
                && story.servedBy().endedAt() > answer.at() + Rule.STAMPS_APART) {
            broken.accept(breach(story, answer.at(), "it was answered 200 before a box had made its result"));
        } else if (answer.at() > dueAt) {
            broken.accept(breach(story, answer.at(), "its answer came %d ms after the last moment"
                    .formatted((answer.at() - dueAt) / 1_000)));
        }
    }

    /** Its dispatcher's process had ended before anything came of it. */
    private static void endedWith(TryStory story, Lives.Life life, Consumer<Breach> broken) {
        long askedAt = story.lastAsked().at();
        if (askedAt >= life.until() || life.end() == DispatcherState.DIED) {
            return;
        }
        if (life.end() == DispatcherState.ENDED) {
            broken.accept(breach(story, life.until(), "its dispatcher was told to end and did so without "
                    + "answering it"));
        } else if (life.toldAt() != Attempt.NEVER && askedAt > life.toldAt() + TAKEN_WHILE_ENDING) {
            broken.accept(breach(story, life.until(),
                    "it was taken %d ms after its dispatcher was told to end, "
                    .formatted((askedAt - life.toldAt()) / 1_000) + "and not answered before it was killed"));
        }
    }

    private static Breach breach(TryStory story, long at, String what) {
        int dispatcher = story.asked().isEmpty() ? -1 : story.lastAsked().dispatcher();
        return new Breach(Rule.ONE_ANSWER, at, story.txn(), -1, dispatcher,
                "Request " + story.txn() + " was lost: " + what + ".");
    }
}
