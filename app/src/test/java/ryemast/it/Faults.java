package ryemast.it;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Faults of the system in the program under test, by a small library that is preloaded: {@code faults.c}. */
final class Faults implements Closeable {

    static final int EMFILE = 24;
    static final int ENFILE = 23;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ENOBUFS = 105;

    private static final int WALL = 0;
    private static final int ACCEPT = 8;
    private static final int CONNECT = 16;
    private static final int SIZE = 24;

    private final Path folder = Files.createTempDirectory("ryemast-faults");
    private final Path library = folder.resolve("faults.so");
    private final Path file = folder.resolve("control");
    private final MappedByteBuffer control;

    Faults() throws Exception {
        var compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o",
                library.toString(), "app/src/test/c/faults.c", "-ldl").inheritIO().start();
        if (!compiler.waitFor(60, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("app/src/test/c/faults.c could not be compiled");
        }
        Files.write(file, new byte[SIZE]);
        try (var channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE);
        }
        control.order(ByteOrder.nativeOrder());
    }

    /** What the program's environment needs. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULTS_FILE", file.toString());
    }

    /** From now on the program's wall clock is ahead of the system's by so much. */
    void wallIsAheadBy(long seconds) {
        control.putLong(WALL, seconds);
    }

    /** So many of the next calls fail. */
    void acceptFails(int errno, int times) {
        control.putInt(ACCEPT, errno);
        control.putInt(ACCEPT + 4, times);
    }

    void connectFails(int errno, int times) {
        control.putInt(CONNECT, errno);
        control.putInt(CONNECT + 4, times);
    }

    /** How many of the failures that were asked for are still to come. */
    int acceptFailuresLeft() {
        return control.getInt(ACCEPT + 4);
    }

    int connectFailuresLeft() {
        return control.getInt(CONNECT + 4);
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(library);
        Files.deleteIfExists(file);
        Files.deleteIfExists(folder);
    }
}
