package ryemast.lab.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import ryemast.lab.consul.Registered.Check;
import ryemast.lab.consul.Registered.Node;
import ryemast.lab.consul.Registered.Service;

/** What is registered, as Consul's API shows it. */
final class ConsulJson {

    static final String DATACENTRE = "dc1";

    private ConsulJson() {
    }

    /** One element of {@code /v1/health/service/:name}. */
    static String health(Service service, ConsulView view) {
        if (view == ConsulView.PLAIN && service.rendered != null) {
            return service.rendered;
        }
        var entry = new JsonObject();
        entry.add("Node", node(service.node));
        entry.add("Service", service(service, view));
        var checks = new JsonArray();
        service.allChecks().forEach(each -> checks.add(check(service.node, each)));
        entry.add("Checks", checks);
        var text = entry.toString();
        if (view == ConsulView.PLAIN) {
            service.rendered = text;
        }
        return text;
    }

    static JsonObject node(Node node) {
        var json = new JsonObject();
        json.addProperty("ID", node.id);
        json.addProperty("Node", node.name);
        json.addProperty("Address", node.address);
        json.addProperty("Datacenter", DATACENTRE);
        json.add("TaggedAddresses", texts(Map.of("lan", node.address, "wan", node.address)));
        json.add("Meta", texts(node.meta));
        json.addProperty("CreateIndex", node.createIndex);
        json.addProperty("ModifyIndex", node.modifyIndex);
        return json;
    }

    static JsonObject service(Service service, ConsulView view) {
        var json = new JsonObject();
        json.addProperty("ID", service.id);
        json.addProperty("Service", service.name);
        json.add("Tags", texts(service.tags));
        json.addProperty("Address", host(service, view));
        json.add("TaggedAddresses", new JsonObject());
        json.add("Meta", texts(service.meta));
        json.addProperty("Port", port(service, view));
        json.add("Weights", weights(service));
        json.addProperty("EnableTagOverride", false);
        json.addProperty("CreateIndex", service.createIndex);
        json.addProperty("ModifyIndex", service.modifyIndex);
        return json;
    }

    /** One element of {@code /v1/catalog/service/:name}. */
    static JsonObject catalogue(Service service, ConsulView view) {
        var json = node(service.node);
        json.remove("Meta");
        json.add("NodeMeta", texts(service.node.meta));
        json.addProperty("ServiceID", service.id);
        json.addProperty("ServiceName", service.name);
        json.add("ServiceTags", texts(service.tags));
        json.addProperty("ServiceAddress", host(service, view));
        json.add("ServiceMeta", texts(service.meta));
        json.addProperty("ServicePort", port(service, view));
        json.add("ServiceWeights", weights(service));
        json.addProperty("ServiceEnableTagOverride", false);
        json.addProperty("CreateIndex", service.createIndex);
        json.addProperty("ModifyIndex", service.modifyIndex);
        return json;
    }

    static JsonObject check(Node node, Check check) {
        var json = new JsonObject();
        json.addProperty("Node", node.name);
        json.addProperty("CheckID", check.id);
        json.addProperty("Name", check.name);
        json.addProperty("Status", check.status);
        json.addProperty("Notes", check.notes);
        json.addProperty("Output", check.output);
        json.addProperty("ServiceID", check.service == null ? "" : check.service.id);
        json.addProperty("ServiceName", check.service == null ? "" : check.service.name);
        json.add("ServiceTags", texts(check.service == null ? List.of() : check.service.tags));
        json.addProperty("Type", check.type);
        json.add("Definition", new JsonObject());
        json.addProperty("CreateIndex", check.createIndex);
        json.addProperty("ModifyIndex", check.modifyIndex);
        return json;
    }

    private static String host(Service service, ConsulView view) {
        var address = view.address(service.id);
        return address == null ? service.address : address.getAddress().getHostAddress();
    }

    private static int port(Service service, ConsulView view) {
        var address = view.address(service.id);
        return address == null ? service.port : address.getPort();
    }

    private static JsonObject weights(Service service) {
        var json = new JsonObject();
        json.addProperty("Passing", service.passingWeight);
        json.addProperty("Warning", service.warningWeight);
        return json;
    }

    static JsonArray texts(Collection<String> texts) {
        var array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }

    static JsonElement texts(Map<String, String> texts) {
        var object = new JsonObject();
        texts.forEach((key, value) -> object.add(key, new JsonPrimitive(value)));
        return object;
    }
}
