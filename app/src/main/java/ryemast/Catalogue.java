package ryemast;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.consul.ConsulSettings;
import ryemast.consul.ConsulTable;
import ryemast.consul.Field;
import ryemast.consul.Mapping;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.net.Transport;
import ryemast.pacing.PollingPolicy;

/**
 * Puts Consul in the place of the platform's discovery; loaded where the operator wants it, as a start should
 * pay nothing.
 */
final class Catalogue {

    private Catalogue() {
    }

    /** A {@link ConfigException} names the file that can't be used. */
    static ConsulTable of(Config config, Loop loop, Transport transport,
            Members members) throws ConfigException {
        var wanted = config.tuning().consul();
        var fields = wanted.fields();
        var mapping = new Mapping(new Field(fields.id()), new Field(fields.kind()), new Field(fields.zone()),
                new Field(fields.cell()), new Field(fields.weight()), new Field(fields.started()),
                config.listReader().zones(), config.listReader().kinds());
        var mode = switch (wanted.mode()) {
            case "consistent" -> ConsulSettings.Mode.CONSISTENT;
            case "stale" -> ConsulSettings.Mode.STALE;
            default -> ConsulSettings.Mode.DEFAULT;
        };
        var tls = wanted.authorityFile() == null ? null
                : new ConsulSettings.Tls(wanted.authorityFile(), wanted.tlsName());
        var own = wanted.registerAs() == null ? null
                : new ConsulSettings.Own(wanted.registerAs(), config.name(), config.listen(),
                wanted.timeToLive());
        var settings =
                new ConsulSettings(wanted.agents(), wanted.service(), wanted.tag(), mode, wanted.datacentre(),
                wanted.filter(), tls, mapping, PollingPolicy.DEFAULT.withMaxWait(wanted.hold()),
                wanted.connectLimit(),
                wanted.longestAnswer(), own);
        try {
            var table = new ConsulTable(loop, transport, settings, members, config.seed());
            table.token(token(config));
            return table;
        } catch (IOException e) {
            throw new ConfigException("consul: " + e.getMessage());
        }
    }

    /** The token that is to go with each call now; empty for none. */
    static String token(Config config) throws ConfigException {
        return token("consul.token_file", config.tuning().consul().tokenFile());
    }

    /** The token that a file holds; empty where there is no file. */
    static String token(String key, String file) throws ConfigException {
        if (file == null) {
            return "";
        }
        try {
            var token = Files.readString(Path.of(file)).strip();
            if (!token.matches("[!-~]{1,512}")) {
                throw new ConfigException(key + ": " + file
                        + " must hold one token of visible characters");
            }
            return token;
        } catch (IOException e) {
            throw new ConfigException(key + ": cannot read " + file + ": " + e);
        }
    }
}
