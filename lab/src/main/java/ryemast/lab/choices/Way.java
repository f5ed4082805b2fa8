package ryemast.lab.choices;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.UUID;
import ryemast.fleet.choices.Subset;

/** Ways to choose subsets: the program's own, and those of others that it is held against. */
enum Way {
    /** Finagle's deterministic aperture: members and workers lie evenly on two rings, and arcs overlap. */
    APERTURE("deterministic aperture") {
        @Override
        Uses all(List<String> members, Map<String, Double> workers, int room) {
            double weight = workers.values().stream().mapToDouble(each -> each).sum();
            int count = members.size();
            double width = Math.ceil(Subset.cover(count, workers.size(), room)) / count;
            var ring = ordered(workers, "ring");
            var uses = new Uses();
            for (int i = 0; i < count; i++) {
                var shares = new LinkedHashMap<String, Double>();
                double from = (double) i / count;
                double at = 0;
                for (var worker : ring) {
                    double end = at + workers.get(worker) / weight;
                    // The arc may go on beyond the end of the ring.
                    double common = overlap(at, end, from, from + width)
                            + overlap(at + 1, end + 1, from, from + width);
                    if (common > LEAST) {
                        shares.put(worker, common);
                    }
                    at = end;
                }
                uses.put(members.get(i), shares);
            }
            return uses;
        }
    },
    /** The chapter on load balancing of Google's SRE book: rounds of members over a shuffled list. */
    ROUNDS("deterministic subsetting") {
        @Override
        Uses all(List<String> members, Map<String, Double> workers, int room) {
            int size = size(members, workers, room);
            int inRound = workers.size() / size;
            var uses = new Uses();
            for (int i = 0; i < members.size(); i++) {
                var shuffled = new ArrayList<>(workers.keySet());
                Collections.shuffle(shuffled, new Random(i / inRound));
                int from = i % inRound * size;
                uses.put(members.get(i), weighted(shuffled.subList(from, from + size), workers));
            }
            return uses;
        }
    },
    /**
     * After "Reinventing Backend Subsetting at Google" (Ward, Wankadia and Guliani, ACM Queue 2022), as far
     * as remembered: in each lot the workers lie on a ring of their own in the order of their hashes, which
     * one more or less hardly changes, and members begin at the points of van der Corput's sequence.
     */
    RINGS("rings by lots") {
        @Override
        Uses all(List<String> members, Map<String, Double> workers, int room) {
            int size = size(members, workers, room);
            int lot = Integer.highestOneBit(Math.max(1, (workers.size() - 1) / size)) * 2;
            var uses = new Uses();
            List<String> ring = List.of();
            for (int i = 0; i < members.size(); i++) {
                ring = i % lot == 0 ? ordered(workers, "lot " + i / lot) : ring;
                double begin = (Integer.reverse(i % lot) & 0xffffffffL) * 0x1p-32;
                int from = (int) (begin * ring.size());
                var chosen = new ArrayList<String>();
                for (int j = 0; j < size; j++) {
                    chosen.add(ring.get((from + j) % ring.size()));
                }
                uses.put(members.get(i), weighted(chosen, workers));
            }
            return uses;
        }
    },
    /** Each member takes the workers of the highest weighted random weight, and uses them alike. */
    BY_MEMBER("rendezvous by member") {
        @Override
        Uses all(List<String> members, Map<String, Double> workers, int room) {
            int size = size(members, workers, room);
            var codes = new HashMap<String, Long>();
            workers.keySet().forEach(each -> codes.put(each, code(each)));
            var uses = new Uses();
            for (var member : members) {
                long own = code(member);
                var keys = new HashMap<String, Double>();
                workers.forEach((worker, weight) -> keys.put(worker,
                        -Math.log(1 - new SplittableRandom(own ^ codes.get(worker)).nextDouble()) / weight));
                var shares = new HashMap<String, Double>();
                workers.keySet().stream().sorted(Comparator.comparing(keys::get)).limit(size)
                        .forEach(each -> shares.put(each, 1.0));
                uses.put(member, shares);
            }
            return uses;
        }
    },
    /** The program's: each worker draws its members, who use it by its weight. */
    BY_WORKER("rendezvous by worker") {
        @Override
        Uses all(List<String> members, Map<String, Double> workers, int room) {
            var drawn = members.parallelStream()
                    .map(self -> Subset.select(self, members, workers, room).workersAt(0)).toList();
            var uses = new Uses();
            for (int i = 0; i < members.size(); i++) {
                uses.put(members.get(i), weighted(drawn.get(i), workers));
            }
            return uses;
        }
    };

    private static final double LEAST = 1e-12;

    final String words;

    Way(String words) {
        this.words = words;
    }

    /** What all members use; {@code members} are sorted, workers in any order that all know. */
    abstract Uses all(List<String> members, Map<String, Double> workers, int room);

    /** As many workers as the program's own way gives on average. */
    static int size(List<String> members, Map<String, Double> workers, int room) {
        double cover = Subset.cover(members.size(), workers.size(), room);
        return (int) Math.min(workers.size(), Math.round(cover * workers.size() / members.size()));
    }

    private static double overlap(double begin, double end, double from, double to) {
        return Math.max(0, Math.min(end, to) - Math.max(begin, from));
    }

    private static Map<String, Double> weighted(List<String> chosen, Map<String, Double> workers) {
        var shares = new HashMap<String, Double>();
        chosen.forEach(each -> shares.put(each, workers.get(each)));
        return shares;
    }

    private static List<String> ordered(Map<String, Double> workers, String salt) {
        var codes = new HashMap<String, Long>();
        workers.keySet().forEach(each -> codes.put(each, code(salt + " " + each)));
        return workers.keySet().stream().sorted(Comparator.comparing(codes::get)).toList();
    }

    private static long code(String text) {
        return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    }
}
