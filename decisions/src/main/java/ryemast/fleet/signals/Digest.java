package ryemast.fleet.signals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One gossip datagram: the sending member and its process, a sequence number, the send time, an echo of the
 * last digest received from the addressee, and reports on workers. It has at most {@link #MAX_BYTES} bytes,
 * so that it is never fragmented (the IPv6 minimum MTU is 1,280 bytes with headers). Positive numbers are
 * encoded as logarithms in thousandths, small ones in single bytes. A datagram with another magic number,
 * version or length is rejected.
 *
 * @param member    hash of the sender's name, 32 bits
 * @param process   random ID that each process draws at its start
 * @param sequence  increases with each digest of a process
 * @param sentAt    the sender's monotonic clock at sending, in microseconds (T3 of RFC 5905)
 * @param echo      null if nothing has been received yet from the addressee
 */
public record Digest(int member, long process, long sequence, long sentAt, Echo echo,
        List<WorkerReport> reports) {

    public static final int MAX_BYTES = 1200;
    /** Replaces the echoed send time where there is no echo. */
    private static final long NO_ECHO = -1;
    private static final int MAGIC = 0x7279;
    private static final int VERSION = 2;
    private static final int HEADER_BYTES = 56;
    private static final int REPORT_BYTES = 15;
    /** Maximum number of reports in one digest. */
    public static final int MAX_REPORTS = (MAX_BYTES - HEADER_BYTES) / REPORT_BYTES;
    private static final double THOUSANDTHS = 1000;
    private static final int LOG_OFFSET = 1 << 15;
    private static final int MAX_BYTE = 0xff;
    private static final long AGE_UNIT = 100_000;

    public Digest {
        reports = List.copyOf(reports);
        if (reports.size() > MAX_REPORTS) {
            throw new IllegalArgumentException(reports.size() + " reports in one digest");
        }
    }

    /** A copy for one peer, with the echo of that peer's last digest. */
    Digest withEcho(Echo peerEcho) {
        return new Digest(member, process, sequence, sentAt, peerEcho, reports);
    }

    public byte[] encode() {
        var buffer = new byte[HEADER_BYTES + REPORT_BYTES * reports.size()];
        put(buffer, 0, 2, MAGIC);
        put(buffer, 2, 1, VERSION);
        put(buffer, 3, 1, reports.size());
        put(buffer, 4, 4, member);
        put(buffer, 8, 8, process);
        put(buffer, 16, 8, sequence);
        put(buffer, 24, 8, sentAt);
        put(buffer, 32, 8, echo == null ? 0 : echo.process());
        put(buffer, 40, 8, echo == null ? NO_ECHO : echo.sentAt());
        put(buffer, 48, 8, echo == null ? 0 : echo.receivedAt());
        int offset = HEADER_BYTES;
        for (var report : reports) {
            put(buffer, offset, 4, report.nameHash());
            put(buffer, offset + 4, 2, Math.min(2 * LOG_OFFSET - 1, Math.round(report.jobs() * 4)));
            put(buffer, offset + 6, 2, encodeLog(report.work()));
            put(buffer, offset + 8, 2, encodeLog(report.speed()));
            put(buffer, offset + 10, 1, Math.min(MAX_BYTE, Math.round(report.samples() * 4)));
            put(buffer, offset + 11, 1, Math.round(report.suspicion() * MAX_BYTE));
            put(buffer, offset + 12, 1, Math.min(MAX_BYTE, Math.round(report.evidence() * 8)));
            put(buffer, offset + 13, 2, Math.min(2 * LOG_OFFSET - 1, report.age() / AGE_UNIT));
            offset += REPORT_BYTES;
        }
        return buffer;
    }

    /** Empty if the datagram is not a digest of this version. */
    public static Optional<Digest> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || get(datagram, 0, 2) != MAGIC || get(datagram, 2, 1) != VERSION
                || datagram.length != HEADER_BYTES + REPORT_BYTES * get(datagram, 3, 1)
                || get(datagram, 3, 1) > MAX_REPORTS) {
            return Optional.empty();
        }
        var reports = new ArrayList<WorkerReport>();
        for (int offset = HEADER_BYTES; offset < datagram.length; offset += REPORT_BYTES) {
            reports.add(new WorkerReport((int) get(datagram, offset, 4), get(datagram, offset + 4, 2) / 4.0,
                    decodeLog(datagram, offset + 6),
                    decodeLog(datagram, offset + 8), get(datagram, offset + 10, 1) / 4.0,
                    get(datagram, offset + 11, 1) / (double) MAX_BYTE,
                    get(datagram, offset + 12, 1) / 8.0, get(datagram, offset + 13, 2) * AGE_UNIT));
        }
        var echo = get(datagram, 40, 8) == NO_ECHO ? null
                : new Echo(get(datagram, 32, 8), get(datagram, 40, 8), get(datagram, 48, 8));
        return Optional.of(new Digest((int) get(datagram, 4, 4), get(datagram, 8, 8), get(datagram, 16, 8),
                get(datagram, 24, 8), echo, reports));
    }

    private static long encodeLog(double value) {
        return value <= 0 ? 0
                : Math.max(1,
                Math.min(2 * LOG_OFFSET - 1, LOG_OFFSET + Math.round(THOUSANDTHS * Math.log(value))));
    }

    private static double decodeLog(byte[] buffer, int offset) {
        long code = get(buffer, offset, 2);
        return code == 0 ? 0 : Math.exp((code - LOG_OFFSET) / THOUSANDTHS);
    }

    private static void put(byte[] buffer, int offset, int length, long value) {
        for (int i = 0; i < length; i++) {
            buffer[offset + i] = (byte) (value >> 8 * (length - 1 - i));
        }
    }

    private static long get(byte[] buffer, int offset, int length) {
        long value = 0;
        for (int i = 0; i < length; i++) {
            value = value << 8 | buffer[offset + i] & MAX_BYTE;
        }
        return value;
    }
}
