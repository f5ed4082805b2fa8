package ryemast.lab.site;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ryemast.lab.books.Books;
import ryemast.lab.books.Books.End;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.CancelReach;
import ryemast.lab.scenario.Scenario.Telling;
import ryemast.lab.site.Task.Stage;
import ryemast.lab.world.Timeline;

/**
 * The jobs that a box has taken, from its 202 to their end there, in its slots and its bounded queue.
 *
 * <p>First come, first served: the head of the queue waits until it fits, and nothing overtakes it. A job
 * does its work on one core however many slots it holds. One that never starts keeps a place in the queue
 * but holds up nobody; one that never ends keeps its slots and uses no core.
 *
 * <p>A cancelled job is told of no further, even where it goes on: its sender has given the attempt up. As
 * such a sender may send the same job here again, one that goes on is no longer held under its name. A
 * waiting job whose time is up is dropped where the box does that, a running one stopped where the box also
 * stops running ones that are cancelled.
 */
final class Floor {

    /** What rounding may take from the sum of slots. */
    private static final double CRUMB = 1e-6;

    private final BoxSpec spec;
    private final Telling telling;
    private final Timeline time;
    private final Books books;
    private final Work work;
    private final Runnable idle;
    private final Map<String, Task> held = new HashMap<>();
    private final ArrayDeque<Task> waiting = new ArrayDeque<>();
    private final Set<Task> stuck = new LinkedHashSet<>();
    private final Set<Task> running = new LinkedHashSet<>();
    private double slotsInUse;

    /** {@code idle}: run whenever the last job is over. */
    Floor(BoxSpec spec, Telling telling, Timeline time, Books books, Work work, Runnable idle) {
        this.spec = spec;
        this.telling = telling;
        this.time = time;
        this.books = books;
        this.work = work;
        this.idle = idle;
    }

    boolean holds(String txn) {
        return held.containsKey(txn);
    }

    /** Whether a job that takes so many slots can run at once or wait here. */
    boolean roomFor(double slots) {
        return waiting.isEmpty() && fits(slots)
                || slots <= spec.slots() + CRUMB && waiting.size() + stuck.size() < spec.queue();
    }

    boolean isIdle() {
        return waiting.isEmpty() && stuck.isEmpty() && running.isEmpty();
    }

    /** Work still to be done. */
    double left() {
        double left = 0;
        for (var task : running) {
            left += task.piece == null ? 0 : task.until - work.given(task.piece);
        }
        for (var task : waiting) {
            left += task.until;
        }
        return left;
    }

    int held() {
        return running.size() + waiting.size() + stuck.size();
    }

    double free() {
        return spec.slots() - slotsInUse;
    }

    /** How many more may wait. */
    int room() {
        return spec.queue() - waiting.size() - stuck.size();
    }

    /** Takes a job there is room for. */
    void take(Task task) {
        held.put(task.txn, task);
        if (task.fate == Task.Fate.NEVER_STARTS) {
            task.stage = Stage.STUCK;
            stuck.add(task);
        } else {
            waiting.add(task);
        }
        if (task.expiresAt != Long.MAX_VALUE && (spec.dropsExpired() || spec.cancel() == CancelReach.ALL)) {
            task.expiry = time.at(task.expiresAt, () -> expired(task));
        }
        fill();
    }

    /** Its sender has given it up. */
    void cancel(String txn) {
        var task = held.get(txn);
        if (task == null) {
            return;
        }
        boolean goesOn = spec.cancel() == CancelReach.NONE
                || begun(task) && spec.cancel() != CancelReach.ALL;
        task.story.stop();
        if (goesOn) {
            held.remove(txn);
        } else {
            over(task, End.CANCELLED, null);
        }
        fill();
    }

    /** Hands back whatever has not begun. */
    void handBack() {
        var back = new ArrayList<>(waiting);
        back.addAll(stuck);
        for (var task : back) {
            over(task, End.RETURNED, null);
            task.story.ended("returned");
        }
        fill();
    }

    /** What got stuck or hung is cleared away; nobody is told. */
    void clear(Stage stage) {
        for (var task : List.copyOf(stage == Stage.STUCK ? stuck : running)) {
            if (task.stage == stage) {
                over(task, End.LOST, null);
                task.story.stop();
            }
        }
        fill();
    }

    /** The process is dead; returns what it held for a sender, what ran before what waited. */
    List<Task> lose() {
        var all = new ArrayList<>(running);
        all.addAll(waiting);
        all.addAll(stuck);
        var wanted = new ArrayList<Task>();
        for (var task : all) {
            if (held.get(task.txn) == task) {
                wanted.add(task);
            }
            over(task, End.LOST, null);
        }
        return wanted;
    }

    private boolean fits(double slots) {
        return slotsInUse + slots <= spec.slots() + CRUMB;
    }

    private static boolean begun(Task task) {
        return task.stage == Stage.RUNNING || task.stage == Stage.HUNG;
    }

    private void fill() {
        while (!waiting.isEmpty() && fits(waiting.peek().job.slots())) {
            begin(waiting.poll());
        }
        if (isIdle()) {
            idle.run();
        }
    }

    private void begin(Task task) {
        slotsInUse += task.job.slots();
        running.add(task);
        books.began(spec.index(), task.dispatcher, task.txn, time.now());
        if (spec.cancel() != CancelReach.ALL) {
            quietExpiry(task);
        }
        if (task.fate == Task.Fate.NEVER_ENDS) {
            task.stage = Stage.HUNG;
        } else {
            task.stage = Stage.RUNNING;
            task.piece = work.add(task.until, () -> met(task));
            progressLater(task);
        }
        task.story.started();
    }

    private void progressLater(Task task) {
        if (telling.progressEvery() > 0) {
            task.progress = time.at(time.now() + telling.progressEvery(), () -> {
                task.story.running(Math.min(1, work.given(task.piece) / task.job.work()));
                progressLater(task);
            });
        }
    }

    /** A running job has been given all the work that its fate grants it. */
    private void met(Task task) {
        task.piece = null;
        switch (task.fate) {
            case DONE -> {
                var result = Box.result(task.txn, spec.id());
                over(task, End.DONE, result);
                task.story.done(result);
            }
            case FAILED -> {
                over(task, End.FAILED, null);
                task.story.ended("failed");
            }
            default -> {
                over(task, End.LOST, null);
                task.story.ended("lost");
            }
        }
        fill();
    }

    private void expired(Task task) {
        task.expiry = null;
        if (begun(task) || spec.dropsExpired()) {
            task.story.stop();
            over(task, End.CANCELLED, null);
            fill();
        }
    }

    private void over(Task task, End end, String result) {
        double done = 0;
        switch (task.stage) {
            case RUNNING -> {
                done = task.piece == null ? task.until : work.given(task.piece);
                work.stop(task.piece);
                leaveSlots(task);
            }
            case HUNG -> leaveSlots(task);
            case STUCK -> stuck.remove(task);
            default -> waiting.remove(task);
        }
        task.stage = Stage.OVER;
        held.remove(task.txn, task);
        quietExpiry(task);
        if (task.progress != null) {
            task.progress.cancel();
        }
        books.ended(spec.index(), task.dispatcher, task.txn, time.now(), end, done, result);
    }

    private void leaveSlots(Task task) {
        running.remove(task);
        slotsInUse = running.isEmpty() ? 0 : slotsInUse - task.job.slots();
    }

    private void quietExpiry(Task task) {
        if (task.expiry != null) {
            task.expiry.cancel();
            task.expiry = null;
        }
    }
}
