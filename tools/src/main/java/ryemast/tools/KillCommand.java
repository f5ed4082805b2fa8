package ryemast.tools;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import ryemast.drmaa.Contact;
import ryemast.drmaa.DrmaaException;
import ryemast.drmaa.Remote;
import ryemast.wire.Words.Action;

/** {@code kill}: ends jobs, or holds and releases them. */
@Command(name = "kill", description = {"Ends jobs; those that must run once and are out end by themselves.",
    "With --hold or --release holds those that wait, or lets them go."})
public final class KillCommand extends BatchCall {

    @Parameters(paramLabel = "JOB", arity = "0..*", description = "Jobs, by their ids.")
    private List<String> jobs = List.of();

    @Option(names = "--all", description = "All of the session.")
    private boolean all;

    @Option(names = "--hold", description = "Does not end them: they wait for a release.")
    private boolean hold;

    @Option(names = "--release", description = "Lets those go that are held.")
    private boolean release;

    @Override
    int work(Remote remote, Contact where) throws DrmaaException {
        if (jobs.isEmpty() == !all) {
            throw new ParameterException(spec.commandLine(), "either jobs, or --all");
        }
        if (hold && release) {
            throw new ParameterException(spec.commandLine(), "either --hold or --release");
        }
        var action = hold ? Action.HOLD : release ? Action.RELEASE : Action.TERMINATE;
        long changed = remote.control(all ? null : jobs, action);
        if (json) {
            var one = new JsonObject();
            one.addProperty("action", action.name().toLowerCase(Locale.ROOT));
            one.addProperty("changed", changed);
            say(one);
        } else {
            say(changed + (action == Action.HOLD ? " held" : action == Action.RELEASE ? " released"
                    : " ended"));
        }
        return 0;
    }
}
