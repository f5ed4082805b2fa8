package ryemast.reservation;

/** Work per second released by the state of a version, which members with older states may still use. */
public record ReleasedCapacity(long version, long perSecond) {
}
