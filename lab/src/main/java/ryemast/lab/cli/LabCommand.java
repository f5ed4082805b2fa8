package ryemast.lab.cli;

import picocli.CommandLine.Command;

/** {@code lab}: emulated sites to try, measure and judge a dispatcher on; its subcommands do the work. */
@Command(name = "lab", description = "Runs a dispatcher on emulated sites, and measures and judges it.",
        subcommands = {EmulateCommand.class, LoadCommand.class, GrowthCommand.class, FailuresCommand.class,
            FitCommand.class, CompareCommand.class, SimulateCommand.class, PoliciesCommand.class,
            TheoryCommand.class, ModelGrowthCommand.class, HealthCommand.class, ConsulCommand.class,
            DrainsCommand.class, MembersCommand.class, BatchTrialCommand.class,
            BatchBesideCommand.class, BatchStoreCommand.class, FleetCommand.class, ChoicesCommand.class})
public final class LabCommand {
}
