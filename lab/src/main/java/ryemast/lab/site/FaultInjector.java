package ryemast.lab.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntConsumer;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.world.Timeline;

/**
 * Lets go wrong what a scenario's timetable says, when it says so.
 *
 * <p>Faults that overlap compose: a box is back only once no fault keeps it down, a machine only once none
 * keeps it away, a process that starts while it ought to drain drains at once; shares strike one by one and
 * factors multiply. A dispatcher that several faults kill or pause is back, or goes on, after the last.
 *
 * <p>A box that drains does so for at least the time that the timetable gives, and until it is idle; then
 * its process ends, and {@link #REST} later it is back, cold.
 */
public final class FaultInjector {

    /** How long a drained box is down before it starts anew, in microseconds. */
    static final long REST = 1_000_000;

    private final Scenario scenario;
    private final Directory directory;
    private final Spells spells;
    private final DispatcherControl control;
    private final Timeline time;
    private final List<Plight> plights = new ArrayList<>();
    private final int[] dead;
    private final int[] paused;
    private final List<String> lines = new ArrayList<>();
    private long beganAt;

    public FaultInjector(Scenario scenario, List<Box> boxes, Directory directory, Spells spells,
            DispatcherControl control, Timeline time) {
        this.scenario = scenario;
        this.directory = directory;
        this.spells = spells;
        this.control = control;
        this.time = time;
        boxes.forEach(box -> plights.add(new Plight(box)));
        dead = new int[scenario.dispatchers().count()];
        paused = new int[dead.length];
    }

    /** The run begins now. */
    public void begin() {
        beganAt = time.now();
        spells.begin(beganAt);
        for (var fault : scenario.faults()) {
            time.at(beganAt + fault.at(), () -> strike(fault));
        }
    }

    /** What has been done so far, a line for each, with its time since the run's start. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    private void strike(Fault fault) {
        if (fault.kind() != FaultKind.ROLLING_RELEASE) {
            log(describe(fault));
        }
        switch (fault.kind()) {
            case CRASH -> spell(fault, box -> plights.get(box).down(), box -> plights.get(box).up());
            case VANISH -> spell(fault, box -> plights.get(box).away(), box -> plights.get(box).back());
            case FLAPS -> flap(fault, beganAt + fault.at() + fault.lasts());
            case DRAIN -> fault.targets().forEach(box -> drain(fault, box));
            case ROLLING_RELEASE -> release(fault);
            case SLOW, NEVER_STARTS, NEVER_ENDS, RESETS, ERRORS, LOST, TURNED_AWAY, KEPT_DROPPED, CUT_OFF ->
                spell(fault, box -> plights.get(box).box.suffer(fault),
                        box -> plights.get(box).box.recover(fault));
            case HEAVY, POISONED -> later(fault.lasts(), () -> log(word(fault) + " is over"));
            case DISCOVERY_STALLS -> {
                directory.stall();
                later(fault.lasts(), () -> {
                    directory.goOn();
                    log(word(fault) + " is over");
                });
            }
            case DISCOVERY_DOWN -> {
                directory.goDown();
                later(fault.lasts(), () -> {
                    directory.comeUp();
                    log(word(fault) + " is over");
                });
            }
            case DISPATCHER_KILL -> spell(fault, this::kill, this::restart);
            case DISPATCHER_RESTART -> fault.targets().forEach(control::end);
            case DISPATCHER_PAUSE -> spell(fault, this::pause, this::resume);
        }
    }

    private void spell(Fault fault, IntConsumer begin, IntConsumer end) {
        fault.targets().forEach(begin::accept);
        later(fault.lasts(), () -> {
            fault.targets().forEach(end::accept);
            log(word(fault) + " is over: " + names(fault, fault.targets()));
        });
    }

    private void flap(Fault fault, long until) {
        fault.targets().forEach(box -> plights.get(box).down());
        time.at(Math.min(until, time.now() + fault.every()), () -> {
            fault.targets().forEach(box -> plights.get(box).up());
            log(word(fault) + ": up again: " + names(fault, fault.targets()));
            if (time.now() + fault.every() < until) {
                later(fault.every(), () -> {
                    log(word(fault) + ": down again: " + names(fault, fault.targets()));
                    flap(fault, until);
                });
            }
        });
    }

    private void release(Fault fault) {
        for (int i = 0; i < fault.targets().size(); i++) {
            int box = fault.targets().get(i);
            later(i * fault.every(), () -> {
                log(word(fault) + ": " + names(fault, List.of(box)));
                drain(fault, box);
            });
        }
    }

    private void drain(Fault fault, int box) {
        var plight = plights.get(box);
        plight.drain();
        later(fault.lasts(), () -> plight.box.whenIdle(() -> {
            plight.drained();
            later(REST, () -> {
                plight.up();
                log(word(fault) + ": " + plight.box.state().name().toLowerCase(Locale.ROOT) + " after it: "
                        + names(fault, List.of(box)));
            });
        }));
    }

    private void kill(int dispatcher) {
        if (dead[dispatcher]++ == 0) {
            control.kill(dispatcher);
        }
    }

    private void restart(int dispatcher) {
        if (--dead[dispatcher] == 0) {
            control.restart(dispatcher);
        }
    }

    private void pause(int dispatcher) {
        if (paused[dispatcher]++ == 0) {
            control.pause(dispatcher);
        }
    }

    private void resume(int dispatcher) {
        if (--paused[dispatcher] == 0) {
            control.resume(dispatcher);
        }
    }

    private void later(long wait, Runnable step) {
        time.at(time.now() + wait, step);
    }

    private void log(String what) {
        synchronized (lines) {
            lines.add(String.format(Locale.ROOT, "%.3f s: %s", (time.now() - beganAt) / 1e6, what));
        }
    }

    private String describe(Fault fault) {
        var text = new StringBuilder(word(fault));
        var names = names(fault, fault.targets());
        if (!names.isEmpty()) {
            text.append(": ").append(names);
        }
        if (fault.dispatcher() >= 0) {
            text.append(", from dispatcher ").append(fault.dispatcher());
        }
        if (fault.jobClass() >= 0) {
            text.append(", class ").append(scenario.classes().get(fault.jobClass()).name());
        }
        if (fault.share() > 0 && fault.share() < 1) {
            text.append(String.format(Locale.ROOT, ", share %.4g", fault.share()));
        }
        if (fault.size() > 0) {
            text.append(String.format(Locale.ROOT, ", size %.4g", fault.size()));
        }
        if (fault.lasts() > 0) {
            text.append(String.format(Locale.ROOT, ", for %.3f s", fault.lasts() / 1e6));
        }
        return text.toString();
    }

    private String names(Fault fault, List<Integer> targets) {
        boolean dispatchers = switch (fault.kind()) {
            case DISPATCHER_KILL, DISPATCHER_RESTART, DISPATCHER_PAUSE -> true;
            default -> false;
        };
        var names = targets.stream()
                .map(target -> dispatchers ? "dispatcher " + target : plights.get(target).box.spec().id())
                .toList();
        return names.size() <= 8 ? String.join(", ", names)
                : String.join(", ", names.subList(0, 8)) + " and " + (names.size() - 8) + " more";
    }

    private static String word(Fault fault) {
        return fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** What the faults that are on at present do to a box's life. */
    private static final class Plight {
        private final Box box;
        private int downs;
        private int aways;
        private int drains;

        Plight(Box box) {
            this.box = box;
        }

        void down() {
            downs++;
            if (aways == 0) {
                box.crash();
            }
        }

        void up() {
            downs--;
            revive();
        }

        void away() {
            aways++;
            box.vanish();
        }

        void back() {
            aways--;
            if (aways == 0 && downs > 0) {
                box.crash();
            }
            revive();
        }

        void drain() {
            drains++;
            box.drain();
        }

        /** Down in order now, and one fault more that keeps it there. */
        void drained() {
            drains--;
            downs++;
            if (aways == 0) {
                box.stop();
            }
        }

        private void revive() {
            if (downs == 0 && aways == 0) {
                box.start();
                if (drains > 0 && box.state() == BoxState.READY) {
                    box.drain();
                }
            }
        }
    }
}
