package ryemast.lab.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LaunchTest {

    private static final int PATIENCE_S = 10;

    @Test
    void aProgramEndsWithThePipeThatItsStarterHolds() throws Exception {
        var words = new Launch(Path.of("."), "exec sleep 1000").words(null, 256);
        var process = new ProcessBuilder(words).start();
        try {
            assertTrue(process.isAlive());
            // As the kernel does for a starter that is killed outright.
            process.getOutputStream().close();
            assertTrue(process.waitFor(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(128 + 9, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void moreArgumentsGoBehindThoseThereAre() {
        assertEquals("exec java -Xmx80m -Xmx99m -jar a.jar serve",
                Launch.withArgs("exec java -Xmx80m -jar a.jar serve", List.of("-Xmx99m")));
    }

    @Test
    void listsOfProcessorsAreReadAsTheKernelWritesThem() {
        assertEquals(List.of(0, 1, 2, 6), Cores.parsed("0-2,6"));
    }
}
