package ryemast.lab;

import ryemast.cli.Cli;
import ryemast.lab.cli.DemoCommand;
import ryemast.lab.cli.LabCommand;
import ryemast.tools.KeysCommand;
import ryemast.tools.KillCommand;
import ryemast.tools.StatusCommand;
import ryemast.tools.SubmitCommand;
import ryemast.tools.WaitCommand;

/** The lab's program: all commands there are, those of service, of submitters and of the lab. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        System.exit(Cli.run(Cli.commandLine().addSubcommand(new KeysCommand())
                .addSubcommand(new SubmitCommand())
                .addSubcommand(new StatusCommand()).addSubcommand(new WaitCommand())
                .addSubcommand(new KillCommand()).addSubcommand(new LabCommand())
                .addSubcommand(new DemoCommand()), args));
    }
}
