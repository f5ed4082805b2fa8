package ryemast.lab.books;

/**
 * A rule broken once.
 *
 * @param at          on the run's timeline
 * @param txn         null where it concerns no single try
 * @param box         -1 where it concerns none
 * @param dispatcher  -1 where it is not known
 * @param what        a sentence for operators
 */
public record Breach(Rule rule, long at, String txn, int box, int dispatcher, String what) {
}
