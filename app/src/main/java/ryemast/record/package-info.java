/**
 * What a dispatcher saw, on disk: traffic and outcomes, for the lab to learn a site from. Off unless the
 * operator file names a folder; nothing of this package is loaded then.
 */
package ryemast.record;
