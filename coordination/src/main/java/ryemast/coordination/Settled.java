package ryemast.coordination;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ryemast.coordination.Coordination.Entry;
import ryemast.coordination.Coordination.Fate;
import ryemast.coordination.Coordination.Result;
import ryemast.core.Loop;

/**
 * Carries a step to a certain end although answers get lost. Where it may have taken effect, the same step is
 * said again with the same versions; where that meets other versions, the records are read for certain, and
 * held against what the step would have left.
 *
 * <p>Why this is right. A version that a record has left never comes back. So of all the times that a step is
 * said, late ones among them, at most one takes effect, as that one moves what the others rest on; and once
 * one of them meets a record that has moved on, none can take effect any more. After that:
 *
 * <ul>
 * <li>a record that holds, at another version than required, exactly what the step puts there: it took
 *     effect. This asks of the caller that the value carries the writer's own mark (a name with an
 *     incarnation and a count, say), so that nobody else writes the same;
 * <li>a record that the step would have changed and that is still at the version that it required: it did
 *     not, and won't;
 * <li>neither, as others have written or removed all of the step's records since, or the step only removes:
 *     this can't tell, and says so ({@link Fate#UNKNOWN}). What the records hold now is the caller's to read.
 * </ul>
 *
 * <p>It also asks that a record which the step makes anew is not removed again before the step's deadline,
 * and while a late call may still arrive: absence is the one version that comes back. Records that are
 * removed only long after they have ended, as fires are, keep to that.
 *
 * <p>After the deadline nothing more is said, and the end is told as unknown if it was until then. Owned by
 * the loop; pure but for the pauses, whose jitter comes from a seed.
 */
public final class Settled {

    private static final long FIRST_PAUSE = 50_000;
    private static final long MOST_PAUSE = 1_000_000;

    private final Loop loop;
    private final Coordination records;
    private final SplittableRandom random;

    public Settled(Loop loop, Coordination records, long seed) {
        this.loop = loop;
        this.records = records;
        random = new SplittableRandom(seed);
    }

    /**
     * As {@link Coordination#commit}, by a deadline on the loop's clock. Where the end was found by reading,
     * the versions told of records that others have changed since are those required, so that what rests on
     * them fails.
     */
    public void commit(Step step, long deadline, Consumer<Result> then) {
        new Case(step, deadline, then).say();
    }

    private final class Case {
        private final Step step;
        private final Consumer<Result> then;
        private final long deadline;
        private final Runnable limit;
        private final Entry[] found;
        private boolean mayHaveHappened;
        private boolean ended;
        private long pause = FIRST_PAUSE;
        private String last = "";

        Case(Step step, long deadline, Consumer<Result> then) {
            this.step = step;
            this.then = then;
            this.deadline = deadline;
            found = new Entry[step.changes().size()];
            // The first time has a limit of its own, and tells at least whether it was sent.
            limit = loop.at(deadline, () -> {
                if (mayHaveHappened) {
                    end(Fate.UNKNOWN, List.of(), last);
                }
            });
        }

        private void end(Fate fate, List<Long> versions, String why) {
            if (!ended) {
                ended = true;
                limit.run();
                then.accept(new Result(fate, versions, why));
            }
        }

        void say() {
            if (!ended) {
                records.commit(step, this::heard);
            }
        }

        private void heard(Result result) {
            if (ended) {
                return;
            }
            if (result.fate() == Fate.DONE || !mayHaveHappened && result.fate() != Fate.UNKNOWN) {
                end(result.fate(), result.versions(), result.why());
            } else if (result.fate() == Fate.CONFLICT) {
                last = result.why();
                look(0);
            } else {
                mayHaveHappened = true;
                last = result.why();
                later(this::say);
            }
        }

        /** With full jitter, so that those who lost the same server do not come back together. */
        private void later(Runnable next) {
            long at = loop.now() + 1 + random.nextLong(pause);
            pause = Math.min(MOST_PAUSE, 2 * pause);
            if (at >= deadline) {
                end(Fate.UNKNOWN, List.of(), last);
            } else {
                loop.at(at, next);
            }
        }

        /** Reads the records that the step would change, from that one on. */
        private void look(int from) {
            int at = from;
            while (at < found.length && step.changes().get(at).kind() == Step.Kind.REQUIRE) {
                at++;
            }
            if (ended) {
                return;
            }
            if (at == found.length) {
                judge();
                return;
            }
            int here = at;
            records.read(step.changes().get(here).key(), true, reading -> {
                if (reading.good()) {
                    found[here] = reading.only();
                    look(here + 1);
                } else {
                    last = reading.why();
                    later(() -> look(here));
                }
            });
        }

        private void judge() {
            var versions = new ArrayList<Long>();
            boolean ours = false;
            boolean untouched = false;
            for (int i = 0; i < found.length; i++) {
                var change = step.changes().get(i);
                long version = found[i] == null ? Coordination.ABSENT : found[i].version();
                boolean moved = version != change.version();
                boolean same = found[i] != null && change.kind() == Step.Kind.PUT
                        && Arrays.equals(found[i].value(), change.value());
                versions.add(same ? version : change.version());
                ours |= same && moved;
                // What held the same already may keep its version, and tells nothing.
                untouched |= change.kind() != Step.Kind.REQUIRE && !moved && !same;
            }
            if (ours) {
                end(Fate.DONE, List.copyOf(versions), null);
            } else if (untouched) {
                end(Fate.CONFLICT, List.of(), last);
            } else {
                end(Fate.UNKNOWN, List.of(), "the records have been changed by others since: " + last);
            }
        }
    }
}
