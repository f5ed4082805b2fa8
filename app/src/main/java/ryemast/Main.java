package ryemast;

import pipitladder.benchlink.BenchLinkCommand;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;
import ryemast.operator.Operator;

/**
 * The command line: {@code serve} is the real dispatcher, {@code benchlink} the simulator's adapter, and
 * {@code rehearse} starts and ends the real one alone, so that the build can archive the classes it loads.
 */
public final class Main {

    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("benchlink")) {
            int code = BenchLinkCommand.run();
            if (code != 0) {
                System.exit(code);
            }
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve(false);
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            serve(true);
        } else {
            System.err.println("usage: java -jar ryemast.jar serve|rehearse|benchlink");
            System.exit(USAGE);
        }
    }

    private static void serve(boolean alone) {
        try {
            var tuning = alone ? Tuning.DEFAULT : Operator.tuning(null, System.getenv());
            Logs.setUp(tuning.log());
            var service = new Service(alone ? Config.alone() : Config.read(System.getenv(), tuning));
            service.start(alone);
        } catch (ConfigException e) {
            System.err.println("ryemast: " + e.getMessage());
            System.exit(USAGE);
        } catch (Exception e) {
            System.err.println("ryemast: cannot start: " + e);
            System.exit(FAILED);
        }
    }
}
