package ryemast.move;

/**
 * What one process may reserve and run of a service now; to be computed anew before each action.
 *
 * @param active          the reservation counts here, clients are served and executions claimed. A claim
 *                        also requires the site's record at the version read, in its step
 * @param reserved        capacity is reserved for it, and not granted
 * @param rejecting       clients are asked to retry later, by {@code Retry-After}
 * @param scheduledAfter  only executions scheduled later are claimed here ...
 * @param claimsLeftover  ... and, if true, earlier ones beyond the former site's watermarks, as read in one
 *                        list with its record while that is closed and {@link SiteRecord#watermarksExact}
 * @param scheduledUpTo   only executions scheduled up to that time are claimed here
 */
public record ServingState(boolean active, boolean reserved, boolean rejecting, long scheduledAfter,
        boolean claimsLeftover,
        long scheduledUpTo) {
}
