package ryemast.operator;

import java.util.List;

/**
 * Every key of the operator file: the one table that the file is read by, that {@code config} prints and that
 * the commented example is held against. A range's ends carry the reason why a value beyond them can't be
 * meant. Defaults are what the program does without a file.
 */
public enum Key {
    NAME("service.name", "dispatcher", Kind.NAME,
            "What the log calls this dispatcher. Only where the platform gives no name."),
    LISTEN("service.listen", "", Kind.ADDRESS,
            "Where clients and call-backs come, IP:PORT. Only where the platform gives no address."),
    DISCOVERY("service.discovery", "", Kind.ADDRESS,
            "Where the service table is, IP:PORT. Only where the platform gives no address."),

    SOCKETS("limits.sockets", 1024, 64, 1 << 20, "fewer leave no room beside the program's own descriptors",
            "File descriptors the process may hold. Only where the platform gives no limit."),
    RESERVED_SOCKETS("limits.reserved_sockets", 48, 32, 4096, "the program itself holds some twenty",
            "Of these, kept for all that is no connection: files, selectors, discovery."),
    MAX_OPEN("limits.max_open", 0, 0, 1_000_000, "each open job takes memory",
            "Jobs open at once; 0 for as many as there are sockets. Only where the platform gives no limit."),
    REGIONS_SHARE("limits.regions_share", 3, 2, 16, "the larger part must stay for clients and call-backs",
            "One in so many connections is for those to workers."),
    CALL_BACK_SHARE("limits.call_back_share", 8, 2, 64, "call-backs must get through when jobs are many",
            "Of the connections to us, one in so many is never taken by jobs."),
    NAMES_REMEMBERED("limits.names_remembered", 4096, 256, 1_000_000,
            "fewer let a name come again within seconds, and each takes some 100 bytes",
            "Job names (X-Txn) taken last that can't be used again."),
    GRACE_MS("limits.grace_ms", 20, 0, 10_000, "an answer after that is no use to anyone",
            "How long after its deadline a job may be answered. Only where the platform gives no time."),

    LONGEST_REQUEST_MS("terminals.longest_request_ms", 2000, 100, 60_000,
            "good clients on slow ways need some time, and bad ones must not have too much",
            "A request must be whole so soon after its first byte; then it is answered 408."),
    TERMINAL_IDLE_LIMIT_S("terminals.idle_limit_s", 300, 1, 86_400, "a connection is no use for longer",
            "A connection between two requests for so long is ended."),
    LINGER_MS("terminals.linger_ms", 1000, 10, 60_000, "a client must have time to read its answer",
            "How long the connection of a faulty request stays, so that its answer can be read."),
    YOUNG_MS("terminals.young_ms", 50, 0, 10_000, "those who never speak would fill the places",
            "A new connection is not ended for others' sake before this age."),
    FREE_SHARE("terminals.free_share", 16, 2, 1024, "more than a half kept free would waste the sockets",
            "One in so many connections is kept free for newcomers."),
    BACKLOG("terminals.backlog", 1024, 16, 65_535, "the kernel keeps no longer queue",
            "Connections that may wait in the kernel."),

    CONNECT_LIMIT_MS("regions.connect_limit_ms", 250, 1, 60_000, "jobs have deadlines",
            "How long a connection to a worker may take to come up. Only where the platform gives no time."),
    REGION_IDLE_LIMIT_MS("regions.idle_limit_ms", 5000, 40, 3_600_000,
            "less would end every connection at once",
            "After how long workers end an idle connection; here they rest for three quarters of it at most."
                    + " Only where the platform gives no time."),
    LEAST_REST_MS("regions.least_rest_ms", 25, 0, 60_000, "connections must be used again under load",
            "However soon connections break, what has rested for less is used again."),
    FORGIVING_S("regions.forgiving_s", 30, 1, 86_400, "sooner, every break would be met again at once",
            "After so long without a break, connections may rest for twice as long again."),
    PATIENCE_MS("regions.patience_ms", 2000, 100, 60_000, "its connection could carry other calls",
            "How long a worker's answer is awaited that no job waits for any more."),

    SILENCE_MS("service_table.silence_ms", 3200, 2500, 600_000, "a sound watch speaks every 2 s",
            "A watch that says nothing for so long has failed; it is begun anew."),
    TABLE_CONNECT_LIMIT_MS("service_table.connect_limit_ms", 1000, 100, 60_000,
            "the list grows old meanwhile", "How long the connection to discovery may take to come up."),
    LONGEST_LINE_BYTES("service_table.longest_line_bytes", 1 << 20, 4096, 16 << 20,
            "a worker takes some 150 bytes, and memory is short",
            "The longest line that a watch may send; some thousand workers fit into a MiB."),

    CLIENTS_COME_MS("end.clients_come_ms", 450, 0, 60_000, "the platform kills what does not end",
            "After SIGTERM, resting connections are left alone for so long, as clients still use them."),
    REST_MS("end.rest_ms", 100, 0, 60_000, "the platform kills what does not end",
            "After that, a connection is ended once it has rested for so long."),
    LEAST_MS("end.least_ms", 700, 0, 120_000, "the platform kills what does not end",
            "The program stays for so long after SIGTERM at least, even with nothing to do."),

    FORMAT("log.format", "text", List.of("text", "json"), "Lines for people, or JSON objects for machines."),
    LEVEL("log.level", "info", List.of("severe", "warning", "info", "fine"),
            "The least grave lines written."),
    REPEAT_LIMIT("log.repeat_limit", 100, 0, 1_000_000, "more would be no bound",
            "Lines of one kind written in a window, the others are counted; 0 for all of them."),
    REPEAT_WINDOW_S("log.repeat_window_s", 10, 1, 3600, "what was held back must be told while it matters",
            "How long a window is."),

    RECORDING_FOLDER("recording.folder", "", Kind.FOLDER,
            "Where traffic and outcomes are recorded, without bodies and names; nowhere where it is absent."),
    PART_MB("recording.part_mb", 16, 1, 4096, "the next one begins then, and the oldest goes as a whole",
            "How large a file of a recording grows."),
    TOTAL_MB("recording.total_mb", 256, 2, 1_048_576, "the oldest files are taken away for the newest",
            "How much this dispatcher's recordings take together, those of earlier starts among them."),
    WAITING_RECORDS("recording.waiting_records", 8192, 256, 1 << 20,
            "fewer don't last from one writing to the next, a tenth of a second, and each takes 100 bytes",
            "So many things may wait for the disk; more are counted, not recorded.");

    /** What a key's value is. */
    enum Kind { NAME, ADDRESS, FOLDER, WORD, WHOLE }

    private final String path;
    private final Object otherwise;
    private final Kind kind;
    private final long least;
    private final long most;
    private final List<String> words;
    private final String why;
    private final String meaning;

    Key(String path, String otherwise, Kind kind, String meaning) {
        this(path, otherwise, kind, 0, 0, List.of(), "", meaning);
    }

    Key(String path, String otherwise, List<String> words, String meaning) {
        this(path, otherwise, Kind.WORD, 0, 0, words, "", meaning);
    }

    Key(String path, long otherwise, long least, long most, String why, String meaning) {
        this(path, otherwise, Kind.WHOLE, least, most, List.of(), why, meaning);
    }

    Key(String path, Object otherwise, Kind kind, long least, long most, List<String> words, String why,
            String meaning) {
        this.path = path;
        this.otherwise = otherwise;
        this.kind = kind;
        this.least = least;
        this.most = most;
        this.words = words;
        this.why = why;
        this.meaning = meaning;
    }

    /** Section and name, as in {@code limits.sockets}. */
    public String path() {
        return path;
    }

    public String section() {
        return path.substring(0, path.indexOf('.'));
    }

    public String inSection() {
        return path.substring(path.indexOf('.') + 1);
    }

    /** A {@link Long}, or a {@link String}, empty where there is none. */
    public Object otherwise() {
        return otherwise;
    }

    Kind kind() {
        return kind;
    }

    long least() {
        return least;
    }

    long most() {
        return most;
    }

    List<String> words() {
        return words;
    }

    public String meaning() {
        return meaning;
    }

    /** The unit, which the name ends with; empty for a count, a word or a text. */
    public String unit() {
        var end = path.substring(path.lastIndexOf('_') + 1);
        return kind == Kind.WHOLE && List.of("ms", "s", "bytes", "mb").contains(end) ? end : "";
    }

    /** What a value must be, with the reason. */
    public String expected() {
        return switch (kind) {
            case NAME -> "a text of 1 to " + OperatorFile.LONGEST_NAME + " visible characters";
            case ADDRESS -> "an address IP:PORT, such as \"127.0.0.1:3000\"";
            case FOLDER -> "the path of a folder, such as \"/var/lib/ryemast\"";
            case WORD -> "\"" + String.join("\" or \"", words) + "\"";
            case WHOLE -> "a whole number from " + least + " to " + most
                    + (unit().isEmpty() ? "" : " (" + unit() + ")") + ": " + why;
        };
    }
}
