package ryemast.lab.consul;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.lab.world.Timeline;

/** What is registered: nodes, services on them, checks of either. Owned by {@link ConsulState}. */
final class Registered {

    private Registered() {
    }

    static final class Node {
        final String name;
        String id = "";
        String address = "127.0.0.1";
        final Map<String, String> meta = new TreeMap<>();
        final Map<String, Service> services = new TreeMap<>();
        /** Of the node itself. */
        final Map<String, Check> checks = new TreeMap<>();
        long createIndex;
        long modifyIndex;

        Node(String name) {
            this.name = name;
        }
    }

    static final class Service {
        final Node node;
        final String id;
        String name;
        List<String> tags = List.of();
        /** Empty: that of the node. */
        String address = "";
        int port;
        Map<String, String> meta = Map.of();
        int passingWeight = 1;
        int warningWeight = 1;
        final Map<String, Check> checks = new TreeMap<>();
        long createIndex;
        long modifyIndex;
        /** As the health API shows it; null once something of it has changed. */
        String rendered;

        Service(Node node, String id) {
            this.node = node;
            this.id = id;
        }

        /** Those of its node come first, as in Consul's answers. */
        List<Check> allChecks() {
            var all = new ArrayList<>(node.checks.values());
            all.addAll(checks.values());
            return all;
        }
    }

    static final class Check {
        final String id;
        String name = "";
        String status = "critical";
        String notes = "";
        String output = "";
        String type = "";
        /** Null for a node's. */
        Service service;
        long timeToLive;
        long deregisterAfter;
        Timeline.Timer lapse;
        Timeline.Timer removal;
        long createIndex;
        long modifyIndex;

        Check(String id) {
            this.id = id;
        }

        void stop() {
            if (lapse != null) {
                lapse.cancel();
            }
            if (removal != null) {
                removal.cancel();
            }
        }
    }
}
