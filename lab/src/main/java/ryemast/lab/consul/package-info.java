/**
 * A stand-in for a Consul agent: as much of its published HTTP API (catalogue, health, agent, blocking
 * queries, tokens, consistency modes) as a client needs to find services by, with faults on command. It knows
 * no Raft and no gossip: there is one server, which always leads, unless a fault says otherwise.
 */
package ryemast.lab.consul;
