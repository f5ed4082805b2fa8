package ryemast.firing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.function.Consumer;
import ryemast.coordination.Coordination;
import ryemast.coordination.Step;
import ryemast.coordination.Step.Change;
import ryemast.coordination.Step.Kind;

/**
 * The fleet's records as a timetable would change them that leaves out something that keeps it right, for
 * trials that must fail. Loaded where a trial names what is left out, and nowhere else. All but fires' steps
 * pass by untouched, as do answers to them, but that they tell of what was left out as if it had been there.
 */
final class Careless implements Coordination {

    private final Coordination records;
    private final String what;

    /**
     * {@code what}: "fence" (no step requires it), "end" (no step that holds an end requires it), "mark" (a
     * claim does not move it), "revision" (no claim requires it), "conflict" (a step that met other versions
     * is taken for done), "answer" (one whose answer was lost is).
     */
    Careless(Coordination records, String what) {
        this.records = records;
        this.what = what;
    }

    @Override
    public void commit(Step step, Consumer<Result> then) {
        if (step.changes().stream().noneMatch(each -> each.key().startsWith(Keys.FIRES))) {
            records.commit(step, then);
            return;
        }
        var kept = new Step();
        for (var each : step.changes()) {
            if (!isLeftOut(each, step)) {
                switch (each.kind()) {
                    case PUT -> kept.put(each.key(), each.value(), each.version());
                    case REMOVE -> kept.remove(each.key(), each.version());
                    case REQUIRE -> kept.require(each.key(), each.version());
                }
            }
        }
        records.commit(kept, result -> then.accept(told(step, result)));
    }

    private boolean isLeftOut(Change change, Step step) {
        return switch (what) {
            case "fence" -> change.key().startsWith(Keys.FENCES);
            case "end" -> change.key().startsWith(Keys.FENCES)
                    && step.changes().stream().anyMatch(this::ends);
            case "mark" -> Keys.isMark(change.key()) && step.changes().stream().anyMatch(each ->
                    !Keys.isMark(each.key()) && each.kind() == Kind.PUT
                    && each.version() == ABSENT && Keys.entry(each.key()).equals(Keys.entry(change.key())));
            case "revision" -> change.key().equals(Firing.REVISION);
            default -> false;
        };
    }

    private boolean ends(Change change) {
        var text = change.value() == null ? "" : new String(change.value(), StandardCharsets.UTF_8);
        return text.contains("\"ended\"") || text.contains("\"unknown\"");
    }

    private Result told(Step step, Result result) {
        boolean taken = what.equals("conflict") && result.fate() == Fate.CONFLICT
                || what.equals("answer") && result.fate() == Fate.UNKNOWN;
        if (result.fate() != Fate.DONE && !taken) {
            return result;
        }
        var versions = new ArrayList<Long>();
        var kept = result.versions().iterator();
        for (var each : step.changes()) {
            versions.add(isLeftOut(each, step) ? each.version() : taken ? each.version() + 1 : kept.next());
        }
        return new Result(Fate.DONE, versions, null);
    }

    @Override
    public void read(String key, boolean certain, Consumer<Reading> then) {
        records.read(key, certain, then);
    }

    @Override
    public void list(String prefix, boolean certain, Consumer<Reading> then) {
        records.list(prefix, certain, then);
    }

    @Override
    public Runnable watch(String prefix, Watcher watcher) {
        return records.watch(prefix, watcher);
    }

    @Override
    public void close() {
        records.close();
    }
}
