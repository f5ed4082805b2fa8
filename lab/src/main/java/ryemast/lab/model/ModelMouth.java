package ryemast.lab.model;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import ryemast.core.CallBack;
import ryemast.lab.site.Mouth;
import ryemast.lab.site.Patience;
import ryemast.lab.world.VirtualTime;
import ryemast.net.client.CallBackReader;

/**
 * Carries call-backs to the dispatchers, with the patience of the emulated boxes: one that is not answered in
 * time, or whose dispatcher is gone, counts as not answered.
 */
final class ModelMouth {

    private static final int HEARD = 200;

    private final VirtualTime time;
    private final List<Host> hosts;
    private final ModelNet net;
    /** Those that are out, the oldest first. */
    private final Set<Post> out = new LinkedHashSet<>();
    private boolean sweeping;

    ModelMouth(VirtualTime time, List<Host> hosts, ModelNet net) {
        this.time = time;
        this.hosts = hosts;
        this.net = net;
    }

    Mouth of(int box) {
        var party = net.party("call-backs", box);
        return (dispatcher, json, answered) -> new Post(party, hosts.get(dispatcher), answered).go(json);
    }

    /** A dispatcher's process is gone, and what it had not answered with it. */
    void died(Host host) {
        List.copyOf(out).stream().filter(post -> post.host == host && post.arrived)
                .forEach(post -> post.answer(0));
    }

    private void sweep() {
        long now = time.now();
        for (Iterator<Post> each = out.iterator(); each.hasNext();) {
            var post = each.next();
            if (post.until > now) {
                break;
            }
            each.remove();
            time.at(now, () -> post.done(0));
        }
        sweeping = !out.isEmpty();
        if (sweeping) {
            time.at(now + Patience.CALL_BACK_SWEEP, this::sweep);
        }
    }

    private final class Post {
        private final ModelNet.Party party;
        private final Host host;
        private final IntConsumer answered;
        private final long until = time.now() + Patience.CALL_BACK;
        private boolean arrived;
        private boolean over;

        Post(ModelNet.Party party, Host host, IntConsumer answered) {
            this.party = party;
            this.host = host;
            this.answered = answered;
        }

        void go(String json) {
            out.add(this);
            if (!sweeping) {
                sweeping = true;
                time.at(time.now() + Patience.CALL_BACK_SWEEP, ModelMouth.this::sweep);
            }
            party.send(0, () -> {
                var instance = host.instance();
                if (instance == null) {
                    answer(0);
                    return;
                }
                arrived = true;
                instance.receive(at -> {
                    instance.exchange().calledBack(read(json));
                    party.send(instance.leavesAt(), () -> done(HEARD));
                });
            });
        }

        private CallBack read(String json) {
            try {
                return CallBackReader.read(json.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new IllegalStateException("a box's own words can't be read: " + json, e);
            }
        }

        private void answer(int status) {
            party.send(0, () -> done(status));
        }

        private void done(int status) {
            if (!over) {
                over = true;
                out.remove(this);
                answered.accept(status);
            }
        }
    }
}
