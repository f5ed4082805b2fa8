package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import ryemast.lab.scenario.Scenario;
import ryemast.toml.TomlTable;

/** What a trial's file says of reservations, and the reservations file that says the same. */
final class ReservedTable {

    private static final double MICROS = 1e6;
    private static final double MOST = 1_000;
    private static final double A_DAY = 86_400;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,39}");

    private record Table(String name, String tenant, List<String> classes, double work, boolean capped,
            int rank, double from, double until) {
    }

    private final List<Table> tables = new ArrayList<>();
    private final double perWeight;
    private final double burst;
    private final double hold;
    private final double slack;
    private final double settled;
    private final double window;
    private final double less;
    private final double acts;
    private final double late;

    ReservedTable(TomlTable fleet, List<TomlTable> reservations, List<String> tenants, List<String> classes) {
        perWeight = fleet.number("clears_per_weight", 1, 0.001, MOST);
        burst = fleet.number("burst_s", 1, 0, MOST);
        hold = fleet.number("hold_s", 60, 0, MOST);
        slack = fleet.number("slack_s", 2, 0, MOST);
        settled = fleet.number("settled_s", 8, 0, MOST);
        window = fleet.number("held_s", 6, 0.1, MOST);
        less = fleet.number("held_less", 0.25, 0, 1);
        acts = fleet.number("acts_s", 3, 0.1, MOST);
        late = fleet.number("late_s", 8, 0, MOST);
        var names = new HashSet<String>();
        for (var in : reservations) {
            var name = in.text("name", "");
            if (!NAME.matcher(name).matches() || !names.add(name)) {
                in.complain("name", "is \"" + name + "\"; expected a name of its own of up to 40 letters,"
                        + " digits, dots, dashes or underscores, a letter or digit first");
            }
            tables.add(new Table(name, in.oneOf("tenant", tenants.isEmpty() ? "" : tenants.get(0), tenants),
                    in.words("classes", List.of(), classes), in.number("work_per_s", 1, 0.001, MOST),
                    in.flag("capped", false), (int) in.whole("rank", 0, 0, (long) MOST),
                    in.number("from_s", 0, 0, A_DAY), in.number("until_s", 0, 0, A_DAY)));
            var last = tables.get(tables.size() - 1);
            if (last.from >= last.until && (in.has("from_s") || in.has("until_s"))) {
                in.complain("until_s", "is " + last.until + "; expected more than from_s, " + last.from);
            }
        }
    }

    Trial.Reserved drawn(Scenario scenario) {
        if (tables.isEmpty()) {
            return Trial.Reserved.NONE;
        }
        var text = new StringBuilder(String.format(Locale.ROOT,
                "revision = 1%nclears_per_weight = %s%nburst_s = %s%nhold_s = %s%n", perWeight, burst,
                hold));
        var services = new ArrayList<Trial.Service>();
        var tenants = scenario.tenants().stream().map(Scenario.Tenant::name).toList();
        var classes = scenario.classes().stream().map(each -> each.name()).toList();
        for (var each : tables) {
            text.append(String.format(Locale.ROOT, "%n[[reservation]]%nname = \"%s\"%ntenant = \"%s\"%n"
                    + "work_per_s = %s%ncapped = %s%nrank = %d%n", each.name, each.tenant, each.work,
                    each.capped, each.rank));
            if (!each.classes.isEmpty()) {
                text.append("classes = [\"").append(String.join("\", \"", each.classes)).append("\"]\n");
            }
            var numbers = new HashSet<Integer>();
            each.classes.forEach(name -> numbers.add(classes.indexOf(name)));
            var service = new Trial.Service(each.name, tenants.indexOf(each.tenant), Set.copyOf(numbers),
                    each.work * MICROS, each.capped, each.rank, Math.round(each.from * MICROS),
                    Math.round(each.until * MICROS));
            text.append(service.mark());
            services.add(service);
        }
        return new Trial.Reserved(text.toString(), services, (burst + slack) * MICROS,
                Math.round(settled * MICROS), Math.round(window * MICROS), less, Math.round(acts * MICROS),
                Math.round(late * MICROS), perWeight * MICROS);
    }
}
