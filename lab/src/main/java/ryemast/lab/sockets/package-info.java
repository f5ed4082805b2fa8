/**
 * A site on real sockets: carries the bytes between what {@code ryemast.lab.site} describes and dispatchers
 * that run as processes of their own, in real time, and says so whenever it was late itself.
 */
package ryemast.lab.sockets;
