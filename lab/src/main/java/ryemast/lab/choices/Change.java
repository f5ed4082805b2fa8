package ryemast.lab.choices;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What may change in a fleet, each as seen by the members that stay. */
enum Change {
    MEMBER_JOINS("a member joins"), MEMBER_LEAVES("a member leaves"),
    TENTH_AWAY("a tenth of the members is away"), WORKER_JOINS("a worker joins"),
    WORKER_LEAVES("a worker leaves"), HALF_REPLACED("half of the workers are replaced");

    final String words;

    Change(String words) {
        this.words = words;
    }

    /** Sorted, and with gaps for a newcomer's name. */
    static List<String> members(int count) {
        var members = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            members.add(String.format(Locale.ROOT, "member-%04d", i));
        }
        return members;
    }

    /** Of four weights, 1 to 4, sorted by name. */
    static Map<String, Double> workers(int count) {
        var workers = new TreeMap<String, Double>();
        for (int i = 0; i < count; i++) {
            workers.put(String.format(Locale.ROOT, "worker-%04d", i), 1.0 + i % 4);
        }
        return workers;
    }

    List<String> members(List<String> before) {
        var after = new ArrayList<>(before);
        int middle = before.size() / 2;
        switch (this) {
            case MEMBER_JOINS -> after.add(middle, before.get(middle) + "-newcomer");
            case MEMBER_LEAVES -> after.remove(middle);
            // As a planned restart takes them, one after the other by name.
            case TENTH_AWAY -> after.subList(middle, middle + Math.max(1, before.size() / 10)).clear();
            default -> { }
        }
        return after;
    }

    Map<String, Double> workers(Map<String, Double> before) {
        var after = new LinkedHashMap<String, Double>();
        int i = 0;
        for (var each : before.entrySet()) {
            boolean middle = i == before.size() / 2;
            if (this == HALF_REPLACED && i % 2 == 1) {
                after.put(each.getKey() + "-new", each.getValue());
            } else if (this != WORKER_LEAVES || !middle) {
                after.put(each.getKey(), each.getValue());
            }
            if (this == WORKER_JOINS && middle) {
                after.put(each.getKey() + "-newcomer", each.getValue());
            }
            i++;
        }
        return after;
    }
}
