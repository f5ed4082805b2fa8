package ryemast.lab.model;

import java.util.function.IntConsumer;
import ryemast.lab.books.Books;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Front;
import ryemast.lab.site.Patience;
import ryemast.lab.world.VirtualTime;

/**
 * A dispatcher's machine over all the lives of its process, as the emulated site's supervisor leads them:
 * starts and ends it, tells the front, and writes its life into the books.
 */
final class Host {

    /** A start that finds the former process still there tries again so much later. */
    private static final long AGAIN = 100_000;

    /** Makes a process; the step is run once it has ended in order. */
    interface Maker {
        Instance make(Runnable over);
    }

    private final int number;
    private final VirtualTime time;
    private final Books books;
    private final Front front;
    private final long startTime;
    private final long beforeKill;
    private final long notice;
    private Maker maker;
    private IntConsumer died;
    private Instance instance;
    private boolean lives;
    private boolean paused;
    private boolean startAnew;
    private int life;

    Host(int number, VirtualTime time, Books books, Front front, Scenario scenario) {
        this.number = number;
        this.time = time;
        this.books = books;
        this.front = front;
        startTime = scenario.model().startTime();
        beforeKill = Patience.beforeKill(scenario);
        notice = scenario.dispatchers().notice();
    }

    /** {@code whenDead}: told whenever a process is gone. */
    void equip(Maker instances, IntConsumer whenDead) {
        maker = instances;
        died = whenDead;
    }

    int number() {
        return number;
    }

    boolean lives() {
        return lives;
    }

    /** Whether clients may come. */
    boolean isReady() {
        return instance != null;
    }

    /** The process that listens; null while there is none. */
    Instance instance() {
        return instance;
    }

    Terminals terminals() {
        return instance == null ? null : instance.terminals();
    }

    void start() {
        if (lives) {
            time.at(time.now() + AGAIN, this::start);
            return;
        }
        lives = true;
        int now = ++life;
        write(DispatcherState.STARTED);
        time.at(time.now() + startTime, () -> ready(now));
    }

    private void ready(int ofLife) {
        if (life != ofLife || !lives) {
            return;
        }
        instance = maker.make(this::ended);
        if (paused) {
            instance.pause();
        }
        write(DispatcherState.READY);
        front.ready(number, time.now());
    }

    /** SIGTERM, and SIGKILL if it takes too long; started anew once it has ended. */
    void end() {
        if (!lives) {
            return;
        }
        startAnew = true;
        int now = life;
        write(DispatcherState.TOLD_TO_END);
        front.died(number, time.now() + Patience.STILL_COME - notice);
        if (instance == null) {
            ended();
            return;
        }
        instance.drain();
        time.at(time.now() + beforeKill, () -> {
            if (life == now) {
                kill();
            }
        });
    }

    /** SIGKILL. */
    void kill() {
        if (!lives) {
            return;
        }
        write(DispatcherState.KILLED);
        front.died(number, time.now());
        if (instance != null) {
            instance.die();
        }
        ended();
    }

    private void ended() {
        lives = false;
        instance = null;
        died.accept(number);
        write(DispatcherState.ENDED);
        if (startAnew) {
            startAnew = false;
            start();
        }
    }

    void pause() {
        paused = true;
        if (instance != null) {
            instance.pause();
        }
        write(DispatcherState.PAUSED);
    }

    void resume() {
        paused = false;
        if (instance != null) {
            instance.resume();
        }
        write(DispatcherState.RESUMED);
    }

    private void write(DispatcherState state) {
        books.dispatcher(number, time.now(), state);
    }
}
