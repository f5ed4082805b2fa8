package ryemast.lab.books;

import java.util.List;
import java.util.function.Consumer;
import ryemast.lab.books.Books.Reply;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Effect;

/**
 * A try of a class that must not run twice goes to another box, and is refused, only once every attempt
 * before is proved never to have run; over all dispatchers that have had it. What proves it is what a
 * dispatcher can know by the platform's protocol: turned away, or handed back unstarted. A request that broke
 * off before its last byte had left never was at a box, so no book holds it. Everything else, from 500 over a
 * reset to silence, leaves it open, whether it truly ran or not.
 *
 * <p>For every class: no more attempts than allowed; a second copy, while an earlier attempt is neither over
 * nor given up, only where copies are allowed; and never two at one box. Other classes may be sent again and
 * refused freely here; of guarded ones the scenarios know no key or window. One breach per try is told.
 */
final class NoEffectTwice implements Law {

    @Override
    public void judge(Scenario scenario, History history, Consumer<Breach> broken) {
        for (JobStory job : history.jobs()) {
            boolean once = scenario.classes().get(job.job().jobClass()).effect() == Effect.SINGLE_SHOT;
            for (TryStory story : job.tries()) {
                Breach breach = once ? ranTwice(scenario, story) : null;
                breach = breach != null || !once ? breach : refusedThoughItRan(scenario, story);
                breach = breach != null ? breach : tooMany(scenario, story);
                breach = breach != null ? breach : copies(scenario, story);
                if (breach != null) {
                    broken.accept(breach);
                }
            }
        }
    }

    private static Breach ranTwice(Scenario scenario, TryStory story) {
        List<Attempt> attempts = story.attempts();
        for (int next = 1; next < attempts.size(); next++) {
            Attempt again = attempts.get(next);
            for (Attempt before : attempts.subList(0, next)) {
                if (before.provedUnrunAt() > again.firstByteAt() + Rule.STAMPS_APART) {
                    return breach(story, again, again.firstByteAt(), before.began() && again.began()
                            ? "ran at " + id(scenario, before) + " and again at " + id(scenario, again)
                                    + by(before, again)
                            : "was sent to " + id(scenario, again) + " though it may have run at "
                                    + id(scenario, before) + by(before, again));
                }
            }
        }
        return null;
    }

    private static Breach refusedThoughItRan(Scenario scenario, TryStory story) {
        if (story.outcome() != TryStory.Outcome.REFUSED) {
            return null;
        }
        for (Attempt attempt : story.attempts()) {
            if (attempt.provedUnrunAt() > story.answer().at() + Rule.STAMPS_APART) {
                return breach(story, attempt, story.answer().at(),
                        "was refused, which says that trying again "
                        + "is harmless, though it " + (attempt.began() ? "ran" : "may have run") + " at "
                        + id(scenario, attempt));
            }
        }
        return null;
    }

    private static Breach tooMany(Scenario scenario, TryStory story) {
        int most = scenario.rules().maxAttempts();
        if (story.attempts().size() <= most) {
            return null;
        }
        Attempt beyond = story.attempts().get(most);
        return breach(story, beyond, beyond.firstByteAt(), "was sent " + story.attempts().size()
                + " times, and " + most + " are allowed");
    }

    private static Breach copies(Scenario scenario, TryStory story) {
        List<Attempt> attempts = story.attempts();
        for (int next = 1; next < attempts.size(); next++) {
            Attempt copy = attempts.get(next);
            for (Attempt before : attempts.subList(0, next)) {
                boolean sameBox = before.box() == copy.box();
                // Two messages to a box over two connections may pass each other.
                long apart = sameBox ? Rule.SLACK : Rule.STAMPS_APART;
                boolean open = before.overAt() > copy.firstByteAt() + apart;
                if (open && (sameBox && copy.reply() == Reply.UNUSABLE || !scenario.rules().secondCopies())) {
                    return breach(story, copy, copy.firstByteAt(), "was sent to " + id(scenario, copy)
                            + " while " + (sameBox ? "that box" : id(scenario, before)) + " still had it"
                            + (sameBox ? "" : ", and second copies are not allowed"));
                }
            }
        }
        return null;
    }

    private static Breach breach(TryStory story, Attempt attempt, long at, String what) {
        return new Breach(Rule.NO_EFFECT_TWICE, at, story.txn(), attempt.box(), attempt.dispatcher(),
                "Request " + story.txn() + " " + what + ".");
    }

    /** Of one dispatcher the breach itself tells. */
    private static String by(Attempt before, Attempt again) {
        return before.dispatcher() == again.dispatcher() ? "" : ", by dispatcher " + before.dispatcher()
                + " and then " + again.dispatcher();
    }

    private static String id(Scenario scenario, Attempt attempt) {
        return scenario.boxes().get(attempt.box()).id();
    }
}
