package ryemast.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Assigns keys to members. The assignment depends on the names of the keys and the members alone, so that all
 * processes with the same names agree without communication.
 *
 * <p>A single key is assigned by highest random weight (Thaler and Ravishankar, "Using name-based mappings to
 * increase hit rates", 1998): when one of n members leaves, only its keys move. But the loads of 500 keys
 * over 8 members then have a standard deviation of about 12%, and the maximum is far beyond that. A list of
 * keys known to all is distributed evenly instead. Each member ranks the list by its weights for the keys,
 * and a key goes to the member that ranks it highest: as each member has each rank once, the deviation of
 * loads is a third lower than by the weights themselves, and still no other key moves when a member leaves.
 * Each member then accepts at most {@link #TOLERANCE} more than an even share and keeps, of the keys assigned
 * to it, those it ranks highest (deferred acceptance, Gale and Shapley 1962; bounded loads after Mirrokni,
 * Thorup and Zadimoghaddam 2018, in a form that does not depend on the order of the keys). Members that are
 * more than that below an even share are then filled up with the keys that lose the least weight.
 * docs/fleet.md has how many keys move.
 */
public final class KeyAssignment {

    /** Tolerance above and below an even share: a smaller one moves more keys when members change. */
    static final double TOLERANCE = 0.145;

    private final Map<String, String> owners;

    private KeyAssignment(Map<String, String> owners) {
        this.owners = owners;
    }

    /** The owner of a single key; null where there are no members. */
    public static String ownerOf(String key, FleetView view) {
        long keyHash = RendezvousHash.hash(key);
        String best = null;
        long bestWeight = 0;
        for (var member : view.members()) {
            long weight = RendezvousHash.weight(keyHash, RendezvousHash.hash(member));
            if (best == null || weight > bestWeight) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** All members in the order in which they would own a single key, each if those before it left. */
    public static List<String> successors(String key, FleetView view) {
        long keyHash = RendezvousHash.hash(key);
        var order = new ArrayList<>(view.members());
        order.sort((a, b) -> Long.compare(RendezvousHash.weight(keyHash, RendezvousHash.hash(b)),
                RendezvousHash.weight(keyHash, RendezvousHash.hash(a))));
        return order;
    }

    /** Assigns a list of keys known to all; their order and duplicates make no difference. */
    public static KeyAssignment assign(Collection<String> keys, FleetView view) {
        if (view.members().isEmpty()) {
            return new KeyAssignment(Map.of());
        }
        return new KeyAssignment(new Assigner(new ArrayList<>(new TreeSet<>(keys)), view.members()).assign());
    }

    /** Null for a key that is not on the list, or where there are no members. */
    public String owner(String key) {
        return owners.get(key);
    }

    /** The owners of all keys on the list. */
    public Map<String, String> asMap() {
        return Collections.unmodifiableMap(owners);
    }

    /** One assignment, by indexes of keys and members in the order of their names. */
    private static final class Assigner {

        /** The index of a key or a member, with the weight of one for the other. */
        private record Weighted(int index, long weight) {
        }

        private record Reassignment(int key, int to, long loss) implements Comparable<Reassignment> {

            @Override
            public int compareTo(Reassignment other) {
                int order = Long.compare(loss, other.loss);
                order = order != 0 ? order : Integer.compare(key, other.key);
                return order != 0 ? order : Integer.compare(to, other.to);
            }
        }

        private final List<String> keys;
        private final List<String> members;
        private final long[] keyHash;
        private final long[] memberHash;
        private final int[][] rank;
        private final int maxLoad;
        private final int minLoad;
        private final int[] owner;
        private final int[] load;

        Assigner(List<String> keys, List<String> members) {
            this.keys = keys;
            this.members = members;
            keyHash = keys.stream().mapToLong(RendezvousHash::hash).toArray();
            memberHash = members.stream().mapToLong(RendezvousHash::hash).toArray();
            rank = LongStream.of(memberHash).mapToObj(this::ranks).toArray(int[][]::new);
            double even = (double) keys.size() / members.size();
            maxLoad = (int) Math.max(Math.floor(even * (1 + TOLERANCE)), Math.ceil(even));
            minLoad = (int) Math.min(Math.ceil(even * (1 - TOLERANCE)), Math.floor(even));
            owner = new int[keys.size()];
            load = new int[members.size()];
        }

        Map<String, String> assign() {
            assignByRank();
            fillUnderloaded();
            var shared = new HashMap<String, String>(keys.size() * 2);
            for (int key = 0; key < owner.length; key++) {
                shared.put(keys.get(key), members.get(owner[key]));
            }
            return shared;
        }

        /** The ranks of the keys by their random weights for one member. */
        private int[] ranks(long member) {
            var sorted = LongStream.of(keyHash).map(key -> RendezvousHash.weight(key, member)).sorted()
                    .toArray();
            return LongStream.of(keyHash)
                    .mapToInt(key -> Arrays.binarySearch(sorted, RendezvousHash.weight(key, member)))
                    .toArray();
        }

        /** By rank; where two members have the same rank, by the random weight itself. */
        private long weight(int key, int member) {
            return (long) rank[member][key] << Integer.SIZE
                    | RendezvousHash.weight(keyHash[key], memberHash[member]) >>> Integer.SIZE - 1;
        }

        private void assignByRank() {
            var accepted = new ArrayList<PriorityQueue<Weighted>>();
            members.forEach(member ->
                    accepted.add(new PriorityQueue<>(Comparator.comparingLong(Weighted::weight)
                    .thenComparingInt(Weighted::index))));
            var lastChoice = new Weighted[owner.length];
            for (int each = 0; each < owner.length; each++) {
                for (int key = each; key >= 0; ) {
                    lastChoice[key] = nextChoice(key, lastChoice[key]);
                    int member = lastChoice[key].index();
                    owner[key] = member;
                    accepted.get(member).add(new Weighted(key, lastChoice[key].weight()));
                    key = accepted.get(member).size() > maxLoad ? accepted.get(member).poll().index() : -1;
                }
            }
            for (int member : owner) {
                load[member]++;
            }
        }

        /** The next member in the key's order of preference after the given one. */
        private Weighted nextChoice(int key, Weighted last) {
            int best = -1;
            long bestWeight = -1;
            for (int member = 0; member < memberHash.length; member++) {
                long weight = weight(key, member);
                boolean remaining = last == null || weight < last.weight()
                        || weight == last.weight() && member > last.index();
                if (remaining && weight > bestWeight) {
                    best = member;
                    bestWeight = weight;
                }
            }
            return new Weighted(best, bestWeight);
        }

        private void fillUnderloaded() {
            var shifts = new ArrayList<Reassignment>();
            for (int key = 0; key < owner.length; key++) {
                for (int member = 0; load[owner[key]] > minLoad && member < load.length; member++) {
                    if (load[member] < minLoad) {
                        shifts.add(new Reassignment(key, member,
                                weight(key, owner[key]) - weight(key, member)));
                    }
                }
            }
            // A heap instead of a sort, as most entries are never read.
            var byLoss = new PriorityQueue<>(shifts);
            int missing = IntStream.of(load).map(each -> Math.max(0, minLoad - each)).sum();
            var moved = new boolean[owner.length];
            while (missing > 0) {
                var each = byLoss.remove();
                int from = owner[each.key()];
                if (!moved[each.key()] && load[each.to()] < minLoad && load[from] > minLoad) {
                    moved[each.key()] = true;
                    missing--;
                    load[from]--;
                    load[each.to()]++;
                    owner[each.key()] = each.to();
                }
            }
        }
    }
}
