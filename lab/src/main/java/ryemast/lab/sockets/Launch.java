package ryemast.lab.sockets;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;

/**
 * How dispatchers are started: a shell's command, run in the repository's root as the platform does it.
 *
 * <p>No dispatcher outlives this process, however that ends: beside the program, its shell leaves a watcher
 * behind that reads a pipe held open here. When the pipe ends, even by SIGKILL, the watcher kills the
 * program; it knows it by process id and start time, so that no later process of that id is struck.
 *
 * @param root     where the command runs
 * @param command  such as {@code run} in {@code deploy/balancer.toml}; it should {@code exec} the program, so
 *                 that signals reach that and not a shell
 */
record Launch(Path root, String command) {

    private static final String DEPLOY = "deploy/balancer.toml";
    private static final String JAR = "app/target/ryemast.jar";

    /** As {@code deploy/balancer.toml} says, in the repository around the working folder or this program. */
    static Launch standard(List<String> jvmArgs) throws IOException {
        var root = findRoot();
        var deploy = root.resolve(DEPLOY);
        var run = Toml.parse(deploy).getString("run");
        if (run == null) {
            throw new IOException(deploy + ": run: missing; it says how a dispatcher is started");
        }
        if (!Files.exists(root.resolve(JAR))) {
            throw new IOException(root.resolve(JAR) + " is missing; build it first: mvn -DskipTests package");
        }
        return new Launch(root, withArgs(run, jvmArgs));
    }

    /** The later one of two flags counts, so that these go behind all others. */
    static String withArgs(String run, List<String> jvmArgs) {
        return jvmArgs.isEmpty() ? run : run.replace(" -jar ", " " + String.join(" ", jvmArgs) + " -jar ");
    }

    private static Path findRoot() throws IOException {
        var starts = new ArrayList<Path>(List.of(Path.of("").toAbsolutePath()));
        var source = Launch.class.getProtectionDomain().getCodeSource();
        if (source != null && "file".equals(source.getLocation().getProtocol())) {
            starts.add(Path.of(source.getLocation().getPath()));
        }
        for (var start : starts) {
            for (var each = start; each != null; each = each.getParent()) {
                if (Files.exists(each.resolve(DEPLOY))) {
                    return each;
                }
            }
        }
        throw new IOException("no " + DEPLOY + " in " + starts.get(0) + " or above it: run this from the"
                + " repository");
    }

    /**
     * The whole command line.
     *
     * @param cores    the processors to keep to, as taskset takes them; null: any
     * @param sockets  how many file descriptors it may hold
     */
    List<String> words(String cores, int sockets) {
        // Ctrl-C strikes all that a terminal started; whoever started this one decides when it ends.
        // The watcher keeps neither the log's pipe nor the program's standard input.
        var script = "trap '' INT\nulimit -n " + sockets + " || exit 1\n"
                + "began=$(cut -d' ' -f22 /proc/$$/stat)\n"
                + "exec 3<&0 </dev/null\n"
                + "(exec >/dev/null 2>&1; cat <&3\n"
                + " [ \"$(cut -d' ' -f22 /proc/$$/stat)\" = \"$began\" ] && kill -KILL $$) &\n"
                + "exec 3<&-\n" + command;
        var words = new ArrayList<String>();
        if (cores != null) {
            words.addAll(List.of("taskset", "-c", cores));
        }
        words.addAll(List.of("/bin/sh", "-c", script));
        return words;
    }
}
