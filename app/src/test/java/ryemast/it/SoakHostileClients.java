package ryemast.it;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Clients of a soak that send too much or too slowly, read nothing, or leave: of one kind in each run, drawn
 * from its seed apart from all else, so that what else a seed plays stays as it was.
 */
final class SoakHostileClients extends Thread {

    /** What the clients of a run do. */
    enum Kind {
        NONE,
        /** Stop half way through large requests, and stay. */
        UNFINISHED,
        /** Send a job and much behind it, and close. */
        DEPARTING,
        /** Send what is no request, or for no class, at full speed. */
        FLOODING,
        /** Send jobs with large results and read no answer. */
        UNREAD
    }

    /** The result of a job whose name begins so is large. */
    static final String LARGE_RESULT_PREFIX = "soak-large-";
    private static final int UNFINISHED_CLIENTS = 200;
    private static final int UNREAD_CLIENTS = 80;
    private static final int LARGEST_BODY = 64 * 1024;
    private static final int TAIL = 1_000_000;
    private static final int LONGEST_STAY_MS = 80;
    private static final int BATCH = 200;
    private static final int HELD_MS = 700;
    private static final int PAUSE_MS = 5;
    private static final long APART = 0x5EEDL << 32;

    private final SoakClient.Shared shared;
    private final SoakSettings.Lane lane;
    private final Random random;
    private final Kind kind;
    private final List<Socket> open = new ArrayList<>();
    private int jobs;

    SoakHostileClients(SoakClient.Shared shared, SoakSettings settings, Faults faults, long seed) {
        this.shared = shared;
        lane = settings.lanes().get(0);
        random = new Random(seed ^ APART);
        // Where the descriptors are few, a crowd of idle clients is there already.
        kind = settings.crowd() > 0 ? Kind.NONE : Kind.values()[random.nextInt(Kind.values().length)];
        if (kind == Kind.UNREAD) {
            NetworkBuffers.limit(faults);
        }
        setDaemon(true);
    }

    Kind kind() {
        return kind;
    }

    @Override
    public void run() {
        while (!shared.over && !shared.frontClosed && kind != Kind.NONE) {
            try {
                play();
                Thread.sleep(PAUSE_MS);
            } catch (IOException e) {
                // The program has ended the connection, or itself.
            } catch (InterruptedException e) {
                return;
            }
        }
        closeAll();
    }

    private void play() throws IOException, InterruptedException {
        switch (kind) {
            case UNFINISHED -> unfinished();
            case DEPARTING -> departs();
            case FLOODING -> floods();
            case UNREAD -> unread();
            default -> { }
        }
    }

    private void unfinished() throws IOException, InterruptedException {
        var body = "POST /api/k HTTP/1.1\r\nContent-Length: " + LARGEST_BODY + "\r\n\r\n"
                + "x".repeat(LARGEST_BODY - 1 - random.nextInt(LARGEST_BODY / 2));
        var fields = "POST /api/k HTTP/1.1\r\n" + "a:\n".repeat(4_000);
        var text = random.nextBoolean() ? body : fields;
        for (int i = 0; i < UNFINISHED_CLIENTS && !shared.frontClosed; i++) {
            write(connect(), text);
        }
        Thread.sleep(HELD_MS);
        closeAll();
    }

    private void departs() throws IOException, InterruptedException {
        var socket = connect();
        var txn = sendJob(socket, "soak-departs-");
        var part = random.nextBoolean() ? "?\r\n".repeat(1_000)
                : "POST /api/x HTTP/1.1\r\nContent-Length: " + LARGEST_BODY + "\r\n\r\n"
                + "x".repeat(LARGEST_BODY);
        var writer = new Thread(() -> writeOften(socket, part));
        writer.setDaemon(true);
        writer.start();
        Thread.sleep(random.nextInt(LONGEST_STAY_MS));
        closeAll();
        shared.rules.left(txn);
    }

    private static void writeOften(Socket socket, String part) {
        try {
            for (int written = 0; written < TAIL; written += part.length()) {
                write(socket, part);
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void floods() throws IOException {
        var socket = connect();
        var text = random.nextBoolean() ? "GET /nowhere HTTP/1.1\r\n\r\n"
                : "POST /api/k HTTP/1.1\r\nX-Lane: none\r\nContent-Length: 0\r\n\r\n";
        var part = text.repeat(BATCH);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_MS);
        var closer = new Thread(() -> closeAt(socket, until));
        closer.setDaemon(true);
        closer.start();
        while (System.nanoTime() < until) {
            write(socket, part);
        }
    }

    /** A write that nobody reads would wait for ever. */
    private static void closeAt(Socket socket, long until) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
            socket.close();
        } catch (IOException | InterruptedException e) {
            // It is closed.
        }
    }

    private void unread() throws IOException, InterruptedException {
        for (int i = 0; i < UNREAD_CLIENTS && !shared.frontClosed; i++) {
            if (open.size() <= i) {
                connect();
            }
            try {
                sendJob(open.get(i), LARGE_RESULT_PREFIX);
            } catch (IOException e) {
                open.remove(i).close();
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private String sendJob(Socket socket, String prefix) throws IOException {
        var txn = prefix + shared.process + "-" + ++jobs;
        shared.rules.submitted(txn, lane.effect(),
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lane.deadlineMs()));
        write(socket, "POST /api/k HTTP/1.1\r\nX-Txn: " + txn + "\r\nX-Lane: " + lane.name()
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: " + lane.deadlineMs()
                + "\r\nContent-Length: 0\r\n\r\n");
        return txn;
    }

    private Socket connect() throws IOException {
        var socket = NetworkBuffers.connect(shared.address.get());
        open.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void closeAll() {
        for (var each : open) {
            try {
                each.close();
            } catch (IOException e) {
                // It has ended already.
            }
        }
        open.clear();
    }
}
