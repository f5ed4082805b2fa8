package ryemast.lab.choices;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Which part of its work each member gives to each worker that it uses, by a way of choosing. */
final class Uses {

    private final Map<String, Map<String, Double>> byMember = new LinkedHashMap<>();

    /** Shares by any measure; they are scaled to 1. */
    void put(String member, Map<String, Double> shares) {
        double sum = shares.values().stream().mapToDouble(each -> each).sum();
        var scaled = new HashMap<String, Double>();
        shares.forEach((worker, share) -> scaled.put(worker, share / sum));
        byMember.put(member, scaled);
    }

    Set<String> of(String member) {
        return byMember.getOrDefault(member, Map.of()).keySet();
    }

    int assignments() {
        return byMember.values().stream().mapToInt(Map::size).sum();
    }

    /** How even it is. Loads are over the one by weight, which is 1 where all is even. */
    record Evenness(double busiest, double idlest, int fewest, int most, int smallest, int largest) {
    }

    Evenness evenness(Map<String, Double> workers) {
        double weight = workers.values().stream().mapToDouble(each -> each).sum();
        var load = new HashMap<String, Double>();
        var connections = new HashMap<String, Integer>();
        byMember.values().forEach(shares -> shares.forEach((worker, share) -> {
            load.merge(worker, share / byMember.size(), Double::sum);
            connections.merge(worker, 1, Integer::sum);
        }));
        var loads = workers.entrySet().stream()
                .mapToDouble(each -> load.getOrDefault(each.getKey(), 0.0) / each.getValue() * weight)
                .summaryStatistics();
        var counts = workers.keySet().stream().mapToInt(each -> connections.getOrDefault(each, 0))
                .summaryStatistics();
        var sizes = byMember.values().stream().mapToInt(Map::size).summaryStatistics();
        return new Evenness(loads.getMax(), loads.getMin(), counts.getMin(), counts.getMax(), sizes.getMin(),
                sizes.getMax());
    }

    /** Connections that members who were there before must open, over all there were. */
    double moved(Uses after) {
        long opened = 0;
        for (var member : byMember.keySet()) {
            var before = of(member);
            opened += after.of(member).stream().filter(worker -> !before.contains(worker)).count();
        }
        return (double) opened / assignments();
    }
}
