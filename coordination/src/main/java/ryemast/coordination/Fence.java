package ryemast.coordination;

/** What a step requires that is made in a process's name: it fails if the name is another's by then. */
public record Fence(String key, long version) {

    /** The step, bound to the fence. */
    public Step guard(Step step) {
        return step.require(key, version);
    }
}
