package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.choices.ExtraFigures;
import ryemast.lab.choices.NewcomerFigures;
import ryemast.lab.choices.SubsetFigures;
import ryemast.lab.choices.TurnFigures;
import ryemast.toml.FaultyFileException;

/** {@code lab choices}: subsets and turns of fleets of 1 to 300 dispatchers in figures. */
@Command(name = "choices", description = {"Measures how evenly and steadily ways of choosing subsets cover",
    "the workers, and how fair turns without messages are; prints Markdown tables, the same each time."})
final class ChoicesCommand implements Callable<Integer> {

    @Option(names = "--room", paramLabel = "N", defaultValue = "200",
            description = "Workers that a dispatcher has room for (${DEFAULT-VALUE}).")
    private int room;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the figures go as JSON.")
    private Path json;

    @Option(names = "--cost", description = "Measures the time to draw a subset too.")
    private boolean cost;

    @Option(names = "--newcomer", paramLabel = "R", description = {"In place of all else: how a dispatcher "
            + "that starts anew", "does with signals and without, in R runs of fleet-newcomer."})
    private Integer newcomer;

    @Option(names = "--extras", paramLabel = "R", description = {"In place of all else: what fleets of all "
            + "sizes send", "beyond first sends, in R runs of fleet-zone."})
    private Integer extras;

    @Override
    public Integer call() throws IOException {
        try {
            if (newcomer != null) {
                return newcomers();
            }
            if (extras != null) {
                return extras();
            }
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int newcomers() throws BadCall, IOException {
        LoadOptions.within("--newcomer", newcomer, 1, 10_000);
        SimulateCommand.quietLogs();
        var rows = new JsonArray();
        try {
            System.out.println(NewcomerFigures.table(newcomer, rows));
        } catch (FaultyFileException e) {
            throw new BadCall(e.getMessage());
        }
        var whole = new JsonObject();
        whole.add("newcomer", rows);
        new JsonFile(json).write(whole);
        return Exit.DONE;
    }

    private int extras() throws BadCall, IOException {
        LoadOptions.within("--extras", extras, 1, 10_000);
        SimulateCommand.quietLogs();
        var rows = new JsonArray();
        try {
            System.out.println(ExtraFigures.table(extras, rows));
        } catch (FaultyFileException e) {
            throw new BadCall(e.getMessage());
        }
        var whole = new JsonObject();
        whole.add("extras", rows);
        new JsonFile(json).write(whole);
        return Exit.DONE;
    }

    private int measured() throws BadCall, IOException {
        LoadOptions.within("--room", room, 1, 2_000);
        var file = new JsonFile(json);
        var subsets = new JsonArray();
        var ill = new JsonArray();
        var turns = new JsonArray();
        var sizes = new JsonArray();
        var costs = new JsonArray();
        var whole = new JsonObject();
        whole.add("subsets", subsets);
        whole.add("ill", ill);
        whole.add("turns", turns);
        whole.add("sizes", sizes);
        whole.add("costs", costs);
        System.out.println(SubsetFigures.whole(room) + "\n");
        System.out.println(SubsetFigures.table(room, subsets) + "\n");
        System.out.println(SubsetFigures.ill(room, ill) + "\n");
        System.out.println(TurnFigures.fairness(turns) + "\n");
        System.out.println(TurnFigures.sizes(sizes));
        if (cost) {
            System.out.println("\n" + SubsetFigures.costs(room, costs));
        }
        file.write(whole);
        return Exit.DONE;
    }
}
