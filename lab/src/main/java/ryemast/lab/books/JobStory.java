package ryemast.lab.books;

import java.util.List;

/** A job and its tries, in order; its outcome is that of the last. */
public record JobStory(Job job, List<TryStory> tries) {

    public TryStory last() {
        return tries.get(tries.size() - 1);
    }

    public TryStory.Outcome outcome() {
        return servedAt() != Attempt.NEVER ? TryStory.Outcome.SERVED : last().outcome();
    }

    /** When the first 200 was there, {@link Attempt#NEVER} if none came. */
    public long servedAt() {
        for (TryStory story : tries) {
            if (story.outcome() == TryStory.Outcome.SERVED) {
                return story.answer().at();
            }
        }
        return Attempt.NEVER;
    }

    /** When its client had its last word, {@link Attempt#NEVER} if it still waits. */
    public long closedAt() {
        return servedAt() != Attempt.NEVER ? servedAt() : last().endedAt();
    }

    /** How often it began at a box, over all its tries. */
    public int runs() {
        int runs = 0;
        for (TryStory story : tries) {
            for (Attempt attempt : story.attempts()) {
                runs += attempt.began() ? 1 : 0;
            }
        }
        return runs;
    }
}
