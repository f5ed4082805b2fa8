package ryemast;

import java.io.IOException;
import java.nio.file.Path;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.consul.ConsulCalls;
import ryemast.consul.ConsulSettings;
import ryemast.coordination.ConsulCoordination;
import ryemast.coordination.Coordination;
import ryemast.coordination.CoordinationException;
import ryemast.coordination.EmbeddedCoordination;
import ryemast.core.Loop;
import ryemast.net.Transport;
import ryemast.pacing.PollingPolicy;

/**
 * Sets up what dispatchers agree by; loaded where the operator wants it, as a start should pay nothing. A
 * store that can't be used refuses the start: a dispatcher that can't keep its word must not give it.
 */
final class Coordinating implements AutoCloseable {

    private static final String TOKEN = "coordination.token_file";

    private final Coordination records;
    /** Null with the embedded store. */
    private final ConsulCalls calls;

    private Coordinating(Coordination records, ConsulCalls calls) {
        this.records = records;
        this.calls = calls;
    }

    /** A {@link ConfigException} says what can't be used, and what to do. */
    static Coordinating of(Config config, Loop loop, Transport transport) throws ConfigException {
        var wanted = config.tuning().coordination();
        // An answer that comes after the next beat is due is of no use to a lease.
        long limit = wanted.lasts() / 3;
        try {
            if (wanted.kv() == null) {
                var usual = EmbeddedCoordination.Limits.DEFAULT;
                return new Coordinating(EmbeddedCoordination.open(loop, Path.of(wanted.folder()),
                        new EmbeddedCoordination.Limits(limit, usual.mostBytes(), usual.mostWaiting())),
                        null);
            }
            return overConsul(config, loop, transport, limit);
        } catch (CoordinationException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static Coordinating overConsul(Config config, Loop loop, Transport transport, long limit)
            throws ConfigException {
        var kv = config.tuning().coordination().kv();
        if (kv.agents().isEmpty()) {
            throw new ConfigException("coordination.agents: missing, as is consul.agents; name one of them");
        }
        var tls = kv.authorityFile() == null ? null
                : new ConsulSettings.Tls(kv.authorityFile(), kv.tlsName());
        try {
            var calls = new ConsulCalls(loop, transport, new ConsulSettings.Reach(kv.agents(), tls,
                    kv.connectLimit(), kv.longestAnswer()), PollingPolicy.DEFAULT.withMaxWait(kv.hold()));
            calls.token(token(config));
            return new Coordinating(new ConsulCoordination(loop, calls, new ConsulCoordination.Settings(
                    kv.prefix(), limit, ConsulCoordination.Settings.MOST_OUT,
                    ConsulCoordination.Settings.MOST_WAITING, config.seed())), calls);
        } catch (IOException e) {
            throw new ConfigException("coordination: " + e.getMessage());
        }
    }

    /** The token that is to go with each call now; empty for none. */
    static String token(Config config) throws ConfigException {
        var kv = config.tuning().coordination().kv();
        return kv == null ? "" : Catalogue.token(TOKEN, kv.tokenFile());
    }

    /** On the loop. */
    void token(String token) {
        if (calls != null) {
            calls.token(token);
        }
    }

    Coordination records() {
        return records;
    }

    @Override
    public void close() {
        records.close();
    }
}
