package ryemast.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import pipitladder.Brain;
import ryemast.config.Config;
import ryemast.config.Tuning;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Timeline;
import ryemast.lab.world.VirtualTime;

/**
 * One life of a dispatcher's process: the real {@link Loop}, {@link Exchange} and decision module, turned in
 * virtual time, between modelled connections.
 *
 * <p>Whatever comes for it starts a turn at once, or as soon as the turn before is over; a turn takes as long
 * as the scenario says, and what it sends leaves at its end. A process that stands still gets what had come
 * meanwhile when it goes on, as the kernel would keep it.
 */
final class Instance {

    private final VirtualTime time;
    private final Scenario.Model model;
    private final Config config;
    private final Loop loop;
    private final Exchange exchange;
    private final Terminals terminals;
    private final ModelRegion region;
    private final ModelTable table;
    private final ModelPeers peers;
    private final Runnable over;
    private final List<LongConsumer> held = new ArrayList<>();
    private Timeline.Timer turn;
    private long turnAt;
    private long freeAt;
    private long come;
    private boolean paused;
    private boolean ended;
    private long drainingSince;

    /** {@code over}: run once it has ended in order. */
    Instance(int number, Site site, Config config, Policy policy, Runnable over) {
        time = site.time();
        model = site.scenario().model();
        this.config = config;
        this.over = over;
        var settings = config.settings();
        loop = new Loop(time::now, settings.resolution());
        var room = config.room();
        var module = policy.module(settings, config.seed(), site.truth());
        exchange = new Exchange(loop, module, room.jobs(), settings.limits().maxAttempts(), config.grace(),
                config.tuning().limits().namesRemembered());
        terminals = new Terminals(this, site.scenario(), room.terminals(), config.tuning().terminals());
        region = new ModelRegion(this, number, site, config, room.regions());
        table = new ModelTable(this, number, site, config.tuning().table());
        exchange.connect(region, table);
        peers = policy.talk() == null || !(module instanceof Brain brain) ? null
                : new ModelPeers(number, this, brain, site, policy.talk(), config.seed());
    }

    /** From here on it hears and speaks; {@code known}: the list of boxes as it was last known. */
    void begin(Lists.Told known) {
        receive(at -> table.begin(known));
        if (peers != null) {
            receive(at -> peers.begin());
        }
    }

    /** Null where dispatchers tell each other nothing. */
    ModelPeers peers() {
        return peers;
    }

    Loop loop() {
        return loop;
    }

    Exchange exchange() {
        return exchange;
    }

    Terminals terminals() {
        return terminals;
    }

    Tuning tuning() {
        return config.tuning();
    }

    /** When what is sent now leaves: at the end of the present turn. */
    long leavesAt() {
        return Math.max(time.now(), freeAt);
    }

    /** Something has come to its machine; the step is given the time at which the process read it. */
    void receive(LongConsumer step) {
        if (ended) {
            return;
        }
        if (paused) {
            held.add(step);
            return;
        }
        long at = time.now();
        come++;
        loop.post(() -> step.accept(at));
        wake(at);
    }

    void pause() {
        paused = true;
        if (turn != null) {
            turn.cancel();
            turn = null;
        }
    }

    void resume() {
        paused = false;
        wake(time.now());
        var steps = List.copyOf(held);
        held.clear();
        steps.forEach(this::receive);
    }

    /** SIGTERM: it answers what it has, and ends. */
    void drain() {
        receive(at -> {
            if (drainingSince == 0) {
                drainingSince = loop.now();
                terminals.drain();
                endWhenQuiet();
            }
        });
    }

    private void endWhenQuiet() {
        long since = loop.now() - drainingSince;
        var ending = config.tuning().ending();
        if (since >= ending.clientsCome()) {
            terminals.closeResting(ending.rest());
        }
        if (since >= ending.least() && exchange.open() == 0 && terminals.isQuiet()) {
            die();
            over.run();
            return;
        }
        loop.at(loop.now() + Tuning.Ending.CHECK, this::endWhenQuiet);
    }

    /** The process is gone: its connections are reset, and it says nothing any more. */
    void die() {
        if (ended) {
            return;
        }
        ended = true;
        if (peers != null) {
            peers.end();
        }
        pause();
        held.clear();
        terminals.die();
        region.die();
        table.die();
    }

    private void wake(long wanted) {
        long at = Math.max(wanted, freeAt);
        if (ended || paused || turn != null && turnAt <= at) {
            return;
        }
        if (turn != null) {
            turn.cancel();
        }
        turnAt = at;
        turn = time.at(at, this::turn);
    }

    private void turn() {
        turn = null;
        freeAt = time.now() + model.turnCost() + come * model.eventCost();
        come = 0;
        boolean more = loop.turn();
        wake(more ? time.now() : Math.max(time.now(), loop.nextDue()));
    }
}
