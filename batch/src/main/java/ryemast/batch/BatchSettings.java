package ryemast.batch;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * How the batch front is set up. Times in microseconds.
 *
 * @param listen       where submitters connect
 * @param folder       where the store lies; lasting
 * @param keys         certificates and keys
 * @param limits       what it may take
 * @param intentFirst  whether an attempt's intent is on the disk before its first byte leaves; false only
 *                     in a trial that is to fail
 */
public record BatchSettings(InetSocketAddress listen, Path folder, Keys keys, Limits limits,
        boolean intentFirst) {

    /**
     * Files in PEM.
     *
     * @param certificate  the dispatcher's own, with those that sign it
     * @param key          its private key, PKCS #8
     * @param authority    the certificates that sign submitters'
     * @param revoked      serial numbers, in hexadecimal, a line each, with a reason behind it; need not
     *                     exist
     */
    public record Keys(Path certificate, Path key, Path authority, Path revoked) {
    }

    /**
     * @param mostOut      batch jobs handed in at once, at most
     * @param mostWaiting  jobs that are not over, of all submitters together
     * @param connections  submitters' connections at once
     * @param helloLimit   a connection must have said who it is so soon
     * @param frameLimit   a frame must be whole so soon after its first byte; so long may a written byte wait
     * @param idleLimit    a connection with nothing asked is ended after so long
     * @param window       requests of one connection that are not answered yet
     * @param storeBytes   how large the store may grow
     * @param reserveBytes what the disk must have left
     * @param retain       jobs that are over are kept for so long
     * @param failures     turns of a repeatable job that may fail, where its template does not say
     */
    public record Limits(int mostOut, int mostWaiting, int connections, long helloLimit, long frameLimit,
            long idleLimit, int window, long storeBytes, long reserveBytes, long retain, int failures) {
    }
}
