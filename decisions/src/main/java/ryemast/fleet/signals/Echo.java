package ryemast.fleet.signals;

/**
 * Acknowledges the last digest received from one peer: the timestamps of an exchange as in NTP.
 *
 * @param process     ID of the peer's process that sent the digest
 * @param sentAt      when it was sent, on that process's clock, as stated in the digest (T1 of RFC 5905)
 * @param receivedAt  when it was received, on the clock of the member that echoes (T2)
 */
public record Echo(long process, long sentAt, long receivedAt) {
}
