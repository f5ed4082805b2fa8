package ryemast.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import ryemast.membership.HealthStatus;
import ryemast.membership.ListedWorker;
import ryemast.net.Bytes;

class ReadersTest {

    private static final String ENTRY = """
            {"Node":{"ID":"40e4","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1",
              "TaggedAddresses":null,
              "Meta":{"rack":"r7"},"CreateIndex":3,"ModifyIndex":4},
             "Service":{"ID":"s-1","Service":"puzzle-box","Tags":["a"],"Address":"",
              "Meta":{"kind":"m2","zone":"b",
              "cell":"3","started_ms":"1700000000123"},"Port":8000,"Weights":{"Passing":10,"Warning":4},
              "Proxy":{"x":[{}]},"CreateIndex":17,"ModifyIndex":18},
             "Checks":[{"CheckID":"serfHealth","Status":"passing","Output":"fine","Notes":null},
              {"CheckID":"service:s-1","Status":"passing","Output":"","ServiceID":"s-1"}]}""";

    private static Mapping mapping(String id) {
        return new Mapping(new Field(id), new Field("meta:kind"), new Field("meta:zone"),
                new Field("meta:cell"),
                new Field("weights"), new Field("meta:started_ms"), List.of("a", "b"), List.of("m1", "m2"));
    }

    private static HealthReader.Answer read(String... entries) throws IOException {
        return new HealthReader(mapping("service-id"))
                .read(new StringReader("[" + String.join(",", entries) + "]"));
    }

    private static ListedWorker one(String entry) throws IOException {
        var answer = read(entry);
        assertEquals(List.of(), answer.complaints());
        return answer.workers().get(0);
    }

    @Test
    void anEntryIsAWorker() throws IOException {
        assertEquals(new ListedWorker("s-1", "10.1.10.12:8000", HealthStatus.PASSING, 1, 1, 3, 10,
                1_700_000_000_123_000L, 17,
                0.4, ""), one(ENTRY));
        var bare = one("{\"Node\":{\"Address\":\"::1\"},\"Service\":{\"ID\":\"x\",\"Port\":1},"
                + "\"Checks\":null}");
        assertEquals(new ListedWorker("x", "[0:0:0:0:0:0:0:1]:1", HealthStatus.PASSING, -1, -1, 0, 1, 0, 0, 0,
                ""),
                bare);
        assertEquals("10.9.9.9:8000",
                one(ENTRY.replace("\"Address\":\"\"", "\"Address\":\"10.9.9.9\"")).address());
        assertEquals(0,
                new HealthReader(mapping("service-id")).read(new StringReader("null")).workers().size());
    }

    @Test
    void checksBecomeConditionsAndTheStrictestCounts() throws IOException {
        var warns =
                ENTRY.replace("\"Status\":\"passing\",\"Output\":\"\"",
                "\"Status\":\"warning\",\"Output\":\"hot\\n!\"");
        assertEquals(HealthStatus.WARNING, one(warns).status());
        assertEquals("service:s-1: hot !", one(warns).reason());
        var critical = warns.replace("\"Status\":\"passing\"", "\"Status\":\"critical\"");
        assertEquals("serfHealth: fine", one(critical).reason());
        assertEquals(HealthStatus.CRITICAL, one(critical).status());
        for (var id : List.of("_node_maintenance", "_service_maintenance:s-1")) {
            var drained = one(critical.replace("\"Checks\":[", "\"Checks\":[{\"CheckID\":\"" + id
                    + "\",\"Status\":\"critical\",\"Notes\":\"new disk\"},"));
            assertEquals(HealthStatus.DRAINING, drained.status());
            assertEquals(id + ": new disk", drained.reason());
        }
        assertEquals(HealthStatus.CRITICAL, one(warns.replace("warning", "odd")).status());
    }

    @Test
    void theIdStandsWhereTheOperatorSays() throws IOException {
        for (var each : List.of("service-id=s-1", "node/service-id=foobar/s-1", "meta:kind=m2",
                "node-meta:rack=r7",
                "service=puzzle-box", "datacenter=dc1")) {
            var words = each.split("=");
            var answer = new HealthReader(mapping(words[0])).read(new StringReader("[" + ENTRY + "]"));
            assertEquals(words[1], answer.workers().get(0).id());
        }
        for (var bad : List.of("", "meta", "meta:", "meta:a b", "a/b/c", "node/")) {
            assertTrue(assertThrows(IllegalArgumentException.class, () -> new Field(bad)).getMessage()
                    .contains("is not one of service-id"), bad);
        }
    }

    @Test
    void anEntryThatLacksSomethingIsNamedAndTheOthersAreFollowed() throws IOException {
        var faults = List.of("\"ID\":\"s-1\"|\"Id\":\"s-1\"|service-id: missing", "8000|0|Service.Port: 0",
                "10.1.10.12|some.host|Node.Address: 'some.host'; expected an IP address",
                "\"3\"|\"c\"|meta:cell: 'c'",
                "1700000000123|soon|meta:started_ms: 'soon'", "\"Passing\":10|\"Passing\":0|weights: '0.0'",
                "\"Address\":\"10.1.10.12\"|\"A\":1|Node.Address: missing");
        for (var each : faults) {
            var parts = each.split("\\|");
            var answer =
                    read(ENTRY.replace("s-1", "s-0"), ENTRY.replace(parts[0], parts[1]),
                    ENTRY.replace("s-1", "s-2"));
            assertEquals(List.of("s-0", "s-2"), answer.workers().stream().map(ListedWorker::id).toList(),
                    each);
            assertTrue(answer.complaints().get(0).startsWith("[1] ")
                    && answer.complaints().get(0).contains(parts[2]), answer.complaints()::toString);
        }
    }

    @Test
    void whatIsNoAnswerIsAnError() {
        for (var bad : List.of("", "{}", "[", "[{]", "[]x", "[1]", "[{\"Node\":[]}]", "[{\"Checks\":{}}]",
                "[{\"Service\":{\"Port\":\"x\"}}]")) {
            assertThrows(IOException.class,
                    () -> new HealthReader(mapping("service-id")).read(new StringReader(bad)), bad);
            assertThrows(IOException.class,
                    () -> CatalogReader.workers(new StringReader("{" + bad), new Field("node")));
            assertThrows(IOException.class, () -> CatalogReader.services(new StringReader("[" + bad), "t"));
        }
    }

    @Test
    void theCatalogueNamesServicesAndWorkers() throws IOException {
        assertEquals(List.of("a", "c"), CatalogReader.services(
                new StringReader("{\"c\":[\"x\",\"t\"],\"b\":[],\"a\":[\"t\"]}"), "t"));
        var text = "[{\"Node\":\"n\",\"ServiceID\":\"s-1\",\"ServiceMeta\":{\"k\":\"v\"},\"Weights\":{}},"
                + "{\"Node\":\"m\","
                + "\"ServiceID\":\"s-2\",\"NodeMeta\":null}]";
        assertEquals(Set.of("s-1", "s-2"),
                CatalogReader.workers(new StringReader(text), new Field("service-id")));
        assertEquals(Set.of("v"), CatalogReader.workers(new StringReader(text), new Field("meta:k")));
    }

    @Property(seed = "21", tries = 3000)
    void aGarbledAnswerIsReadOrNamedAndNothingElse(@ForAll long seed) {
        var garbled = Bytes.garbage(("[" + ENTRY + "]").getBytes(StandardCharsets.UTF_8), seed);
        var text = new String(garbled, StandardCharsets.ISO_8859_1);
        try {
            new HealthReader(mapping("node/service-id")).read(new StringReader(text));
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
        try {
            CatalogReader.workers(new StringReader(text), new Field("node"));
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }
}
