package ryemast.lab.books;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import ryemast.lab.books.Books.End;
import ryemast.lab.books.Books.Reply;

/**
 * Puts the lines of the books together. Lines come thread by thread and are sorted by time here, so it does
 * not matter who wrote which. What a box says of a name belongs to the latest arrival there that has no
 * such line yet: a worker gets one attempt of a request at a time.
 */
final class Historian {

    private final Tries tries;
    private final Map<String, List<Entry.OfTry>> ofTries = new HashMap<>();
    private final List<History.Stranger> strangers = new ArrayList<>();
    private final TreeMap<Integer, List<History.BoxAt>> boxes = new TreeMap<>();
    private final Map<Integer, List<History.Listing>> listings = new HashMap<>();
    private final TreeMap<Integer, List<History.DispatcherAt>> dispatchers = new TreeMap<>();
    private long beganAt = Long.MAX_VALUE;
    private long endedAt = Long.MIN_VALUE;

    Historian(Tries tries) {
        this.tries = tries;
    }

    void take(Entry entry) {
        beganAt = Math.min(beganAt, entry.at());
        endedAt = Math.max(endedAt, entry.at());
        if (entry instanceof Entry.OfTry ofTry) {
            if (ofTry.txn() != null && tries.find(ofTry.txn()) != null) {
                ofTries.computeIfAbsent(ofTry.txn(), txn -> new ArrayList<>(6)).add(ofTry);
            } else if (entry instanceof Entry.Arrived arrived) {
                strangers.add(new History.Stranger(arrived.box(), arrived.dispatcher(), arrived.txn(),
                        arrived.at()));
            }
        } else if (entry instanceof Entry.BoxIs box) {
            boxes.computeIfAbsent(box.box(), b -> new ArrayList<>())
                    .add(new History.BoxAt(box.at(), box.state(), box.capacity()));
        } else if (entry instanceof Entry.Listed listed) {
            listings.computeIfAbsent(listed.box(), b -> new ArrayList<>()).add(new History.Listing(
                    listed.dispatcher(), listed.at(), listed.state(), listed.startedAt()));
        } else if (entry instanceof Entry.Listable listable) {
            listings.computeIfAbsent(listable.box(), b -> new ArrayList<>()).add(new History.Listing(
                    -1, listable.at(), listable.state(), listable.startedAt()));
        } else if (entry instanceof Entry.DispatcherIs dispatcher) {
            dispatchers.computeIfAbsent(dispatcher.dispatcher(), d -> new ArrayList<>())
                    .add(new History.DispatcherAt(dispatcher.at(), dispatcher.state()));
        }
    }

    History history(Histogram lateness) {
        Map<Long, List<TryStory>> byJob = new TreeMap<>();
        for (Try sent : tries.all()) {
            byJob.computeIfAbsent(sent.job().number(), job -> new ArrayList<>(1)).add(story(sent));
        }
        List<JobStory> jobs = new ArrayList<>(byJob.size());
        for (List<TryStory> stories : byJob.values()) {
            stories.sort(Comparator.comparingInt(story -> story.sentTry().number()));
            jobs.add(new JobStory(stories.get(0).job(), List.copyOf(stories)));
        }
        strangers.sort(Comparator.comparingLong(History.Stranger::at));
        boxes.values().forEach(states -> states.sort(Comparator.comparingLong(History.BoxAt::at)));
        listings.values().forEach(list -> list.sort(Comparator.comparingLong(History.Listing::at)));
        dispatchers.values().forEach(
                states -> states.sort(Comparator.comparingLong(History.DispatcherAt::at)));
        boolean any = beganAt <= endedAt;
        return new History(List.copyOf(jobs), List.copyOf(strangers), boxes, listings, dispatchers, lateness,
                any ? beganAt : 0, any ? endedAt : 0, Map.of());
    }

    private TryStory story(Try sent) {
        List<Entry.OfTry> lines = new ArrayList<>(ofTries.getOrDefault(sent.txn(), List.of()));
        lines.sort(Comparator.comparingLong((Entry.OfTry line) -> line.at())
                .thenComparingInt(Historian::rank));
        List<TryStory.Asked> asked = new ArrayList<>(1);
        TryStory.Answer answer = null;
        int answers = 0;
        long leftAt = Attempt.NEVER;
        Entry.Broke broke = null;
        List<Draft> drafts = new ArrayList<>(2);
        for (Entry.OfTry line : lines) {
            if (line instanceof Entry.Asked a) {
                asked.add(new TryStory.Asked(a.dispatcher(), a.at(), a.body()));
            } else if (line instanceof Entry.Told told) {
                answers++;
                answer = answer != null ? answer : new TryStory.Answer(told.at(), told.status(),
                        told.retryAfterMs(), told.result());
            } else if (line instanceof Entry.Left left) {
                leftAt = Math.min(leftAt, left.at());
            } else if (line instanceof Entry.Broke b) {
                broke = b;
            } else if (line instanceof Entry.Arrived arrived) {
                drafts.add(new Draft(arrived));
            } else if (line instanceof Entry.AtBox atBox) {
                note(drafts, atBox);
            }
        }
        List<Attempt> attempts = drafts.stream().map(Draft::attempt)
                .sorted(Comparator.comparingLong(Attempt::firstByteAt)).toList();
        return new TryStory(sent, List.copyOf(asked), answer, answers, leftAt,
                broke == null ? Attempt.NEVER : broke.at(), broke != null && broke.sent(), attempts);
    }

    /** The order of lines that bear the same time. */
    private static int rank(Entry.OfTry line) {
        if (line instanceof Entry.Asked) {
            return 0;
        }
        if (line instanceof Entry.Arrived) {
            return 1;
        }
        return line instanceof Entry.Ended ? 3 : 2;
    }

    private static void note(List<Draft> drafts, Entry.AtBox line) {
        for (int i = drafts.size() - 1; i >= 0; i--) {
            Draft draft = drafts.get(i);
            if (draft.arrived.box() == line.box() && draft.arrived.dispatcher() == line.dispatcher()
                    && draft.note(line)) {
                return;
            }
        }
    }

    /** An attempt while its lines come in. */
    private static final class Draft {

        private final Entry.Arrived arrived;
        private Reply reply;
        private long repliedAt = Attempt.NEVER;
        private long beganAt = Attempt.NEVER;
        private End end;
        private long endedAt = Attempt.NEVER;
        private double work;
        private long result = Fingerprint.UNKNOWN;
        private long givenUpAt = Attempt.NEVER;

        Draft(Entry.Arrived arrived) {
            this.arrived = arrived;
        }

        /** False if it has such a line already. */
        boolean note(Entry.AtBox line) {
            if (line instanceof Entry.Replied replied && reply == null) {
                reply = replied.reply();
                repliedAt = replied.at();
            } else if (line instanceof Entry.Began began && beganAt == Attempt.NEVER) {
                beganAt = began.at();
            } else if (line instanceof Entry.Ended ended && end == null) {
                end = ended.end();
                endedAt = ended.at();
                work = ended.work();
                result = ended.result();
            } else if (line instanceof Entry.GivenUp up && givenUpAt == Attempt.NEVER) {
                givenUpAt = up.at();
            } else {
                return false;
            }
            return true;
        }

        Attempt attempt() {
            return new Attempt(arrived.box(), arrived.dispatcher(), arrived.firstByteAt(), arrived.at(),
                    arrived.body(), reply, repliedAt, beganAt, end, endedAt, work, result, givenUpAt);
        }
    }
}
