package ryemast.lab.consul;

/**
 * A change of a key, as it took effect.
 *
 * @param at     on the timeline
 * @param value  as it is now, not to be changed; null: the key is gone
 * @param index  of the change, which others of the same step share
 */
public record Written(long at, String key, byte[] value, long index) {
}
