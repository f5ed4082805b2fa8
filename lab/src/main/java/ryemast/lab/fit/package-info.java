/**
 * Learns a site from recordings: what its boxes, jobs and clients are like, what went wrong, how sure each
 * figure is, and what the recordings can't tell.
 */
package ryemast.lab.fit;
