package ryemast.batch;

import java.math.BigInteger;

/**
 * Who a submitter is, by its certificate.
 *
 * @param submitter  its own name (CN)
 * @param account    whose jobs it submits (O)
 * @param tenant     the account's number
 * @param serial     its certificate's
 * @param until      when its certificate expires, in milliseconds of Unix time
 */
record Identity(String submitter, String account, int tenant, BigInteger serial, long until) {
}
