package ryemast.consul;

import java.util.List;
import ryemast.core.Clock;
import ryemast.membership.HealthStatus;
import ryemast.membership.ListedWorker;
import ryemast.net.Addresses;

/**
 * Makes a worker of a catalogue entry: which of Consul's fields says what, and what its checks mean.
 *
 * <p>A service or node under maintenance drains: that is an order. A check that is critical takes work away,
 * one that warns takes some of it away, by the service's own weights where these differ. Zones and kinds are
 * given the settings' numbers, as those of the platform's discovery are.
 *
 * @param id       must be what workers call themselves in their call-backs
 * @param started  Unix time in milliseconds
 */
public record Mapping(Field id, Field kind, Field zone, Field cell, Field weight, Field started,
        List<String> zones,
        List<String> kinds) {

    private static final String SERVICE_MAINTENANCE = "_service_maintenance";
    private static final String NODE_MAINTENANCE = "_node_maintenance";
    private static final int LONGEST_WORDS = 120;

    /** An entry that lacks what a worker needs; the message names the key. */
    static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    ListedWorker worker(Entry entry) throws Unusable {
        var name = id.of(entry);
        if (name == null) {
            throw new Unusable(id + ": missing; it is to name the worker");
        }
        var check = worst(entry);
        var condition = check == null ? HealthStatus.PASSING : condition(check);
        return new ListedWorker(name, address(entry), condition, number(kinds, kind.of(entry)),
                number(zones, zone.of(entry)), (int) whole(cell, entry, 0, Integer.MAX_VALUE), weight(entry),
                Clock.ofUnixMillis(whole(started, entry, 0, Long.MAX_VALUE / Clock.MICROS_PER_MS)),
                entry.createIndex, warnedShare(entry), check == null ? "" : words(check));
    }

    /** The service's own address, else its node's; there are no names to look up. */
    private static String address(Entry entry) throws Unusable {
        boolean own = entry.serviceAddress != null && !entry.serviceAddress.isEmpty();
        var host = own ? entry.serviceAddress : entry.nodeAddress;
        var key = own ? "Service.Address" : "Node.Address";
        if (host == null || host.isEmpty()) {
            throw new Unusable(key + ": missing");
        }
        if (entry.port < 1 || entry.port > 65_535) {
            throw new Unusable("Service.Port: " + entry.port + "; expected 1 to 65535");
        }
        try {
            return Addresses.text(Addresses.parse((host.contains(":") ? "[" + host + "]" : host) + ":"
                    + entry.port));
        } catch (IllegalArgumentException e) {
            throw new Unusable(key + ": '" + host + "'; expected an IP address, as names are not looked up");
        }
    }

    private static int number(List<String> names, String name) {
        return name == null ? -1 : names.indexOf(name);
    }

    private static long whole(Field field, Entry entry, long otherwise, long most) throws Unusable {
        var text = field.of(entry);
        if (text == null) {
            return otherwise;
        }
        try {
            long found = Long.parseLong(text);
            if (found >= 0 && found <= most) {
                return found;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new Unusable(field + ": '" + text + "'; expected a whole number from 0 to " + most);
    }

    private double weight(Entry entry) throws Unusable {
        var text = weight.of(entry);
        if (text == null) {
            return 1;
        }
        try {
            double found = Double.parseDouble(text);
            if (found > 0 && found < Double.POSITIVE_INFINITY) {
                return found;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new Unusable(weight + ": '" + text + "'; expected a number above 0");
    }

    /** Consul's weights are 1 and 1 where nobody has said anything else. */
    private static double warnedShare(Entry entry) {
        boolean differ = entry.passingWeight != null && entry.warningWeight != null && entry.warningWeight > 0
                && entry.warningWeight < entry.passingWeight;
        return differ ? entry.warningWeight / entry.passingWeight : 0;
    }

    /** The check that allows least; null where all are passing, or there is none. */
    private static Entry.Check worst(Entry entry) {
        Entry.Check worst = null;
        for (var each : entry.checks) {
            if (condition(each) != HealthStatus.PASSING
                    && (worst == null || condition(each).compareTo(condition(worst)) > 0)) {
                worst = each;
            }
        }
        return worst;
    }

    /**
     * A status that nobody knows takes work away: something is said of the worker, and it is not that it
     * passes.
     */
    private static HealthStatus condition(Entry.Check check) {
        if (check.id() != null
                && (check.id().startsWith(SERVICE_MAINTENANCE) || check.id().equals(NODE_MAINTENANCE))) {
            return HealthStatus.DRAINING;
        }
        return switch (check.status() == null ? "" : check.status()) {
            case "passing" -> HealthStatus.PASSING;
            case "warning" -> HealthStatus.WARNING;
            default -> HealthStatus.CRITICAL;
        };
    }

    private static String words(Entry.Check check) {
        var said = condition(check) == HealthStatus.DRAINING ? check.notes() : check.output();
        var text = check.id() + (said == null || said.isBlank() ? "" : ": " + said.strip());
        var line = text.codePoints().map(c -> Character.isISOControl(c) ? ' ' : c)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
        return line.length() <= LONGEST_WORDS ? line : line.substring(0, LONGEST_WORDS - 3) + "...";
    }
}
