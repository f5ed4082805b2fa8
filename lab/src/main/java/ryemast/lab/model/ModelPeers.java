package ryemast.lab.model;

import pipitladder.Brain;
import pipitladder.Dispatcher.PeersTold;
import ryemast.fleet.signals.LoadGossip;

/**
 * The signals of one life of a modelled dispatcher: the program's own decisions on what to tell and what to
 * believe, once a period, over a network that may be late; with some who lie.
 */
final class ModelPeers {

    private final int number;
    private final Instance instance;
    private final Brain module;
    private final Site site;
    private final Talk talk;
    private final LoadGossip signals;
    /** What a liar says is made by one that believes other things, and hears the same: it has to answer. */
    private final LoadGossip mouth;
    private final ModelNet.Party party;
    private boolean told;
    private boolean over;

    ModelPeers(int number, Instance instance, Brain module, Site site, Talk talk, long seed) {
        this.number = number;
        this.instance = instance;
        this.module = module;
        this.site = site;
        this.talk = talk;
        var name = "dispatcher-" + number;
        signals = new LoadGossip(name, seed, site.hosts().size());
        mouth = number < talk.liars() ? new LoadGossip(name, seed, site.hosts().size()) : signals;
        party = site.net().party("peers", number);
    }

    void begin() {
        instance.loop().at(instance.loop().now() + talk.period(), this::turn);
    }

    void end() {
        over = true;
    }

    private void turn() {
        if (over) {
            return;
        }
        long now = instance.loop().now();
        var beliefs = module.ownEvidence(now);
        var digests = signals.digests(now, beliefs);
        var said = mouth == signals ? digests : mouth.digests(now, talk.said(number, now, beliefs));
        for (var host : site.hosts()) {
            if (host.number() != number) {
                said.get(host.number()).forEach(digest -> send(host, digest));
            }
        }
        var borrowed = signals.peerEstimates(now);
        if (told || !borrowed.isEmpty()) {
            told = !borrowed.isEmpty();
            instance.exchange().told(new PeersTold(borrowed));
        }
        begin();
    }

    private void hear(int from, byte[] digest) {
        signals.receive(instance.loop().now(), from, digest);
        if (mouth != signals) {
            mouth.receive(instance.loop().now(), from, digest);
        }
    }

    private void send(Host to, byte[] digest) {
        party.send(instance.leavesAt() + talk.late(), () -> {
            var there = to.instance();
            if (there != null && there.peers() != null) {
                there.receive(at -> there.peers().hear(number, digest));
            }
        });
    }
}
