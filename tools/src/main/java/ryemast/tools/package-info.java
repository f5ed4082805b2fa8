/**
 * Commands that service does not need, and that would make its jar, and so its start, heavier: keys for
 * batch submission, and a submitter's calls.
 */
package ryemast.tools;
