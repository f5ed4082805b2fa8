package ryemast.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigTest {

    private static final String VALID = "{'name':'n3','listen':'127.0.0.1:0','discovery':'127.0.0.1:8500',"
            + "'seed':'8c1f30d27a5be964','limits':{'sockets':512},"
            + "'known':{'version':4,'full':true,'servers':[]},"
            + "'settings':{'resolution':5000,'models':['m'],'areas':['z'],'parties':[{'name':'acme'}],"
            + "'allowed':{'conn_idle':4000000},'categories':[{'name':'load','effect':'free'}]}}";

    @TempDir
    private Path folder;

    private Config read(String json, String... more) throws ConfigException, IOException {
        var file = folder.resolve("config.json");
        Files.writeString(file, json.replace('\'', '"'));
        return Config.read(more.length == 0 ? Map.of("BALANCER_CONFIG", file.toString())
                : Map.of("BALANCER_CONFIG", file.toString(), more[0], more[1]), Tuning.DEFAULT);
    }

    private void complains(String about, String json, String... more) {
        var message = assertThrows(ConfigException.class, () -> read(json, more), json).getMessage();
        assertTrue(message.startsWith(about), message);
    }

    @Test
    void aValidFileIsReadAndCompletedWithDefaults() throws Exception {
        var config = read(VALID);
        assertEquals("n3", config.name());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(512, config.sockets());
        assertEquals(List.of("load"), config.lanes());
        assertEquals(List.of("acme"), config.orgs());
        assertEquals(4, config.known().version());
        assertEquals(4_000_000, config.connIdle());
        assertEquals(250_000, config.connectLimit());
        assertEquals(20_000, config.grace());
        assertEquals(Integer.MAX_VALUE, config.maxOpen());
    }

    @Test
    void theEnvironmentComesBeforeTheFile() throws Exception {
        assertEquals(9, read(VALID, "BALANCER_LISTEN", "127.0.0.1:9").listen().getPort());
        complains("BALANCER_LISTEN", VALID, "BALANCER_LISTEN", "nowhere");
    }

    @Test
    void readAgainTheFileSaysWhereDiscoveryIs() throws Exception {
        var file = folder.resolve("config.json");
        var given = Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_DISCOVERY", "127.0.0.1:9",
                "BALANCER_LISTEN", "127.0.0.1:10");
        Files.writeString(file, VALID.replace('\'', '"'));
        assertEquals(9, Config.read(given, Tuning.DEFAULT).discovery().getPort());
        assertEquals(8500, Config.readAgain(given, Tuning.DEFAULT).discovery().getPort());
        assertEquals(10, Config.readAgain(given, Tuning.DEFAULT).listen().getPort());
        Files.writeString(file, VALID.replace('\'', '"').replace("discovery", "other"));
        assertEquals(9, Config.readAgain(given, Tuning.DEFAULT).discovery().getPort());
    }

    @Test
    void theFaultyKeyIsNamed() {
        var unset = assertThrows(ConfigException.class, () -> Config.read(Map.of(), Tuning.DEFAULT));
        assertTrue(unset.getMessage().startsWith("BALANCER_CONFIG"));
        complains("BALANCER_CONFIG", "{");
        complains("BALANCER_CONFIG", "[]");
        complains("listen", VALID.replace("127.0.0.1:0", "some.host:1"));
        complains("discovery", VALID.replace("'discovery'", "'other'"));
        complains("seed", VALID.replace("8c1f", "what"));
        complains("limits.sockets", VALID.replace("512", "5"));
        complains("known", VALID.replace("'servers'", "'other'"));
        complains("settings", VALID.replace("'settings'", "'other'"));
        complains("settings.categories", VALID.replace("'categories'", "'other'"));
        complains("settings.categories[0].name", VALID.replace("'name':'load',", ""));
        complains("settings: unknown effect", VALID.replace("free", "odd"));
        complains("settings.parties", VALID.replace("[{'name':'acme'}]", "7"));
        complains("settings.models", VALID.replace("['m']", "[1]"));
        complains("settings.allowed.conn_idle", VALID.replace("4000000", "'x'"));
    }
}
