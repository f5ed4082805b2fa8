package ryemast.consul;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One element of an answer of the health API as it was read; filled in by its reader. */
final class Entry {

    /** One check of the service or of its node. */
    record Check(String id, String status, String notes, String output) {
    }

    String node;
    String nodeAddress;
    String datacenter;
    final Map<String, String> nodeMeta = new HashMap<>();
    String serviceId;
    String service;
    String serviceAddress;
    long port;
    Double passingWeight;
    Double warningWeight;
    long createIndex;
    final Map<String, String> serviceMeta = new HashMap<>();
    final List<Check> checks = new ArrayList<>();

    /** For complaints: what an operator would look for. */
    String name() {
        return serviceId == null ? "an entry without a service's ID" : serviceId;
    }
}
