package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ryemast.lab.books.BoxBooks;
import ryemast.lab.books.Try;

/** The boxes' own books of the timetable's jobs, which no client sends. Any thread may use it. */
final class FireBooks extends BoxBooks {

    /** Far from the numbers of clients' jobs. */
    private static final long FIRST = 1L << 41;

    private final Map<String, Trial.Entry> entries = new HashMap<>();
    private final Consumer<String> arrived;
    private final List<BoxRun> runs = new ArrayList<>();

    /** {@code arrived}: hears of each job that has reached a box, by its name. */
    FireBooks(List<Trial.Entry> entries, Consumer<String> arrived) {
        super(FIRST);
        this.arrived = arrived;
        entries.forEach(each -> this.entries.put(each.name(), each));
    }

    synchronized List<BoxRun> runs() {
        return List.copyOf(runs);
    }

    private Trial.Entry entry(String txn) {
        var id = FireId.ofRequest(txn);
        return id == null ? null : entries.get(id.entry());
    }

    @Override
    public Try find(String txn) {
        var entry = entry(txn);
        return entry == null ? null : attempt(txn, entry.jobClass(), entry.work());
    }

    @Override
    public String target(String txn) {
        var entry = entry(txn);
        return entry == null ? null : entry.path();
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at) {
        arrived.accept(txn);
    }

    @Override
    public synchronized void began(int box, int dispatcher, String txn, long at) {
        var entry = entry(txn);
        runs.add(new BoxRun(txn, entry.path(), entry.jobClass(), box, dispatcher, at, null, Long.MAX_VALUE));
    }

    @Override
    public synchronized void ended(int box, int dispatcher, String txn, long at, End end, double work,
            String result) {
        for (int i = runs.size() - 1; i >= 0; i--) {
            var run = runs.get(i);
            if (run.end() == null && run.id().equals(txn) && run.box() == box) {
                runs.set(i, new BoxRun(txn, run.path(), run.jobClass(), box, dispatcher, run.beganAt(), end,
                        at));
                return;
            }
        }
    }
}
