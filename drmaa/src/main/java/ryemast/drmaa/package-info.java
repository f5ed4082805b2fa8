/**
 * The submitter's side of batch submission: the calls, states and exceptions of DRMAA 1.0's Java binding
 * (GFD-R.133), and of DRMAA 2 (GFD-R-P.194) named sessions and arrays with a parallel limit. docs/batch.md
 * says call by call what is kept and what is not.
 */
package ryemast.drmaa;
