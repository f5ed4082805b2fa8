package ryemast.batch;

import java.util.List;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.JobClass;

/**
 * The platform's job classes and accounts, by name and by the module's number. Immutable.
 *
 * @param names     of the classes
 * @param classes   the same, as the module knows them
 * @param accounts  names, in the module's order; empty where the site has none
 */
public record JobKinds(List<String> names, List<JobClass> classes, List<String> accounts) {

    /** Its number, -1 if there is none of that name. */
    public int number(String name) {
        return names.indexOf(name);
    }

    /** Whether a second run of it would do harm, or may. */
    public boolean runsOnce(int number) {
        return classes.get(number).effect() != Effect.REPEATABLE;
    }

    /** How long a job of the class may take by default. */
    public long patience(int number) {
        return classes.get(number).deadline();
    }
}
