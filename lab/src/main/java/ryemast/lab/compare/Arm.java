package ryemast.lab.compare;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.internal.LinkedTreeMap;
import com.google.gson.reflect.TypeToken;
import com.google.gson.Gson;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import pipitladder.Brain;
import pipitladder.Dispatcher;
import ryemast.config.Tuning;
import ryemast.lab.model.Policy;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.sockets.DispatcherSettings;
import ryemast.operator.OperatorFile;
import ryemast.settings.SettingsException;
import ryemast.settings.SettingsReader;
import ryemast.toml.FaultyFileException;
import ryemast.toml.Nearest;

/**
 * One of the two choices: a policy by its name, the settings of the decision module with some changed, an
 * operator file, or another version of the program as a jar. Immutable; each run opens it anew.
 *
 * @param spec   as the command line has it
 * @param words  for people
 */
public record Arm(String spec, String words, Opener opener) {

    /** How an arm is made ready for one run of one scenario. */
    public interface Opener {
        Opened open(Scenario scenario);
    }

    /** An arm in one run; to be closed when that is over. */
    public record Opened(Policy policy, Tuning tuning, Runnable end) implements AutoCloseable {
        @Override
        public void close() {
            end.run();
        }
    }

    /** What can't be an arm, with what it should have been. */
    public static final class BadArm extends Exception {
        private static final long serialVersionUID = 1L;

        BadArm(String message) {
            super(message);
        }
    }

    private static final Pattern CHANGE =
            Pattern.compile("([a-z_]+(?:\\[[0-9]+])?(?:\\.[a-z_]+(?:\\[[0-9]+])?)*)=(.+)");
    private static final Pattern STEP = Pattern.compile("([a-z_]+)(?:\\[([0-9]+)])?");
    private static final String RESEEDED = "module@";
    private static final String BLUNDERING = "blunder@(0|1|0?\\.[0-9]{1,6})";

    /** A name, {@code key=value,...}, a file that ends with .toml, or one that ends with .jar. */
    public static Arm of(String spec) throws BadArm {
        var policy = Policies.named(spec);
        if (policy != null) {
            return new Arm(spec, policy.words(), scenario -> opened(policy, Tuning.DEFAULT));
        }
        if (spec.startsWith(RESEEDED) && spec.substring(RESEEDED.length()).matches("[0-9]{1,9}")) {
            return reseeded(spec, Long.parseLong(spec.substring(RESEEDED.length())));
        }
        if (spec.matches(BLUNDERING)) {
            return blundering(spec, Double.parseDouble(spec.substring(spec.indexOf('@') + 1)));
        }
        if (spec.endsWith(".toml")) {
            return operator(spec);
        }
        if (spec.endsWith(".jar")) {
            return version(spec);
        }
        if (spec.contains("=")) {
            return changed(spec);
        }
        var near = Nearest.to(spec, Policies.names());
        throw new BadArm("there is no policy \"" + spec + "\""
                + (near == null ? "" : " (" + near + " perhaps)")
                + "; expected one of " + String.join(", ", Policies.names())
                + ", key=value of the settings, an "
                + "operator file that ends with .toml, or a version that ends with .jar");
    }

    private static Opened opened(Policy policy, Tuning tuning) {
        return new Opened(policy, tuning, () -> { });
    }

    /** The module as it is, but for the seed of its own chance: the change of nothing. */
    private static Arm reseeded(String spec, long other) {
        var policy = new Policy(spec, "the module with another seed of its own",
                (settings, seed, truth) -> new Brain(settings, seed ^ 0x9e3779b97f4a7c15L * (other + 1)));
        return new Arm(spec, policy.words(), scenario -> opened(policy, Tuning.DEFAULT));
    }

    /** A planted fault, to see how small a change a comparison finds. */
    private static Arm blundering(String spec, double share) {
        var policy = new Policy(spec, "the module, with " + Math.round(share * 1e6) / 1e4
                + "% of its picks replaced by chance", (settings, seed, truth) ->
                new Blundering(new Brain(settings, seed), share, seed));
        return new Arm(spec, policy.words(), scenario -> opened(policy, Tuning.DEFAULT));
    }

    private static Arm operator(String spec) throws BadArm {
        try {
            var file = OperatorFile.read(Path.of(spec));
            var tuning = file.tuning();
            return new Arm(spec, "the module under the operator file " + spec + ", which sets " + file.count()
                    + " keys", scenario -> opened(Policies.MODULE, tuning));
        } catch (FaultyFileException | InvalidPathException e) {
            throw new BadArm(spec + ": " + e.getMessage());
        }
    }

    private static Arm version(String spec) throws BadArm {
        var jar = Path.of(spec);
        if (!Files.isRegularFile(jar)) {
            throw new BadArm(spec + ": there is no such file; expected the jar of a version of the program");
        }
        var fault = JarModule.fault(jar);
        if (fault != null) {
            throw new BadArm(spec + ": " + fault);
        }
        return new Arm(spec, "the version in " + jar.getFileName(), scenario -> {
            var process = new JarModule.Process(jar);
            var settings = new DispatcherSettings(scenario);
            var policy = new Policy(spec, spec, (given, seed, truth) ->
                    new JarModule(process, settings.settings(given.self()), seed));
            return new Opened(policy, Tuning.DEFAULT, process::close);
        });
    }

    private record Change(String path, JsonPrimitive value) {
    }

    /**
     * The platform's settings with some figures changed, by their paths as in {@code allowed.max_attempts=3}.
     */
    private static Arm changed(String spec) throws BadArm {
        var changes = new ArrayList<Change>();
        for (var each : spec.split(",")) {
            var match = CHANGE.matcher(each.strip());
            if (!match.matches()) {
                throw new BadArm(each + ": expected a settings key and its value, as in "
                        + "allowed.max_attempts=3");
            }
            changes.add(new Change(match.group(1), value(match.group(2))));
        }
        var policy = new Policy(spec, "the module under changed settings", (given, seed, truth) -> null);
        return new Arm(spec, "the module with " + spec, scenario -> {
            var settings = new DispatcherSettings(scenario);
            return opened(new Policy(policy.name(), policy.words(), (given, seed, truth) ->
                    module(settings.settings(given.self()), changes, seed)), Tuning.DEFAULT);
        });
    }

    private static JsonPrimitive value(String text) throws BadArm {
        try {
            var parsed = JsonParser.parseString(text);
            return parsed.isJsonPrimitive() ? parsed.getAsJsonPrimitive() : new JsonPrimitive(text);
        } catch (JsonParseException e) {
            throw new BadArm(text + ": expected a number, true or false, or a word");
        }
    }

    private static Dispatcher module(JsonObject settings, List<Change> changes, long seed) {
        changes.forEach(each -> change(settings, each));
        try {
            Map<String, Object> map = new Gson().fromJson(settings,
                    new TypeToken<LinkedTreeMap<String, Object>>() { }.getType());
            return new Brain(SettingsReader.read(map), seed);
        } catch (SettingsException e) {
            throw new IllegalArgumentException("the changed settings can't be used: " + e.getMessage(), e);
        }
    }

    /** Only a key that there is can be changed, so that a wrong one is not taken for a change of nothing. */
    private static void change(JsonObject settings, Change change) {
        var steps = change.path.split("\\.");
        var at = settings;
        for (int i = 0; i < steps.length; i++) {
            var step = STEP.matcher(steps[i]);
            step.matches();
            var found = at.get(step.group(1));
            int index = step.group(2) == null ? -1 : Integer.parseInt(step.group(2));
            if (found == null || index >= 0 && (!found.isJsonArray() || index >= found.getAsJsonArray()
                    .size())) {
                throw new IllegalArgumentException(change.path + ": the settings have no " + steps[i]
                        + (i == 0 ? "; they have " + String.join(", ", settings.keySet()) : ""));
            }
            if (i < steps.length - 1) {
                var next = index < 0 ? found : found.getAsJsonArray().get(index);
                if (!next.isJsonObject()) {
                    throw new IllegalArgumentException(change.path + ": " + steps[i] + " holds no keys");
                }
                at = next.getAsJsonObject();
            } else if (index >= 0) {
                found.getAsJsonArray().set(index, change.value);
            } else {
                at.add(step.group(1), change.value);
            }
        }
    }

    /** What would go wrong in a run of this scenario, found out before any; null: nothing. */
    public String fault(Scenario scenario) {
        try (var opened = opener.open(scenario)) {
            var settings = new DispatcherSettings(scenario);
            Map<String, Object> map = new Gson().fromJson(settings.settings(0),
                    new TypeToken<LinkedTreeMap<String, Object>>() { }.getType());
            opened.policy().maker().module(SettingsReader.read(map), 1, null);
            return null;
        } catch (SettingsException | RuntimeException e) {
            return e.getMessage();
        }
    }
}
