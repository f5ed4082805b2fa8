package ryemast;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.coordination.Coordination;
import ryemast.coordination.Fence;
import ryemast.coordination.FleetKeeper;
import ryemast.core.Loop;
import ryemast.fleet.FleetView;
import ryemast.fleet.LeaseTerms;
import ryemast.fleet.MemberClock;
import ryemast.fleet.MemberRecord;

/**
 * This process's one place in its fleet, for all that needs one: two keepers of one process would take its
 * name from each other. Loaded where the operator wants such a thing, as a start should pay nothing. Owned by
 * the loop.
 */
final class FleetPlace implements AutoCloseable {

    private final FleetKeeper keeper;
    private final List<Runnable> listeners = new ArrayList<>();
    private BiConsumer<Long, List<MemberRecord>> onLists = (askedAt, members) -> { };
    private boolean leaving;
    private boolean left;

    private FleetPlace(Config config, Loop loop, Coordination records) {
        var wanted = config.tuning().coordination();
        keeper = new FleetKeeper(loop, records, config.name(), UUID.randomUUID().toString(),
                new LeaseTerms(wanted.lasts(), wanted.drift()),
                new FleetKeeper.Listener() {
                    @Override
                    public void changed(FleetView view) {
                        listeners.forEach(Runnable::run);
                    }

                    @Override
                    public void listed(long askedAt, List<MemberRecord> members) {
                        onLists.accept(askedAt, members);
                    }
                });
    }

    /** {@code key}: of the operator file, which asks for a fleet. */
    static FleetPlace of(Config config, Loop loop, Coordination records, String key) throws ConfigException {
        try {
            return new FleetPlace(config, loop, records);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(key + ": this dispatcher can't be in a fleet under its name ("
                    + e.getMessage() + "); give it another one");
        }
    }

    /** To be called once, when all listen. */
    void begin() {
        keeper.start();
    }

    /** Hears of each change of the members, and of whether this process may act. */
    void listen(Runnable changed) {
        listeners.add(changed);
    }

    /** Hears of each list of the members, which is no older than when it was asked for from now on. */
    void onLists(BiConsumer<Long, List<MemberRecord>> listed) {
        onLists = listed;
        keeper.listCertainly();
    }

    /** Under which this process has its name; 0: never had it. */
    long incarnation() {
        return keeper.incarnation();
    }

    /** As {@link FleetKeeper#tell}. */
    void tell(LongSupplier wallClock) {
        keeper.tell(wallClock);
    }

    /** As {@link FleetKeeper#want}. */
    void want(Supplier<Map<String, Integer>> wanted) {
        keeper.want(wanted);
    }

    /** As {@link FleetKeeper#clocks}. */
    List<MemberClock> clocks() {
        return keeper.clocks();
    }

    /** Judged by the clock as it is. */
    FleetView view() {
        return keeper.view();
    }

    /** What each step must require that is made in this process's name; null: the name is not its own. */
    Fence held() {
        return keeper.held();
    }

    /** Asked time and again: gives the name up at the first time; whether the fleet has been left. */
    boolean leave() {
        if (!leaving) {
            leaving = true;
            keeper.leave(() -> left = true);
        }
        return left;
    }

    @Override
    public void close() {
        keeper.close();
    }
}
