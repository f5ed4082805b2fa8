/**
 * A site in virtual time: the same boxes, clients, discovery and faults as {@code ryemast.lab.site}
 * describes, the dispatchers' own {@code Exchange} and decision module, and between them a network that is
 * modelled. What {@code ryemast.lab.sockets} lets happen in real time on real connections happens here as
 * fast as it can be reckoned, and the same way each time.
 */
package ryemast.lab.model;
