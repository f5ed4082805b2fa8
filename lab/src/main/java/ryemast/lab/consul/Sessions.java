package ryemast.lab.consul;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import ryemast.lab.world.Timeline;

/**
 * Sessions, which hold keys' locks. Guarantees that a session with a time to live ends no sooner than that
 * after it was last renewed and before twice as long, and that keys it held are released or deleted in the
 * step that ends it; for its lock delay nobody can lock them then, whether it lapsed or was destroyed (the
 * pages count both as invalidations; a release in order is none). Deterministic in the time of its timeline;
 * one thread.
 */
final class Sessions {

    /** The pages promise one to two times to live; tests move it within that. */
    private static final double USUAL_LAPSE = 1.5;

    /**
     * Times in microseconds; {@code timeToLive}: 0 for one that lasts until it is destroyed.
     *
     * @param deletes  what it held goes with it, else is released
     */
    record Session(String id, String name, String node, long timeToLive, String timeText, long lockDelay,
            boolean deletes, List<String> nodeChecks, long createIndex) {
    }

    private final ConsulState state;
    private final KeyValues keys;
    private final Map<String, Session> all = new TreeMap<>();
    private final Map<String, Timeline.Timer> lapses = new HashMap<>();
    /** By key, until when it can't be locked. */
    private final Map<String, Long> delayed = new HashMap<>();
    private double lapse = USUAL_LAPSE;
    private long index;
    private long made;

    Sessions(ConsulState state, KeyValues keys) {
        this.state = state;
        this.keys = keys;
        index = state.index();
    }

    /** At how many times to live a session ends that is not renewed: 1 to 2. */
    void lapseAt(double times) {
        if (!(times >= 1 && times <= 2)) {
            throw new IllegalArgumentException("sessions end at 1 to 2 times their time to live, not "
                    + times);
        }
        lapse = times;
    }

    Collection<Session> all() {
        return all.values();
    }

    /** Null: there is none. */
    Session get(String id) {
        return all.get(id);
    }

    /** Of the last that was made or ended. */
    long index() {
        return index;
    }

    /** Whether a key can't be locked yet, as the session that held it was ended a short while ago. */
    boolean isDelayed(String key) {
        var until = delayed.get(key);
        if (until != null && until <= state.time().now()) {
            delayed.remove(key);
        }
        return delayed.containsKey(key);
    }

    /** What a new one is to be; its identity and index come with {@link #create}. */
    Session create(Session wanted) {
        long at = state.index() + 1;
        var id = UUID.nameUUIDFromBytes(("session-" + made++).getBytes(StandardCharsets.US_ASCII)).toString();
        var session = new Session(id, wanted.name, wanted.node, wanted.timeToLive, wanted.timeText,
                wanted.lockDelay, wanted.deletes, wanted.nodeChecks, at);
        all.put(id, session);
        index = at;
        keep(session);
        state.reached(at);
        return session;
    }

    /** Null where there is none. */
    Session renew(String id) {
        var session = all.get(id);
        if (session != null) {
            keep(session);
        }
        return session;
    }

    void destroy(String id) {
        var session = all.get(id);
        if (session != null) {
            end(session);
        }
    }

    private void keep(Session session) {
        var former = lapses.remove(session.id);
        if (former != null) {
            former.cancel();
        }
        if (session.timeToLive > 0) {
            lapses.put(session.id, state.time().at(
                    state.time().now() + (long) (session.timeToLive * lapse), () -> end(session)));
        }
    }

    private void end(Session session) {
        var timer = lapses.remove(session.id);
        if (timer != null) {
            timer.cancel();
        }
        state.together(() -> {
            long at = state.index() + 1;
            all.remove(session.id);
            index = at;
            keys.together(() -> {
                for (var each : List.copyOf(keys.under(""))) {
                    if (each.session().equals(session.id)) {
                        letGo(session, each);
                    }
                }
                return true;
            });
            state.reached(at);
        });
    }

    private void letGo(Session session, KeyValues.Entry held) {
        if (session.deletes) {
            keys.delete(held.key());
        } else {
            keys.unlock(held.key(), held.value(), held.flags(), session.id);
        }
        if (session.lockDelay > 0) {
            delayed.put(held.key(), state.time().now() + session.lockDelay);
        }
    }

    /** As when another server leads: it gives every session its whole time again, and knows no delays. */
    void newLeader() {
        delayed.clear();
        all.values().forEach(this::keep);
    }

    List<Session> copy() {
        return List.copyOf(all.values());
    }

    /** Becomes what it was; times begin anew. */
    void restore(List<Session> former, long at) {
        lapses.values().forEach(Timeline.Timer::cancel);
        lapses.clear();
        delayed.clear();
        all.clear();
        former.forEach(each -> all.put(each.id, each));
        all.values().forEach(this::keep);
        index = at;
    }
}
