package ryemast.lab.model.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pipitladder.Dispatcher.Request;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.model.Truth;
import ryemast.lab.model.policy.Reference.Choice;
import ryemast.lab.model.policy.Reference.Server;

/**
 * Sends each job where it will be done first, and sees for that how every box really is: its state, speed,
 * slots, queue, the work left there, and its ills. It sees neither the future nor what a job will really cost
 * beyond its hint, and sends at once: a bound for what better knowledge of the boxes can gain, not for what
 * holding jobs back could. Boxes that spoil jobs are taken only where there is no other.
 */
final class Oracle implements Choice {

    /** What is sent counts beside what a box holds until it must have arrived. */
    private static final long ON_THE_WAY = 2_000;
    /** More than any wait: boxes in this state come last. */
    private static final double LAST = 1e15;
    private static final double USUAL_WORK = 100_000;

    private record Sent(long at, double work) {
    }

    private final Truth truth;
    private final Map<String, ArrayDeque<Sent>> onTheWay = new HashMap<>();

    Oracle(Truth truth) {
        this.truth = truth;
    }

    @Override
    public Server pick(List<Server> from, Request request, long now, SplittableRandom random) {
        double work = request.costHint() > 0 ? request.costHint() : USUAL_WORK;
        var best = Choices.least(from, server -> finish(server, request.slots(), work, now), random);
        onTheWay.computeIfAbsent(best.id, id -> new ArrayDeque<>()).add(new Sent(now, work));
        return best;
    }

    private double finish(Server server, double slots, double work, long now) {
        var box = truth.of(server.id);
        if (box.state() != BoxState.READY || box.capacity() <= 0) {
            return LAST * 3;
        }
        double more = 0;
        int count = 0;
        var sent = onTheWay.get(server.id);
        if (sent != null) {
            while (!sent.isEmpty() && sent.peek().at < now - ON_THE_WAY) {
                sent.poll();
            }
            for (var each : sent) {
                more += each.work;
                count++;
            }
        }
        boolean runsAtOnce = box.free() - count >= slots;
        boolean full = !runsAtOnce && box.room() - count <= 0;
        double wait = runsAtOnce ? 0 : (box.work() + more) / box.capacity();
        return wait + work / box.lane() + (full ? LAST * 2 : 0) + (box.ill() ? LAST : 0);
    }
}
