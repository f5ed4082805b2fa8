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

    /** The calls that can fail, in the order of {@code faults.c}. */
    enum Call { ACCEPT, CONNECT, READ, WRITE, PEER_READ, PEER_WRITE, WAKE_READ, WAKE_WRITE, WATCH, SOCKET,
        OPTION, LOG }

    /** In place of an error: the call moves one byte only. */
    static final int SHORT = -1;
    /** In place of an error: the call goes through, held up where a pause is given. */
    static final int NONE = 0;
    static final int EIO = 5;
    static final int EAGAIN = 11;
    static final int EINTR = 4;
    static final int ENOMEM = 12;
    static final int ENFILE = 23;
    static final int EMFILE = 24;
    static final int ENOSPC = 28;
    static final int EPIPE = 32;
    static final int EINVAL = 22;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ECONNRESET = 104;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int ECONNREFUSED = 111;
    static final int EHOSTUNREACH = 113;

    private static final int WALL = 0;
    private static final int SEED = 8;
    private static final int FIRST = 16;
    private static final int FAULT_SIZE = 16;
    private static final int LEFT = 4;
    private static final int ONE_IN = 8;
    private static final int PAUSE = 12;
    private static final int SEND_BUFFER = FIRST + FAULT_SIZE * Call.values().length;
    private static final int SIZE = SEND_BUFFER + Long.BYTES;

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

    /**
     * How much the kernel takes in for a peer that does not read, on connections that are accepted from now
     * on. On loopback, where a segment has 64 KB, it takes in far more than on a network.
     */
    void sendBuffer(int bytes) {
        control.putInt(SEND_BUFFER, bytes);
    }

    /** Which of the calls fail that fail by chance. */
    void seed(long seed) {
        control.putLong(SEED, seed);
    }

    private static int place(Call call) {
        return FIRST + FAULT_SIZE * call.ordinal();
    }

    /** So many of the next calls fail. */
    void fail(Call call, int error, int times) {
        control.putInt(place(call), error);
        control.putInt(place(call) + LEFT, times);
    }

    /** From now on one call in so many fails; 0 for none. */
    void failByChance(Call call, int error, int oneIn) {
        control.putInt(place(call), error);
        control.putInt(place(call) + ONE_IN, oneIn);
    }

    /** How long a call that is struck and goes through is held up, before and after. */
    void pause(Call call, int millis) {
        control.putInt(place(call) + PAUSE, millis);
    }

    /** How many of the failures that were asked for are still to come. */
    int left(Call call) {
        return control.getInt(place(call) + LEFT);
    }

    /** No call fails any more. */
    void none() {
        for (var call : Call.values()) {
            fail(call, NONE, 0);
            failByChance(call, NONE, 0);
            pause(call, 0);
        }
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(library);
        Files.deleteIfExists(file);
        Files.deleteIfExists(folder);
    }
}
