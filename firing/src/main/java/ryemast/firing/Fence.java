package ryemast.firing;

/** The record that this process must still have when it changes anything: its key, and its version. */
public record Fence(String key, long version) {
}
