package ryemast.lab.it;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The packaged lab, called as from a shell; what it says goes to files in a folder of the test's. */
final class Command implements AutoCloseable {

    private static final long PATIENCE_S = 90;

    final Process process;
    final List<ProcessHandle> children = new ArrayList<>();
    private final Path out;
    private final Path err;

    Command(Path folder, String... args) throws IOException {
        var words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar", "lab/target/ryemast-lab.jar"));
        words.addAll(List.of(args));
        out = Files.createTempFile(folder, "out", ".txt");
        err = Files.createTempFile(folder, "err", ".txt");
        process = new ProcessBuilder(words).redirectOutput(out.toFile()).redirectError(err.toFile()).start();
    }

    int exitCode() throws InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("still runs; it said " + err());
        }
        return process.exitValue();
    }

    void until(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new AssertionError("waited in vain; it said " + err());
            }
            Thread.sleep(5);
        }
    }

    /** SIGINT, as Ctrl-C sends it; who its descendants were then is remembered. */
    void interrupt() throws IOException, InterruptedException {
        process.descendants().forEach(children::add);
        new ProcessBuilder("kill", "-INT", Long.toString(process.pid())).start().waitFor();
    }

    String out() {
        return text(out);
    }

    String err() {
        return text(err);
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static JsonObject json(Path file) throws IOException {
        return JsonParser.parseString(Files.readString(file)).getAsJsonObject();
    }

    @Override
    public void close() {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
    }
}
