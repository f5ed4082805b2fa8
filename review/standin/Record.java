package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, a line each with the milliseconds since the begin: record.txt of a case. */
final class Record implements AutoCloseable {

    private final long began = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long now() {
        return (System.nanoTime() - began) / 1_000_000;
    }

    synchronized void add(String who, String what) {
        var line = String.format("%7d ms  %-12s %s", now(), who, what);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
