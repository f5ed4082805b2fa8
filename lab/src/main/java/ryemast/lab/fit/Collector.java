package ryemast.lab.fit;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.WorkerState;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Box;
import ryemast.lab.fit.Seen.Listing;
import ryemast.lab.fit.Seen.Request;
import ryemast.record.Entry;
import ryemast.record.RecordingReader;

/**
 * Puts the entries of recordings together.
 *
 * <p>Several dispatchers of one site may be read together. What they call their boxes can't be compared, as
 * each hashes names under a key of its own; boxes are matched by their place in the first whole list, which
 * discovery gives to all alike, and recordings whose lists differ are refused.
 */
final class Collector {


    private final List<Request> jobs = new ArrayList<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<String> warnings = new ArrayList<>();
    private JsonObject settings;
    private long began = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;
    private long dropped;
    private int sources;

    static Seen collect(List<Path> recordings) throws IOException {
        var collector = new Collector();
        for (var each : recordings) {
            collector.read(each);
        }
        return collector.seen();
    }

    private void read(Path recording) throws IOException {
        var source = new Source(sources++);
        var reader = RecordingReader.read(recording, source);
        reader.warnings().forEach(warning -> warnings.add(
                recording.getFileName() + ": " + warning));
        if (source.settings == null) {
            throw new IOException(recording + ": holds no whole record; there is nothing to learn from it");
        }
        source.finish(recording);
        settings = settings == null ? source.settings : settings;
    }

    private Seen seen() {
        jobs.sort(Comparator.comparingLong(each -> each.at));
        long zero = began;
        // Everything was noted in Unix time; the first thing seen is time 0 from here on.
        var moved = new ArrayList<Request>(jobs.size());
        var movedBoxes = new ArrayList<Box>();
        for (var box : boxes) {
            var copy = new Box(box.number, box.kind, box.zone, box.cell, box.weight);
            box.listings.stream().sorted(Comparator.comparingLong(Listing::at)).forEach(each ->
                    copy.listings.add(new Listing(each.at() - zero, each.state(),
                            each.startedAt() == 0 ? Long.MIN_VALUE : each.startedAt() - zero)));
            movedBoxes.add(copy);
        }
        for (var job : jobs) {
            var copy = new Request(job.source, job.at - zero, job.jobClass, job.tenant, job.slots, job.memory,
                    job.hint, job.timeLeft);
            copy.answer = job.answer;
            copy.answeredAt = moved(job.answeredAt, zero);
            copy.retryAfter = job.retryAfter;
            for (var attempt : job.attempts) {
                var box = movedBoxes.get(attempt.box.number);
                var one = new Attempt(copy, attempt.number, box, attempt.sentAt - zero);
                one.acceptedAt = moved(attempt.acceptedAt, zero);
                one.startedAt = moved(attempt.startedAt, zero);
                one.endedAt = moved(attempt.endedAt, zero);
                one.outcome = attempt.outcome;
                copy.attempts.add(one);
                box.attempts.add(one);
            }
            moved.add(copy);
        }
        movedBoxes.forEach(box -> box.attempts.sort(Comparator.comparingLong(each -> each.sentAt)));
        return new Seen(zero, Math.max(0, last - zero), moved, movedBoxes, settings, sources, dropped,
                List.copyOf(warnings));
    }

    private static long moved(long at, long zero) {
        return at == Seen.NEVER ? Seen.NEVER : at - zero;
    }

    /** One recording. */
    private final class Source implements java.util.function.Consumer<Entry> {
        private final int number;
        private JsonObject settings;
        private final Map<Long, Request> open = new HashMap<>();
        private final Map<Integer, Box> byNumber = new HashMap<>();
        private List<Entry.Worker> firstList;
        private final List<Entry.Listed> lists = new ArrayList<>();
        private long lost;
        private long orphans;

        Source(int number) {
            this.number = number;
        }

        @Override
        public void accept(Entry entry) {
            began = Math.min(began, entry.at());
            last = Math.max(last, entry.at());
            if (entry instanceof Entry.Header header) {
                settings = settings == null ? parse(header.settings()) : settings;
            } else if (entry instanceof Entry.Taken e) {
                var job = new Request(number, e.at(), e.jobClass(), e.tenant(), e.slots(), e.memory(),
                        e.hint(), e.timeLeft());
                jobs.add(job);
                open.put(e.job(), job);
            } else if (entry instanceof Entry.TurnedAway e) {
                var job = new Request(number, e.at(), e.jobClass(), e.tenant(), e.slots(), e.memory(),
                        e.hint(), e.timeLeft());
                job.answer = ryemast.core.Observer.Answer.REFUSED;
                job.answeredAt = e.at();
                jobs.add(job);
            } else if (entry instanceof Entry.Sent e) {
                sent(e);
            } else if (entry instanceof Entry.Accepted e) {
                var attempt = attempt(e.job(), e.attempt());
                if (attempt != null) {
                    attempt.acceptedAt = e.at();
                }
            } else if (entry instanceof Entry.Started e) {
                var attempt = attempt(e.job(), e.attempt());
                if (attempt != null) {
                    attempt.startedAt = e.at();
                }
            } else if (entry instanceof Entry.Ended e) {
                var attempt = attempt(e.job(), e.attempt());
                if (attempt != null) {
                    attempt.endedAt = e.at();
                    attempt.outcome = e.outcome();
                }
            } else if (entry instanceof Entry.Answered e) {
                var job = open.get(e.job());
                if (job != null) {
                    job.answer = e.answer();
                    job.answeredAt = e.at();
                    job.retryAfter = e.retryAfter();
                }
            } else if (entry instanceof Entry.Listed e) {
                listed(e);
            } else if (entry instanceof Entry.Dropped e) {
                lost += e.count();
            }
        }

        private JsonObject parse(String text) {
            try {
                var json = JsonParser.parseString(text);
                return json.isJsonObject() ? json.getAsJsonObject() : new JsonObject();
            } catch (JsonParseException e) {
                warnings.add("the settings in the recording can't be read; defaults stand in their place");
                return new JsonObject();
            }
        }

        private void sent(Entry.Sent e) {
            var job = open.get(e.job());
            if (job == null) {
                orphans++;
                return;
            }
            var box = byNumber.computeIfAbsent(e.worker(), worker -> new Box(worker, 0, 0, 0, 1));
            job.attempts.add(new Attempt(job, e.attempt(), box, e.at()));
        }

        private Attempt attempt(long job, int attempt) {
            var found = open.get(job);
            if (found != null) {
                for (var each : found.attempts) {
                    if (each.number == attempt) {
                        return each;
                    }
                }
            }
            orphans++;
            return null;
        }

        private void listed(Entry.Listed e) {
            if (e.kind().isFailure()) {
                return;
            }
            if (firstList == null && e.kind().isWhole() && !e.workers().isEmpty()) {
                firstList = e.workers();
            }
            lists.add(e);
            for (var worker : e.workers()) {
                if (!byNumber.containsKey(worker.number())) {
                    byNumber.put(worker.number(), new Box(worker.number(), worker.kind(), worker.zone(),
                            worker.cell(), worker.weight()));
                }
            }
        }

        /** Boxes of this recording become those of all. */
        void finish(Path recording) throws IOException {
            dropped += lost;
            if (lost > 0) {
                warnings.add(recording.getFileName() + ": " + lost
                        + " records were dropped, as the disk could "
                        + "not keep up; jobs and attempts that miss one are left out where it matters");
            }
            if (orphans > 0) {
                warnings.add(recording.getFileName() + ": " + orphans
                        + " records are of jobs whose beginning "
                        + "is not here (older files are gone, or records were dropped); left out");
            }
            var own = new HashMap<Integer, Box>();
            if (number > 0) {
                match(recording, own);
            }
            for (var box : byNumber.values()) {
                own.computeIfAbsent(box.number, ignored -> {
                    var fresh = new Box(boxes.size(), box.kind, box.zone, box.cell, box.weight);
                    boxes.add(fresh);
                    return fresh;
                });
            }
            for (var job : open.values()) {
                job.attempts.replaceAll(old -> {
                    var one = new Attempt(job, old.number, own.get(old.box.number), old.sentAt);
                    one.acceptedAt = old.acceptedAt;
                    one.startedAt = old.startedAt;
                    one.endedAt = old.endedAt;
                    one.outcome = old.outcome;
                    return one;
                });
            }
            lists.forEach(list -> list(list, own));
        }

        private void match(Path recording, Map<Integer, Box> own) throws IOException {
            if (firstList == null || firstList.size() > boxes.size()) {
                throw new IOException(recording
                        + ": lists other boxes than the recording before it; they can be "
                        + "read one by one only");
            }
            for (int i = 0; i < firstList.size(); i++) {
                var worker = firstList.get(i);
                var box = boxes.get(i);
                if (worker.kind() != box.kind || worker.zone() != box.zone || worker.cell() != box.cell) {
                    throw new IOException(recording + ": lists other boxes than the recording before it (the "
                            + "kinds, zones and cells differ at place " + (i + 1) + "); they can be read one "
                            + "by one only");
                }
                own.put(worker.number(), box);
            }
        }

        private void list(Entry.Listed list, Map<Integer, Box> own) {
            var absent = new HashMap<>(own);
            for (var worker : list.workers()) {
                absent.remove(worker.number());
                note(own.get(worker.number()), new Listing(list.at(), worker.state(), worker.startedAt()));
            }
            if (list.kind() == ListKind.COMPLETE) {
                absent.values().stream().filter(box -> !box.listings.isEmpty()).forEach(box -> {
                    var before = box.listings.get(box.listings.size() - 1);
                    note(box, new Listing(list.at(), WorkerState.GONE, before.startedAt()));
                });
            }
        }

        private static void note(Box box, Listing now) {
            var before = box.listings.isEmpty() ? null : box.listings.get(box.listings.size() - 1);
            if (before == null || before.state() != now.state() || before.startedAt() != now.startedAt()) {
                box.listings.add(now);
            }
        }
    }
}
