package ryemast.lab.compare;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.jar.JarFile;
import pipitladder.Dispatcher;

/**
 * The decision module of another version of the program, spoken to on the simulator's wire: one process for a
 * run, one instance in it for each life of a dispatcher, one batch for each event.
 *
 * <p>The wire and not its classes: versions differ in the module's interface, in its records and in the names
 * of packages, and a class loader would need a bridge for each; every version speaks the wire, as the
 * platform demands it. An outcome that the wire has no word for (a request that is at fault itself) is told
 * as an error.
 */
final class JarModule implements Dispatcher {

    private static final long LONGEST_END = 5;
    /** Commands by which versions have spoken the wire, the present one first. */
    private static final String COMMAND = "benchlink";

    /** The process of one run. */
    static final class Process implements AutoCloseable {
        private final java.lang.Process process;
        private final BufferedWriter to;
        private final BufferedReader from;
        private int instances;

        Process(Path jar) {
            try {
                process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java")
                        .toString(),
                        "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx256m", "-jar",
                        jar.toString(), COMMAND).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            } catch (IOException e) {
                throw new UncheckedIOException(jar + ": can't be started: " + e.getMessage(), e);
            }
            to = process.outputWriter(StandardCharsets.UTF_8);
            from = process.inputReader(StandardCharsets.UTF_8);
        }

        private void send(JsonObject message) throws IOException {
            to.write(message.toString());
            to.write('\n');
        }

        @Override
        public void close() {
            try {
                to.close();
                if (!process.waitFor(LONGEST_END, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            } catch (IOException e) {
                process.destroyForcibly();
            } catch (InterruptedException e) {
                process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
    }

    private final Process process;
    private final JsonObject settings;
    private final long seed;
    private final int who;
    private boolean begun;
    private int list;

    JarModule(Process process, JsonObject settings, long seed) {
        this.process = process;
        this.settings = settings;
        this.seed = seed;
        who = process.instances++;
    }

    /** Why a jar can't be a version, null if it can. */
    static String fault(Path jar) {
        try (var file = new JarFile(jar.toFile())) {
            var manifest = file.getManifest();
            return manifest == null || manifest.getMainAttributes().getValue("Main-Class") == null
                    ? "its manifest names no main class; expected the jar that 'mvn package' makes" : null;
        } catch (IOException e) {
            return "is no jar: " + e.getMessage();
        }
    }

    @Override
    public void handle(long now, Event event, Consumer<? super Action> out) {
        try {
            process.send(message("sync", "t", now));
            if (!begun) {
                begun = true;
                var start = message("new_instance", "random_seed", seed & 0xfffffffffffffL);
                start.addProperty("who", who);
                start.add("env", settings);
                process.send(start);
            }
            tell(event);
            process.send(message("eob"));
            process.to.flush();
            hear(out);
        } catch (IOException e) {
            throw new UncheckedIOException("the other version does not answer: " + e.getMessage(), e);
        }
    }

    private static JsonObject message(String kind) {
        var message = new JsonObject();
        message.addProperty("kind", kind);
        return message;
    }

    private static JsonObject message(String kind, String key, long value) {
        var message = message(kind);
        message.addProperty(key, value);
        return message;
    }

    private JsonObject mine(String kind) {
        return message(kind, "who", who);
    }

    private void tell(Event event) throws IOException {
        if (event instanceof WorkerList told) {
            tell(told);
        } else if (event instanceof Request request) {
            var message = mine("work_item");
            message.addProperty("ref", request.id());
            message.addProperty("category", request.jobClass());
            message.addProperty("customer", request.tenant());
            message.addProperty("needs", request.slots());
            message.addProperty("ram_units", request.memory());
            message.addProperty("size_hint", request.costHint());
            message.addProperty("state_bits", request.costHint() > 0 ? 1 : 0);
            message.addProperty("expires_in", request.timeLeft());
            process.send(message);
        } else if (event instanceof AttemptEnded ended) {
            var message = attempt("ended", ended.request(), ended.attempt(), ended.worker());
            message.addProperty("spent", 0);
            message.addProperty("code", code(ended.outcome()));
            message.addProperty("ended", ended.requestClosed());
            process.send(message);
        } else if (event instanceof AttemptStarted started) {
            var message = attempt("interim", started.request(), started.attempt(), started.worker());
            message.addProperty("what", 1);
            process.send(message);
        } else if (event instanceof AttemptProgress progress) {
            var message = attempt("interim", progress.request(), progress.attempt(), progress.worker());
            message.addProperty("what", 2);
            message.addProperty("x", progress.done());
            process.send(message);
        } else if (event instanceof ClientGone gone) {
            var message = mine("lapsed");
            message.addProperty("ref", gone.request());
            process.send(message);
        } else if (event instanceof TimerDue due) {
            var message = mine("wake");
            message.addProperty("name", due.name());
            process.send(message);
        } else {
            throw new IllegalStateException("the model tells of no such thing: " + event);
        }
    }

    private JsonObject attempt(String kind, long request, int attempt, String worker) {
        var message = mine(kind);
        message.addProperty("ref", request);
        message.addProperty("round_no", attempt);
        message.addProperty("runner", worker);
        return message;
    }

    private void tell(WorkerList told) throws IOException {
        var view = mine("view");
        view.addProperty("scope", switch (told.kind()) {
            case CHANGES, AMENDED -> "patch";
            case COMPLETE -> "whole";
            case CACHED -> "stale_copy";
            case FAILED, BROKEN, UNREACHABLE -> "broken";
            case FORGOTTEN ->
                    throw new IllegalArgumentException("the wire has no word for workers forgotten");
        });
        view.addProperty("serial", list);
        if (!told.kind().isFailure()) {
            var census = message("census", "ref", 0);
            var entries = new JsonArray();
            for (var worker : told.workers()) {
                var entry = new JsonObject();
                entry.addProperty("condition", switch (worker.state()) {
                    case READY -> "healthy";
                    case DRAINING -> "cordoned";
                    case GONE -> "deregistered";
                });
                entry.addProperty("runner", worker.id());
                entry.addProperty("model", worker.kind());
                entry.addProperty("zone", worker.zone());
                entry.addProperty("block", worker.cell());
                entry.addProperty("weight", worker.weight());
                entry.addProperty("last_start", worker.startedAt());
                entries.add(entry);
            }
            census.add("entries", entries);
            process.send(census);
            view.addProperty("ref", 0);
        }
        list++;
        process.send(view);
    }

    private static String code(Outcome outcome) {
        return switch (outcome) {
            case SUCCESS -> "GOOD";
            case ERROR, UNUSABLE -> "BAD";
            case REJECTED -> "FULL";
            case TIMED_OUT -> "LATE";
            case CONNECT_FAILED -> "NOCONN";
            case RESET -> "RST";
            case CANCELLED -> "CXL";
            case NOT_SENT -> "NOP";
        };
    }

    private void hear(Consumer<? super Action> out) throws IOException {
        while (true) {
            var line = process.from.readLine();
            if (line == null) {
                throw new IOException("it has ended; does it know the command '" + COMMAND + "'?");
            }
            JsonObject said;
            try {
                said = JsonParser.parseString(line).getAsJsonObject();
            } catch (JsonParseException | IllegalStateException e) {
                throw new IOException("it says what is no action: " + line, e);
            }
            var kind = said.get("kind").getAsString();
            if (kind.equals("ok")) {
                return;
            }
            out.accept(action(kind, said));
        }
    }

    private static Action action(String kind, JsonObject said) throws IOException {
        return switch (kind) {
            case "try" -> new Send(number(said, "ref"), said.get("runner").getAsString(),
                    number(said, "give_up_after"));
            case "cancel" -> new Cancel(number(said, "ref"), (int) number(said, "round_no"));
            case "deny" -> new Refuse(number(said, "ref"), number(said, "not_before_for"));
            case "drop_request" -> new Fail(number(said, "ref"));
            case "keep_informed" -> new Subscribe();
            case "remind" -> new SetTimer(number(said, "due_at"), said.get("name").getAsString());
            case "log" -> new Log(said.get("reason_text").getAsString());
            case "fatal" -> throw new IOException("it has failed: " + said.get("reason_text").getAsString());
            default -> throw new IOException("it wants what the model does not have: " + kind);
        };
    }

    private static long number(JsonObject said, String key) {
        var value = said.get(key);
        return value == null || value.isJsonNull() ? 0 : value.getAsLong();
    }
}
