package ryemast.lab.consul;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import ryemast.lab.consul.ConsulApi.Refused;
import ryemast.lab.consul.ConsulApi.Reply;
import ryemast.lab.consul.ConsulFault.Kind;

/**
 * Blocking queries: one that bears an index waits until there is something beyond it, or its time is up.
 * Consul adds up to a sixteenth of the time by chance, which is left out here.
 */
final class Queries {

    private static final long USUAL_WAIT = 300_000_000;
    private static final long LONGEST_WAIT = 600_000_000;

    private final ConsulState state;

    Queries(ConsulState state) {
        this.state = state;
    }

    /** What is found at some time. */
    record Found(int status, String body) {

        static Found of(String body) {
            return new Found(200, body);
        }
    }

    /** Answers once, now or later; {@code index} may grow, and go back, while it waits. */
    void ask(ConsulCall call, Struck struck, LongSupplier index, Supplier<Found> found, Reply reply)
            throws Refused {
        long knows = call.number("index");
        long wait = wait(call);
        Runnable answer = () -> {
            var now = found.get();
            long at = Math.max(1, index.getAsLong());
            reply.answer(now.status, now.body, struck.has(Kind.EMPTY) ? at + 1 : at,
                    !struck.has(Kind.NO_LEADER));
        };
        if (knows > 0 && index.getAsLong() <= knows && !struck.has(Kind.SPINNING)) {
            state.await(index, knows, wait, answer);
        } else {
            answer.run();
        }
    }

    private static long wait(ConsulCall call) throws Refused {
        var text = call.query().getOrDefault("wait", "");
        try {
            long wait = text.isEmpty() ? 0 : Durations.micros(text);
            return wait == 0 ? USUAL_WAIT : Math.min(LONGEST_WAIT, wait);
        } catch (IllegalArgumentException e) {
            throw new Refused(400, "Invalid wait time");
        }
    }
}
