/**
 * The site's book of reservations as records that all dispatchers share: read, kept and fed to each member's
 * parts. What is decided is decided in {@code ryemast.reservation}.
 */
package ryemast.reserving;
