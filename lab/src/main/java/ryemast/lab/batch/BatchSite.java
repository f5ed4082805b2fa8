package ryemast.lab.batch;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.Remote;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Ending;
import ryemast.lab.sockets.Folders;
import ryemast.tools.Authority;

/**
 * An emulated site whose one dispatcher takes batches: its keys, its store's folder, its operator file, and
 * submitters' connections. The site's own clients run beside, as the scenario has it.
 */
final class BatchSite implements AutoCloseable {

    static final String PACK = "build-pack";
    static final String STICKER = "award-sticker";
    static final String ACCOUNT = "district";
    private static final String HOST = "127.0.0.1";
    private static final Duration GOOD = Duration.ofDays(1);

    private final EmulatedSite site;
    private final Path folder;
    private final boolean ownFolder;
    private final int port;
    private final Authority authority;
    private final List<Remote> remotes = new ArrayList<>();
    private final AtomicReference<Ending> ending = new AtomicReference<>();
    private Thread runner;

    /**
     * @param logs  where logs, keys and the store go; null: a temporary folder, which goes with the site
     * @param more  further lines of the operator file's section about batches
     */
    BatchSite(Scenario scenario, BatchBooks books, Path logs, String more, List<String> jvmArgs, boolean pin)
            throws IOException {
        ownFolder = logs == null;
        folder = ownFolder ? Files.createTempDirectory("ryemast-batch") : Files.createDirectories(logs);
        authority = new Authority(folder.resolve("keys"));
        authority.make(GOOD, false);
        authority.server(List.of(HOST, "localhost"), GOOD, false);
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = socket.getLocalPort();
        }
        var lines = "[batch]\nlisten = \"" + HOST + ":" + port + "\"\nfolder = \""
                + folder.resolve("store").toAbsolutePath() + "\"\nkeys_folder = \""
                + folder.resolve("keys").toAbsolutePath() + "\"\n" + more;
        var options = EmulatedSite.Options.standard().withFolder(folder.resolve("site")).withOperator(lines)
                .withOthers(books).withJvmArgs(jvmArgs);
        site = new EmulatedSite(scenario, pin ? options.pinned() : options);
    }

    EmulatedSite site() {
        return site;
    }

    Path folder() {
        return folder;
    }

    /** Starts it all; clients come from here on. */
    void start() throws IOException {
        site.start();
        runner = new Thread(() -> ending.set(site.run(progress -> { })), "site");
        runner.setDaemon(true);
        runner.start();
    }

    /** How the clients' run ended; null: it goes on. */
    Ending ending() {
        return ending.get();
    }

    /** Waits until the clients' run is over. */
    void join() throws InterruptedException {
        runner.join();
    }

    /** A submitter's folder of keys. */
    Path keys(String submitter) throws IOException {
        var own = folder.resolve("keys/submitters").resolve(submitter);
        return Files.exists(own) ? own : authority.submitter(submitter, ACCOUNT, GOOD, false);
    }

    Authority authority() {
        return authority;
    }

    String contact(String submitter, String session) throws IOException {
        return new Contact(HOST, port, session, keys(submitter).toAbsolutePath()).toString();
    }

    /** A submitter's connection, which is made when it is first needed. */
    Remote remote(String submitter, String session, long patienceMs) throws IOException, DrmaaException {
        var made = new Remote(Contact.of(contact(submitter, session)), patienceMs);
        synchronized (remotes) {
            remotes.add(made);
        }
        return made;
    }

    @Override
    public void close() {
        synchronized (remotes) {
            remotes.forEach(Remote::close);
        }
        site.interrupt();
        try {
            if (runner != null) {
                runner.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        site.close();
        if (ownFolder) {
            Folders.delete(folder);
        }
    }
}
