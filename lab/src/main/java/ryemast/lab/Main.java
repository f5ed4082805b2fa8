package ryemast.lab;

import ryemast.cli.Cli;
import ryemast.lab.cli.DemoCommand;
import ryemast.lab.cli.LabCommand;

/** The lab's program: all of the dispatcher's commands, and those that need the lab. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        System.exit(Cli.run(Cli.commandLine().addSubcommand(new LabCommand())
                .addSubcommand(new DemoCommand()), args));
    }
}
