package ryemast.tools;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code keys}: makes and renews an authority, a dispatcher's and submitters' keys, and revokes them. */
@Command(name = "keys", description = {"Makes, renews, lists and revokes the keys of batch submission.",
    "All lie in one folder, which only its owner can read; a submitter's are in submitters/NAME, to be",
    "handed over.",
    "A dispatcher follows changes at SIGHUP, and its sessions go on."},
        subcommands = {KeysCommand.MakeAuthority.class, KeysCommand.MakeServer.class,
            KeysCommand.MakeSubmitter.class, KeysCommand.Revoke.class, KeysCommand.ListAll.class})
public final class KeysCommand implements Callable<Integer> {

    private static final int YEARS_10 = 3_650;
    private static final int YEAR = 365;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    /** What all of them share. */
    abstract static class Part implements Callable<Integer> {
        @Option(names = "--folder", required = true, paramLabel = "DIR", description = "Where the keys are.")
        Path folder;

        @Spec
        CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            say(work(new Authority(folder)));
            return 0;
        }

        abstract String work(Authority authority) throws IOException;

        void say(String text) {
            PrintWriter out = spec.commandLine().getOut();
            out.println(text);
            out.flush();
        }

        static Duration days(int days) throws IOException {
            if (days < 1 || days > 36_500) {
                throw new IOException("--days: must be from 1 to 36500, not " + days);
            }
            return Duration.of(days, ChronoUnit.DAYS);
        }
    }

    /** {@code keys authority}. */
    @Command(name = "authority", description = {"Makes the authority that signs all other keys.",
        "With --renew a new one, beside which the old one's certificates stay good until they expire."})
    static final class MakeAuthority extends Part {
        @Option(names = "--days", paramLabel = "N", defaultValue = "" + YEARS_10,
                description = "For how long it is good (${DEFAULT-VALUE}).")
        private int days;

        @Option(names = "--renew", description = "Also where there is one.")
        private boolean renew;

        @Override
        String work(Authority authority) throws IOException {
            return "authority " + authority.make(days(days), renew).getSerialNumber().toString(16) + " in "
                    + folder;
        }
    }

    /** {@code keys server}. */
    @Command(name = "server", description = "Makes a dispatcher's own key: server.crt and server.key.")
    static final class MakeServer extends Part {
        @Option(names = "--names", required = true, split = ",", paramLabel = "NAME",
                description = "Host names and IP addresses that submitters reach it by.")
        private List<String> names;

        @Option(names = "--days", paramLabel = "N", defaultValue = "" + YEAR,
                description = "For how long it is good (${DEFAULT-VALUE}).")
        private int days;

        @Option(names = "--renew", description = "In place of the one that is there.")
        private boolean renew;

        @Override
        String work(Authority authority) throws IOException {
            var made = authority.server(names, days(days), renew);
            return "server key " + made.getSerialNumber().toString(16) + " for " + String.join(", ", names)
                    + ", good until " + made.getNotAfter().toInstant();
        }
    }

    /** {@code keys submitter}. */
    @Command(name = "submitter", description = "Makes a submitter's keys, in submitters/NAME.")
    static final class MakeSubmitter extends Part {
        @Parameters(paramLabel = "NAME", description = "The submitter's own name.")
        private String name;

        @Option(names = "--account", required = true, paramLabel = "ACCOUNT",
                description = "Whose jobs it submits, as the platform names its accounts.")
        private String account;

        @Option(names = "--days", paramLabel = "N", defaultValue = "" + YEAR,
                description = "For how long they are good (${DEFAULT-VALUE}).")
        private int days;

        @Option(names = "--renew", description = "In place of those that are there, which stay good, too.")
        private boolean renew;

        @Override
        String work(Authority authority) throws IOException {
            return "keys of " + name + " for " + account + " in "
                    + authority.submitter(name, account, days(days), renew);
        }
    }

    /** {@code keys revoke}. */
    @Command(name = "revoke", description = "Revokes a submitter's keys; a dispatcher is told by SIGHUP.")
    static final class Revoke extends Part {
        @Parameters(index = "0", paramLabel = "NAME", description = "A submitter, or a key's serial number.")
        private String what;

        @Option(names = "--reason", paramLabel = "TEXT", defaultValue = "",
                description = "What one who comes with it is told.")
        private String reason;

        @Override
        String work(Authority authority) throws IOException {
            int count = authority.revoke(what, reason);
            if (count == 0) {
                throw new IOException("there is no key of " + what + " that is not revoked yet");
            }
            return count + " keys of " + what + " revoked";
        }
    }

    /** {@code keys list}. */
    @Command(name = "list", description = "Lists what was issued: serial, kind, name, account, until when.")
    static final class ListAll extends Part {
        @Option(names = "--json", description = "As JSON.")
        private boolean json;

        @Override
        String work(Authority authority) throws IOException {
            var all = authority.issued();
            var now = Instant.now();
            if (json) {
                var list = new JsonArray();
                for (var each : all) {
                    var one = new JsonObject();
                    one.addProperty("serial", each.serial());
                    one.addProperty("kind", each.kind());
                    one.addProperty("name", each.name());
                    one.addProperty("account", each.account());
                    one.addProperty("until", each.until().toString());
                    one.addProperty("revoked", each.revoked() != null);
                    list.add(one);
                }
                return list.toString();
            }
            var text = new StringBuilder();
            for (var each : all) {
                text.append(String.format("%-25s %-10s %-20s %-20s %s%s%n", each.serial(), each.kind(),
                        each.name(),
                        each.account(), each.until(), each.revoked() != null ? " revoked"
                                : each.until().isBefore(now) ? " expired" : ""));
            }
            return text.toString().stripTrailing();
        }
    }
}
