package ryemast.lab.site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.world.Timeline;

/**
 * The connections to a box: no more than it holds at once; one that rests for as long as the box allows is
 * closed, and the first request on a new one is seen only after the handshake.
 *
 * <p>One timer stands for each connection and looks again later if the connection has been used meanwhile,
 * so that a request costs none.
 */
final class Contacts {

    private final BoxSpec spec;
    private final Timeline time;
    private final Map<Visit, Contact> open = new LinkedHashMap<>();

    Contacts(BoxSpec spec, Timeline time) {
        this.spec = spec;
        this.time = time;
    }

    /** False: there are too many. */
    boolean open(Visit visit) {
        if (open.size() >= spec.connections()) {
            return false;
        }
        var contact = new Contact(visit, time.now());
        open.put(visit, contact);
        contact.lookLater();
        return true;
    }

    /** Null for one that is not open here, or no longer. */
    Contact find(Visit visit) {
        return open.get(visit);
    }

    /** Forgets a connection that has ended; null if it is not here. */
    Contact forget(Visit visit) {
        var contact = open.remove(visit);
        if (contact != null) {
            contact.stop();
        }
        return contact;
    }

    /** Forgets all, in the order in which they came. */
    List<Contact> forgetAll() {
        var all = new ArrayList<>(open.values());
        open.clear();
        all.forEach(Contact::stop);
        return all;
    }

    /** All that are open; on a machine that is gone none is closed any more. */
    List<Contact> freeze() {
        var all = new ArrayList<>(open.values());
        all.forEach(Contact::stop);
        return all;
    }

    final class Contact {
        final Visit visit;
        private Timeline.Timer look;
        private Timeline.Timer seen;
        private Machine.Parcel unseen;
        private boolean fresh = true;
        private long restsSince;

        private Contact(Visit visit, long now) {
            this.visit = visit;
            restsSince = now;
        }

        long rested() {
            return time.now() - restsSince;
        }

        /** Shows a parcel to the box: at once, or after the handshake where it is the connection's first. */
        void show(Machine.Parcel parcel, Runnable box) {
            if (!fresh || spec.handshake() == 0) {
                fresh = false;
                box.run();
                return;
            }
            fresh = false;
            unseen = parcel;
            seen = time.at(time.now() + spec.handshake(), () -> {
                unseen = null;
                box.run();
            });
        }

        /** A request has been answered, so that the connection rests from now on. */
        void answered() {
            restsSince = time.now();
        }

        /** What has arrived and not been seen; it won't be. */
        Machine.Parcel takeUnseen() {
            var parcel = unseen;
            unseen = null;
            return parcel;
        }

        private void stop() {
            look.cancel();
            if (seen != null) {
                seen.cancel();
            }
        }

        private void lookLater() {
            long from = unseen == null ? restsSince : time.now();
            look = time.at(from + spec.idleLimit(), this::look);
        }

        private void look() {
            if (unseen == null && rested() >= spec.idleLimit()) {
                forget(visit);
                visit.close();
            } else {
                lookLater();
            }
        }
    }
}
