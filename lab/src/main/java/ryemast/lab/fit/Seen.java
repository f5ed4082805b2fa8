package ryemast.lab.fit;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;

/**
 * What recordings say, put together: every job with its attempts, every box with what was listed of it. Times
 * are microseconds since the first recording began; a time that never came is {@link #NEVER}.
 *
 * @param began     Unix microseconds at time 0
 * @param length    until the last entry
 * @param jobs      requests in the order in which they came, a client's further tries among them
 * @param settings  as the platform gave them to the first dispatcher
 * @param sources   how many recordings
 * @param dropped   records that the dispatchers' disks could not keep up with
 * @param warnings  what a reader should know before believing any of it
 */
record Seen(long began, long length, List<Request> jobs, List<Box> boxes, JsonObject settings, int sources,
        long dropped, List<String> warnings) {

    static final long NEVER = Long.MAX_VALUE;

    /** One request, from its arrival on; filled while a recording is read. */
    static final class Request {
        final int source;
        final long at;
        final int jobClass;
        final int tenant;
        final double slots;
        final double memory;
        final long hint;
        final long timeLeft;
        final List<Attempt> attempts = new ArrayList<>(1);
        Answer answer;
        long answeredAt = NEVER;
        long retryAfter;
        /** The client's next try of the same job, or null. */
        Request next;
        /** Its number among the tries of its job, from 0. */
        int tryNumber;
        /** The first try of its job, itself where it is that. */
        Request first = this;

        Request(int source, long at, int jobClass, int tenant, double slots, double memory, long hint,
                long timeLeft) {
            this.source = source;
            this.at = at;
            this.jobClass = jobClass;
            this.tenant = tenant;
            this.slots = slots;
            this.memory = memory;
            this.hint = hint;
            this.timeLeft = timeLeft;
        }

        long deadline() {
            return at + timeLeft;
        }

        boolean served() {
            return answer == Answer.SERVED;
        }
    }

    /** One attempt at a box. */
    static final class Attempt {
        final Request job;
        final int number;
        final Box box;
        final long sentAt;
        long acceptedAt = NEVER;
        long startedAt = NEVER;
        long endedAt = NEVER;
        /** Null: still out when the recording ended. */
        Outcome outcome;
        /** The mean number of jobs that ran beside it, itself included; 0: not known. */
        double crowd;

        Attempt(Request job, int number, Box box, long sentAt) {
            this.job = job;
            this.number = number;
            this.box = box;
            this.sentAt = sentAt;
        }

        boolean started() {
            return startedAt != NEVER;
        }

        /** How long it ran, as far as was seen: to its end, or to the recording's. */
        long ran(long until) {
            return Math.max(1, Math.min(endedAt, until) - startedAt);
        }

        boolean done() {
            return outcome == Outcome.SUCCESS;
        }

        /** Whether the box has run it to an end of its own. */
        boolean ended() {
            return outcome == Outcome.SUCCESS || outcome == Outcome.ERROR;
        }
    }

    /** What the list said of a box at one time. */
    record Listing(long at, WorkerState state, long startedAt) {
    }

    /** One box; {@code attempts} in the order in which they were sent. */
    static final class Box {
        final int number;
        final int kind;
        final int zone;
        final int cell;
        final double weight;
        final List<Listing> listings = new ArrayList<>();
        final List<Attempt> attempts = new ArrayList<>();

        Box(int number, int kind, int zone, int cell, double weight) {
            this.number = number;
            this.kind = kind;
            this.zone = zone;
            this.cell = cell;
            this.weight = weight;
        }

        /** Its last start that had happened by then, {@link Long#MIN_VALUE}: long ago. */
        long startedBy(long at) {
            long started = Long.MIN_VALUE;
            for (var each : listings) {
                if (each.startedAt <= at && each.startedAt > started) {
                    started = each.startedAt;
                }
            }
            return started;
        }
    }

    /** First tries, each of a job of its own. */
    List<Request> firstTries() {
        return jobs.stream().filter(each -> each.tryNumber == 0).toList();
    }
}
