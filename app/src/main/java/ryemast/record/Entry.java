package ryemast.record;

import java.util.List;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;

/**
 * One thing that a recording tells. Jobs go by a number that the dispatcher gave them, workers by the order
 * in which the recording first names them; what they are called is told once, as a keyed hash whose key
 * nobody has. Times are microseconds of Unix time on a clock that never steps back.
 */
public sealed interface Entry {

    /** When the dispatcher saw it. */
    long at();

    /**
     * Begins each file of a recording.
     *
     * @param format      of the file
     * @param recording   the same in all files of one recording, unlike any other
     * @param part        the file's number, from 1
     * @param dispatcher  its name
     * @param program     its version
     * @param settings    as the platform gave them, JSON
     */
    record Header(long at, int format, String recording, int part, String dispatcher, String program,
            String settings) implements Entry { }

    /** A job is taken in; {@code hint}: what its client thinks it costs, 0: nothing was said. */
    record Taken(long at, long job, long nameHash, int jobClass, int tenant, double slots, double memory,
            long hint, long timeLeft) implements Entry { }

    /** A job is refused at the door, as too many are open. */
    record TurnedAway(long at, long nameHash, int jobClass, int tenant, double slots, double memory,
            long hint, long timeLeft) implements Entry { }

    record Sent(long at, long job, int attempt, int worker, long waitsFor) implements Entry { }

    record Accepted(long at, long job, int attempt) implements Entry { }

    record Started(long at, long job, int attempt) implements Entry { }

    record Progressed(long at, long job, int attempt, double share) implements Entry { }

    record Ended(long at, long job, int attempt, Outcome outcome) implements Entry { }

    record Answered(long at, long job, Answer answer, long retryAfter) implements Entry { }

    /** What the service table says. */
    record Listed(long at, ListKind kind, List<Worker> workers) implements Entry { }

    record Worker(int number, long nameHash, WorkerState state, int kind, int zone, int cell, double weight,
            long startedAt) { }

    /** So many things were not recorded shortly before, as the disk could not keep up. */
    record Dropped(long at, long count) implements Entry { }

    /** The recording was ended in order: nothing after this is missing. */
    record Stopped(long at) implements Entry { }
}
