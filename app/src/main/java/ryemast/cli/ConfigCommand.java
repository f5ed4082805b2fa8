package ryemast.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import ryemast.config.ConfigException;
import ryemast.operator.InForce;
import ryemast.operator.InForce.Origin;
import ryemast.operator.Operator;
import ryemast.operator.OperatorFile;
import ryemast.toml.FaultyFileException;

/** {@code config}: what a start with this file and this environment would go by, and whose word each is. */
@Command(name = "config", description = {"Prints every key in force, its value and where it came from:",
    "the platform (BALANCER_*), the operator file, or the default."})
public final class ConfigCommand implements Callable<Integer> {

    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator file; else the one that " + Operator.VARIABLE + " names, if any.")
    private String operator;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes the same as JSON, too.")
    private Path json;

    @Spec
    private CommandSpec spec;

    private final Map<String, String> environment;

    public ConfigCommand() {
        this(System.getenv());
    }

    ConfigCommand(Map<String, String> environment) {
        this.environment = environment;
    }

    @Override
    public Integer call() throws IOException {
        InForce found;
        try {
            var path = Operator.path(operator, environment);
            found = InForce.of(path == null ? OperatorFile.none() : OperatorFile.read(Path.of(path)),
                    environment);
        } catch (FaultyFileException | ConfigException | IllegalArgumentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            spec.commandLine().getErr().flush();
            return ExitCode.USAGE;
        }
        if (json != null) {
            write(json(found));
        }
        var out = spec.commandLine().getOut();
        found.settings().forEach(each -> out.println(line(each)));
        found.platform().entrySet().stream().sorted(Map.Entry.comparingByKey())
                .forEach(each -> out.println("platform: " + each.getKey() + " = " + each.getValue()));
        out.flush();
        return ExitCode.OK;
    }

    private static String line(InForce.Setting each) {
        var value = each.value() instanceof String text ? "\"" + text + "\"" : each.value().toString();
        var unit = each.key().unit();
        return String.format(Locale.ROOT, "%-31s = %-22s %s", each.key().path(),
                unit.isEmpty() ? value : value + " " + unit,
                each.origin() == Origin.DEFAULT ? "default" : each.origin().name().toLowerCase(Locale.ROOT)
                        + ", " + each.where());
    }

    private static JsonObject json(InForce found) {
        var gson = new GsonBuilder().create();
        var keys = new JsonArray();
        for (var each : found.settings()) {
            var key = new JsonObject();
            key.addProperty("key", each.key().path());
            key.add("value", gson.toJsonTree(each.value()));
            key.addProperty("unit", each.key().unit());
            key.addProperty("from", each.origin().name().toLowerCase(Locale.ROOT));
            key.addProperty("where", each.where());
            keys.add(key);
        }
        var all = new JsonObject();
        all.add("keys", keys);
        all.add("platform", gson.toJsonTree(found.platform()));
        return all;
    }

    /** The file is there whole, or as it was before. */
    private void write(JsonObject content) throws IOException {
        var target = json.toAbsolutePath();
        var half = Files.createTempFile(target.getParent(), ".config", ".json");
        try {
            Files.writeString(half, new GsonBuilder().setPrettyPrinting().create().toJson(content) + "\n");
            Files.move(half, target, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(half);
        }
    }
}
