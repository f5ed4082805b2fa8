package ryemast.lab.model;

import java.io.IOException;
import java.util.List;
import pipitladder.Dispatcher.ListKind;
import ryemast.core.ServiceTable;
import ryemast.lab.site.Tell;
import ryemast.net.discovery.DiscoveryTuning;

/**
 * A dispatcher's watch on discovery, as {@code DiscoveryWatch} holds it: with the same patience, and with
 * each end told to the module, which decides when to ask again.
 */
final class ModelTable implements ServiceTable {

    private final Instance instance;
    private final int dispatcher;
    private final Site site;
    private final DiscoveryTuning tuning;
    private final ModelNet.Party party;
    private long version;
    private Watch watch;

    ModelTable(Instance instance, int dispatcher, Site site, DiscoveryTuning tuning) {
        this.instance = instance;
        this.dispatcher = dispatcher;
        this.site = site;
        this.tuning = tuning;
        party = site.net().party("discovery", dispatcher);
    }

    void begin(Lists.Told known) {
        follow(known, ListKind.CACHED);
    }

    @Override
    public void watch() {
        if (watch != null) {
            watch.close();
        }
        watch = new Watch();
        watch.open();
    }

    void die() {
        if (watch != null) {
            watch.close();
        }
    }

    private void follow(Lists.Told told, ListKind kind) {
        version = told.version();
        instance.exchange().listed(kind, told.workers());
    }

    /** One call to discovery; one that is replaced is not heard any more. */
    private final class Watch implements Tell {
        private final ModelNet.Way there = party.way();
        private final ModelNet.Way back = party.way();
        private Runnable alarm = () -> { };
        private boolean closed;

        void open() {
            heard();
            there.send(instance.leavesAt(), () -> back.send(0, () -> instance.receive(at -> {
                if (watch == this) {
                    long from = version;
                    there.send(instance.leavesAt(), () -> {
                        if (!closed) {
                            site.catalogue().call(dispatcher, true, from, this);
                        }
                    });
                }
            })));
        }

        void close() {
            alarm.run();
            there.send(instance.leavesAt(), () -> {
                closed = true;
                site.catalogue().gone(this);
            });
        }

        private void fail() {
            if (watch == this) {
                watch = null;
                close();
                instance.exchange().listed(ListKind.FAILED, List.of());
            }
        }

        private void heard() {
            alarm.run();
            var loop = instance.loop();
            alarm = loop.at(loop.now() + tuning.silence(), this::fail);
        }

        private void hear(Runnable step) {
            back.send(0, () -> instance.receive(at -> {
                if (watch == this) {
                    step.run();
                }
            }));
        }

        @Override
        public void head(int status, boolean stream) {
            if (status != 200) {
                hear(this::fail);
            }
        }

        @Override
        public void line(String json) {
            hear(() -> {
                heard();
                if (json.length() > tuning.longestLine()) {
                    fail();
                } else if (!json.isEmpty()) {
                    take(json);
                }
            });
        }

        private void take(String json) {
            try {
                var told = site.lists().read(json);
                follow(told, told.full() ? ListKind.COMPLETE : ListKind.CHANGES);
            } catch (IOException e) {
                throw new IllegalStateException("discovery's own words can't be read: " + e.getMessage(), e);
            }
        }

        @Override
        public void end(boolean broken) {
            hear(this::fail);
        }
    }
}
