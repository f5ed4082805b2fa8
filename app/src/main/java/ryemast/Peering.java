package ryemast;

import java.util.UUID;
import pipitladder.Brain;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.peers.Peers;
import ryemast.peers.PeersException;

/** Sets signals between dispatchers up; loaded only where the operator wants them. */
final class Peering {

    private Peering() {
    }

    /** A {@link ConfigException} says which address can't be used, and what to do. */
    static Peers of(Config config, Loop loop, Exchange exchange, Brain module) throws ConfigException {
        var wanted = config.tuning().peers();
        try {
            return new Peers(loop, exchange, module::ownEvidence, new Peers.Terms(config.name(),
                    UUID.randomUUID().getMostSignificantBits(), wanted.listen(), wanted.addresses(),
                    wanted.period()));
        } catch (PeersException e) {
            throw new ConfigException(e.getMessage());
        }
    }
}
