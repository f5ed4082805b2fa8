package ryemast.consul;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.StringJoiner;

/** The paths of the calls, with what the operator wants of all of them. */
final class Targets {

    private final ConsulSettings settings;

    Targets(ConsulSettings settings) {
        this.settings = settings;
    }

    String health(String service) {
        return target("/v1/health/service/" + encoded(service), settings.mode(), settings.filter());
    }

    String services() {
        return target("/v1/catalog/services", settings.mode(), null);
    }

    /** As the leader knows it for sure, whatever the operator's mode is. */
    String registered(String service) {
        return target("/v1/catalog/service/" + encoded(service), ConsulSettings.Mode.CONSISTENT, null);
    }

    private String target(String path, ConsulSettings.Mode mode, String filter) {
        var query = new StringJoiner("&", path + "?", "").setEmptyValue(path);
        if (mode != ConsulSettings.Mode.DEFAULT) {
            query.add(mode.name().toLowerCase(Locale.ROOT));
        }
        if (settings.datacentre() != null) {
            query.add("dc=" + encoded(settings.datacentre()));
        }
        if (filter != null) {
            query.add("filter=" + encoded(filter));
        }
        return query.toString();
    }

    static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
