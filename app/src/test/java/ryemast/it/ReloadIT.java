package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.it.Platform.until;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** SIGHUP: the configuration file is read again while the program serves. */
@Timeout(60)
class ReloadIT {

    /** Guards a job in hand, and the file's new address against the variable of the start. */
    @Test
    void discoveryMovesAndNothingIsLost() throws Exception {
        try (var platform = new Platform(); var elsewhere = new Peer(platform::table)) {
            var client = platform.client();
            var txn = platform.job(client, "sticker", 10_000);
            platform.holder(txn);
            platform.reload(platform.configWith(elsewhere));
            until(() -> elsewhere.count("GET") == 1);
            assertEquals("GET /catalog/members?watch=1&from=0 HTTP/1.1",
                    elsewhere.received.element().start());
            platform.failTable();
            platform.done(txn, "in hand");
            assertEquals("in hand", client.read().body());

            platform.repairTable();
            long before = platform.discovery.count("GET");
            platform.reload(platform.configWith(platform.discovery));
            until(() -> platform.discovery.count("GET") == before + 1);
            platform.list("Gone Ready");
            platform.untilTheFirstGetsNothingNew(client);
            assertEquals(1, elsewhere.count("GET"));
        }
    }

    @Test
    void aFileThatCantBeUsedIsNamedAndChangesNothing() throws Exception {
        try (var platform = new Platform(); var elsewhere = new Peer(platform::table)) {
            platform.reload(platform.configWith(elsewhere).replace("\"sockets\":1024", "\"sockets\":5"));
            until(() -> platform.log.stream().anyMatch(line -> line.contains("limits.sockets")));
            platform.reload("{");
            until(() -> platform.log.stream().anyMatch(line -> line.contains("not valid JSON")));
            var client = platform.client();
            platform.done(platform.job(client, "load", 5_000), "x");
            assertEquals("200", client.read().status());
            assertEquals(0, elsewhere.count("GET"));
            assertTrue(platform.program().isAlive());
        }
    }
}
