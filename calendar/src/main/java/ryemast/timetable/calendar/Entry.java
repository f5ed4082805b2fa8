package ryemast.timetable.calendar;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * One entry of the timetable: what is to be sent, when, and what holds if it can't be. Immutable; bodies are
 * read-only and may be shared by entries.
 *
 * @param name      one of its own in the whole timetable
 * @param tenant    on whose account it runs
 * @param jobClass  a class of the site's settings; whether it must run once is that class's effect
 * @param body      may be empty
 * @param window    how long after its moment a fire may still start
 */
public record Entry(String name, String tenant, String jobClass, String path, ByteBuffer body,
        Schedule schedule, Duration window, Missed missed, Overlap overlap) {

    /** The array behind the body must not be changed any more. */
    public Entry {
        body = body.asReadOnlyBuffer();
    }

    /** A view of its own for each caller, from the body's beginning. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }
}
