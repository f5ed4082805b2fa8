package ryemast;

import java.util.Map;
import pipitladder.benchlink.BenchLinkCommand;
import ryemast.cli.Cli;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.operator.Operator;

/**
 * Where the program begins. The three calls that a platform makes ({@code serve}, {@code rehearse} and
 * {@code benchlink}, written exactly so, and {@code serve --operator FILE}) are recognised here and load no
 * class of the command line, as its libraries would cost a restart some 0.1 s of its one core. Every other
 * call goes to {@link Cli}, which knows these three as well.
 */
public final class Main {

    private static final int DONE = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        int code;
        if (args.length == 1 && args[0].equals("serve")) {
            code = serve(null);
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--operator")) {
            code = serve(args[2]);
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            code = rehearse();
        } else if (args.length == 1 && args[0].equals("benchlink")) {
            code = benchlink();
        } else {
            code = Cli.run(Cli.commandLine(), args);
        }
        if (code != DONE) {
            System.exit(code);
        }
    }

    /** Serves until a signal ends it; {@code operator} names the operator file, or is null. */
    public static int serve(String operator) {
        return start(false, operator);
    }

    /** Starts the dispatcher alone and ends it, so that the build can archive the classes it loads. */
    public static int rehearse() {
        return start(true, null);
    }

    /** Speaks the simulator's wire on standard input and output until the input ends. */
    public static int benchlink() {
        return BenchLinkCommand.run();
    }

    private static int start(boolean alone, String operator) {
        try {
            // Alone, too, it passes by the operator's part: the build's archive is to hold what a start
            // loads.
            var tuning = Operator.tuning(operator, alone ? Map.of() : System.getenv());
            Logs.setUp(tuning.log());
            var service = new Service(alone ? Config.alone() : Config.read(System.getenv(), tuning));
            service.start(alone);
            return DONE;
        } catch (ConfigException e) {
            System.err.println("ryemast: " + e.getMessage());
            return USAGE;
        } catch (Exception e) {
            System.err.println("ryemast: cannot start: " + e);
            return FAILED;
        } catch (Error e) {
            // Other threads would go on and let clients in whom nobody answers.
            System.err.println("ryemast: cannot go on: " + e);
            return FAILED;
        }
    }
}
