package ryemast;

import java.nio.file.Path;
import pipitladder.Dispatcher.Tenant;
import ryemast.batch.BatchFront;
import ryemast.batch.BatchSettings;
import ryemast.batch.JobKinds;
import ryemast.config.Config;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Region;

/** Sets batch submission up; loaded where the operator wants it, as a start should pay nothing. */
final class Batching {

    /** Set to "true" in a trial that must fail: attempts' intents are not written before they are sent. */
    private static final String CARELESS = "ryemast.batch.careless";

    private Batching() {
    }

    static BatchFront of(Config config, Loop loop, Exchange exchange, Region workers) {
        var wanted = config.tuning().batch();
        var keys = Path.of(wanted.keys());
        var settings = new BatchSettings(wanted.listen(), Path.of(wanted.folder()),
                new BatchSettings.Keys(keys.resolve("server.crt"), keys.resolve("server.key"),
                        keys.resolve("authority.crt"), keys.resolve("revoked")),
                new BatchSettings.Limits(wanted.mostOut(), wanted.mostWaiting(), wanted.connections(),
                        wanted.helloLimit(), wanted.frameLimit(), wanted.idleLimit(), wanted.window(),
                        wanted.storeBytes(), wanted.reserveBytes(), wanted.retain(), wanted.failures()),
                !Boolean.getBoolean(CARELESS));
        var tenants = config.settings().tenants();
        double[] shares = tenants.isEmpty() ? new double[] {1}
                : tenants.stream().mapToDouble(Batching::share).toArray();
        return new BatchFront(loop, exchange, workers, settings,
                new JobKinds(config.lanes(), config.settings().classes(), config.orgs()), shares,
                config.settings().startsReported());
    }

    /** Where the platform gives no quota, all accounts are alike. */
    private static double share(Tenant tenant) {
        return tenant.quotaPerSecond() > 0 && tenant.quotaPerSecond() < Double.MAX_VALUE
                ? tenant.quotaPerSecond() : 1;
    }
}
