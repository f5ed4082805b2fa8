/**
 * What a site does: boxes, clients, discovery and faults, each described once, in time and chance that are
 * handed to it. {@code ryemast.lab.sockets} lets it happen on real sockets,
 * {@code ryemast.lab.model} in virtual time.
 */
package ryemast.lab.site;
