package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.lab.fit.Fitted;
import ryemast.lab.fit.Fitter;
import ryemast.lab.fit.ScenarioText;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;

/** {@code lab fit}: learns a scenario from recordings of a site's dispatchers. */
@Command(name = "fit", description = {"Learns a scenario from what dispatchers recorded.",
    "Each figure comes with its 95%% interval and what it rests on; what can't be told is said."})
final class FitCommand implements Callable<Integer> {

    private static final String ENDING = ".toml";

    @Parameters(paramLabel = "RECORDING", arity = "1..*", description =
            "A recording's folder or file; those of "
            + "several dispatchers of one site are fitted together.")
    private List<Path> recordings;

    @Option(names = "--out", paramLabel = "SCENARIO", required = true,
            description = "The scenario to write, *.toml.")
    private Path out;

    @Option(names = "--replay", description =
            "Writes the very jobs beside the scenario, which plays them again.")
    private boolean replay;

    @Option(names = "--json", paramLabel = "FILE", description = "Where figures and intervals go as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        try {
            return run();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int run() throws BadCall, IOException {
        var file = new JsonFile(json);
        var scenario = out.toAbsolutePath();
        var name = scenario.getFileName().toString();
        if (!name.endsWith(ENDING)) {
            throw new BadCall("--out: " + out + ": expected a name that ends with " + ENDING);
        }
        if (Files.isDirectory(scenario)) {
            throw new BadCall("--out: " + out + ": is a folder; expected the name of a file");
        }
        JsonFile.check(scenario);
        Fitted fitted;
        try {
            fitted = Fitter.fit(recordings, replay);
        } catch (IOException e) {
            throw new BadCall(e.getMessage());
        }
        var jobs = name.substring(0, name.length() - ENDING.length()) + ".jobs";
        if (replay) {
            fitted.replay().write(scenario.resolveSibling(jobs), fitted.classNames(), fitted.tenantNames());
        }
        Files.writeString(scenario, ScenarioText.toml(fitted, recordings.stream().map(Path::toString)
                .toList(), jobs));
        file.write(ScenarioText.json(fitted));
        System.out.println(fitted.title() + " -> " + out);
        fitted.warnings().forEach(each -> System.out.println("warning: " + each));
        fitted.found().forEach(each -> System.out.println("found: " + each));
        fitted.untold().forEach(each -> System.out.println("not known: " + each));
        try {
            ScenarioFile.read(scenario);
        } catch (FaultyFileException e) {
            System.err.println("ryemast: " + out + " needs a hand before it can be played:\n"
                    + e.getMessage());
            return Exit.FAILED;
        }
        return Exit.DONE;
    }
}
