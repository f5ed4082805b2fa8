package ryemast.fleet.choices;

/**
 * One member's permits in the current window.
 *
 * @param window the window's number; the caller counts the permits it has used in it
 * @param permits number of permits; it may change within the window, and used permits stay used
 * @param until the window's end; microseconds
 */
public record WindowPermits(long window, int permits, long until) {
}
