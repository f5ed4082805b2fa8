/** Signals between dispatchers, where they may talk: datagrams, and nothing is wrong when all are silent. */
package ryemast.peers;
