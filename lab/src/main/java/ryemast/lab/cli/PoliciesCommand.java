package ryemast.lab.cli;

import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import ryemast.lab.model.policy.Policies;

/** {@code lab policies}. */
@Command(name = "policies", description = "Lists what can decide in lab simulate, with a line each.")
final class PoliciesCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        for (var policy : Policies.all()) {
            System.out.println(String.format(Locale.ROOT, "%-22s %s", policy.name(), policy.words()));
        }
        return Exit.DONE;
    }
}
