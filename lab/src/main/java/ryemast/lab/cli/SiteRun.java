package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import ryemast.lab.books.RunResult;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Ending;
import ryemast.lab.sockets.EmulatedSite.Options;
import ryemast.lab.sockets.EmulatedSite.Progress;

/**
 * One run of a scenario, from the start of its dispatchers to its result; every process it started is gone.
 */
record SiteRun(RunResult result, Ending ending) {

    /**
     * Where and how to run; {@code external}: the address of a dispatcher that somebody else runs, or null.
     */
    static Options options(Path logs, String external) {
        var options = Options.standard().withFolder(logs).withExternal(external);
        return external == null ? options.pinned() : options;
    }

    /** {@code up}: told once clients come; {@code each}: how far it has come, some times a second. */
    static SiteRun of(Scenario scenario, Options options, Stop stop, Runnable up, Consumer<Progress> each)
            throws IOException {
        try (var site = new EmulatedSite(scenario, options)) {
            stop.running(site::interrupt);
            site.start();
            up.run();
            var ending = site.run(each);
            stop.running(null);
            return new SiteRun(RunResult.of(scenario, site.books(), site.stats(),
                    ending == Ending.INTERRUPTED, note(ending, site.failures())), ending);
        }
    }

    private static String note(Ending ending, long failures) {
        var bugs = failures > 0 ? failures + " steps of the emulator failed: the run does not count" : null;
        var said = switch (ending) {
            case OVERLOADED -> "overloaded: jobs were still open when the last deadline had passed";
            case DISPATCHER_DIED -> "a dispatcher died: the run ended there";
            case DONE, INTERRUPTED -> null;
        };
        return said == null ? bugs : bugs == null ? said : said + "; " + bugs;
    }

    /** Whether the run is one to go by, and every rule was kept. */
    int exitCode() {
        boolean failed = ending == Ending.INTERRUPTED || ending == Ending.DISPATCHER_DIED
                || result.rulesBroken() > 0 || !result.counts();
        return failed ? Exit.FAILED : Exit.DONE;
    }

    /**
     * For a show: a machine with much else to do makes no failure of it, only a figure not to go by; and a
     * rule broken while the emulator was late may be the emulator's doing.
     */
    int exitCodeOfShow() {
        boolean failed = ending == Ending.INTERRUPTED || ending == Ending.DISPATCHER_DIED
                || result.rulesBroken() > 0 && result.counts();
        return failed ? Exit.FAILED : Exit.DONE;
    }
}
