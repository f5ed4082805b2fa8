package ryemast.operator;

import java.util.List;
import ryemast.consul.Field;

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
            "Job names (X-Txn) taken last that can't be used again; four times as many of those sent on."),
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
            "So many things may wait for the disk; more are counted, not recorded."),

    DRAINED_FILE("membership.drained_file", "", Kind.FILE,
            "Workers that are to get nothing new, an id and perhaps a reason on each line; read at the"
                    + " start and at SIGHUP."),
    LOSS_PERCENT("membership.loss_percent", 33, 1, 100, "a hundred believes any list",
            "Where Consul loses more of the workers at once, none of these losses is believed at first."),
    LOSS_WINDOW_S("membership.loss_window_s", 10, 1, 3600, "at once means within some seconds",
            "Losses within so long count as at once."),
    SUSPECT_S("membership.suspect_s", 60, 1, 86_400, "a worker that is truly gone costs a try now and then",
            "A loss that was not believed is after so long, unless a call has shown the worker alive."),
    PROBATION_S("membership.probation_s", 10, 0, 3600, "a restored catalogue must be followed in the end",
            "After its versions went back, Consul may only take work away for so long."),
    FLAP_HALF_LIFE_S("membership.flap_half_life_s", 10, 1, 3600, "a worker must be let go again",
            "In so long a worker's falls to critical are half forgotten."),
    FLAP_FALLS("membership.flap_falls", 2, 1, 100, "one fall is no flapping",
            "A worker that has fallen more often is held until it has been steady."),
    HELD_PERCENT("membership.held_percent", 10, 1, 100, "none at all would never show that it is well",
            "What a worker that is held gets of its usual traffic."),
    WARNED_PERCENT("membership.warned_percent", 50, 1, 100, "one that warns still serves",
            "What a worker gets whose checks warn, where Consul's weights don't say."),
    FORGET_S("membership.forget_s", 600, 10, 86_400, "it may come back soon",
            "The books of a worker that is gone are kept for so long."),

    CONSUL_AGENTS("consul.agents", "", Kind.ADDRESSES,
            "Consul's agents, asked in this order; they take the place of the platform's discovery."),
    CONSUL_WORKERS("consul.workers", "tag:ryemast-worker", Kind.WORKERS,
            "Which of Consul's services the workers are: one by name, or all that carry a tag."),
    CONSUL_MODE("consul.mode", "default", List.of("default", "consistent", "stale"),
            "Consul's consistency mode."),
    CONSUL_DATACENTRE("consul.datacentre", "", Kind.TEXT,
    "The datacentre that is asked about; else the agent's own."),
    CONSUL_FILTER("consul.filter", "", Kind.TEXT, "An expression of Consul's that the workers must meet."),
    CONSUL_TOKEN_FILE("consul.token_file", "", Kind.FILE,
            "Holds the token that goes with each call; read at the start and at SIGHUP."),
    CONSUL_AUTHORITY_FILE("consul.authority_file", "", Kind.FILE,
            "Certificates (PEM) that sign those of agents; where it is named, agents are spoken to over"
                    + " TLS."),
    CONSUL_TLS_NAME("consul.tls_name", "", Kind.TEXT,
            "What agents' certificates are for, where that is not their addresses."),
    CONSUL_WAIT_S("consul.wait_s", 10, 1, 600, "an agent that has died in silence is noticed no sooner",
            "For how long an agent may hold a call until there is news."),
    CONSUL_CONNECT_LIMIT_MS("consul.connect_limit_ms", 1000, 10, 60_000, "the next agent waits meanwhile",
            "How long a connection to an agent may take to come up."),
    CONSUL_LONGEST_ANSWER_MB("consul.longest_answer_mb", 16, 1, 256,
            "a worker takes some 1.5 KB, and an answer is held in memory as a whole",
            "The longest answer that is read."),
    CONSUL_ID("consul.id", "service-id", Kind.FIELD, "Where a worker's id stands, by which it calls back."),
    CONSUL_KIND("consul.kind", "meta:kind", Kind.FIELD, "Where its kind stands, as the settings name kinds."),
    CONSUL_ZONE("consul.zone", "meta:zone", Kind.FIELD, "Where its zone stands, as the settings name zones."),
    CONSUL_CELL("consul.cell", "meta:cell", Kind.FIELD, "Where its cell's number stands."),
    CONSUL_WEIGHT("consul.weight", "weights", Kind.FIELD, "Where its size stands."),
    CONSUL_STARTED("consul.started", "meta:started_ms", Kind.FIELD,
            "Where its process's last start stands, in Unix time in milliseconds."),
    CONSUL_REGISTER_AS("consul.register_as", "", Kind.TEXT,
            "The service that this dispatcher itself is registered as; it is not where this is absent."),
    CONSUL_TTL_S("consul.ttl_s", 10, 3, 3600, "a beat comes every third of it",
            "After so long without a beat of the loop, Consul takes the dispatcher for critical."),

    BATCH_LISTEN("batch.listen", "", Kind.ADDRESS,
            "Where submitters of batches connect; there is no batch submission where this is absent."),
    BATCH_FOLDER("batch.folder", "", Kind.FOLDER,
            "A folder that lasts, for all that submitters were told is taken."),
    BATCH_KEYS_FOLDER("batch.keys_folder", "", Kind.FOLDER,
            "Where './ryemast keys' has made the dispatcher's keys; read at the start and at SIGHUP."),
    BATCH_MOST_OUT("batch.most_out", 256, 1, 100_000, "each takes memory, and a place among open jobs",
            "Batch jobs out at once at most; how many there are below that follows what is idle."),
    BATCH_MOST_WAITING("batch.most_waiting", 200_000, 1, 5_000_000, "each takes some ten bytes of memory",
            "Batch jobs that are not over, of all submitters together; more are turned away for now."),
    BATCH_CONNECTIONS("batch.connections", 64, 1, 10_000, "each takes a socket and some 50 KB",
            "Submitters' connections at once."),
    BATCH_HELLO_LIMIT_MS("batch.hello_limit_ms", 3000, 100, 60_000, "strangers must not hold places",
            "A connection must have shown its key and said hello so soon."),
    BATCH_FRAME_LIMIT_MS("batch.frame_limit_ms", 10_000, 100, 600_000, "a peer that is stuck must go",
            "A message must be whole, and an answer read, within so long."),
    BATCH_IDLE_LIMIT_S("batch.idle_limit_s", 300, 1, 86_400, "a connection is no use for longer",
            "A connection on which nothing is asked for so long is ended; sessions stay."),
    BATCH_WINDOW("batch.window", 64, 1, 10_000, "each request under way takes memory",
            "Requests of one connection that are not answered yet; no more are read."),
    BATCH_STORE_MB("batch.store_mb", 2048, 16, 1_048_576, "results of jobs are kept until they are fetched",
            "How large the store may grow; beyond it nothing new is taken."),
    BATCH_RESERVE_MB("batch.reserve_mb", 64, 1, 1_048_576, "what is out must be able to end",
            "What the disk must have left; where it has less, nothing new is taken."),
    BATCH_RETAIN_S("batch.retain_s", 604_800, 60, 31_536_000, "a disk is not endless",
            "Jobs that are over and that nobody has fetched are forgotten after so long."),
    BATCH_FAILURES("batch.failures", 3, 1, 100, "a job that never ends well must end at last",
            "So often may a job that may be repeated fail, where its submitter does not say."),

    COORDINATION_KIND("coordination.kind", "none", List.of("none", "embedded", "consul"),
            "What dispatchers agree by: a store of this one's own, for a site that has one, or Consul's KV."),
    COORDINATION_FOLDER("coordination.folder", "", Kind.FOLDER,
            "A folder that lasts, for the embedded store; no other process may use it."),
    COORDINATION_PREFIX("coordination.prefix", "ryemast", Kind.KEY,
            "What all keys in Consul's KV begin with; the same for all replicas of a site, and for no other"
                    + " site."),
    COORDINATION_AGENTS("coordination.agents", "", Kind.ADDRESSES,
            "Consul's agents for this, asked in this order; else those of consul.agents."),
    COORDINATION_TOKEN_FILE("coordination.token_file", "", Kind.FILE,
            "Holds the token that may write these keys; read at the start and at SIGHUP; else that of"
                    + " consul.token_file."),
    COORDINATION_REPLICAS("coordination.replicas", 1, 1, 64, "each one's lease is read by all others",
            "How many dispatchers the site is meant to have."),
    COORDINATION_LASTS_MS("coordination.lasts_ms", 3000, 500, 60_000,
            "a beat takes a round trip and a commit, and work waits for so long where a replica dies",
            "How long a replica's lease lasts without a beat; one comes every third of it."),
    COORDINATION_DRIFT_PERCENT("coordination.drift_percent", 1, 1, 20,
            "clocks drift by less than one, and each percent makes leases worth less",
            "How far the monotonic clocks of two machines may run apart; leases are cut short by as much."),

    TIMETABLE_FILE("timetable.file", "", Kind.FILE,
            "The entries file: which jobs are handed in by the calendar, once over all replicas; read at the"
                    + " start and at SIGHUP."),

    RESERVATIONS_FILE("reservations.file", "", Kind.FILE,
            "The reservations file: which services have how much of the workers' time to themselves, over"
                    + " all replicas; read at the start and at SIGHUP."),

    PEERS_LISTEN("peers.listen", "", Kind.ADDRESS,
            "Where datagrams of other dispatchers come: what they hold at workers, and how these do."),
    PEERS_ADDRESSES("peers.addresses", "", Kind.ADDRESSES,
            "Where all other dispatchers of the site listen for them; nobody else is heard."),
    PEERS_PERIOD_MS("peers.period_ms", 100, 20, 5000,
            "signals are worth less with each 100 ms, and each costs a pass over all workers",
            "How often the others are told.");

    /** What a key's value is. */
    enum Kind { NAME, ADDRESS, FOLDER, WORD, WHOLE, ADDRESSES, FILE, TEXT, FIELD, WORKERS, KEY }

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
        return kind == Kind.WHOLE && List.of("ms", "s", "bytes", "mb", "percent").contains(end) ? end : "";
    }

    /** What a value must be, with the reason. */
    public String expected() {
        return switch (kind) {
            case NAME -> "a text of 1 to " + OperatorFile.LONGEST_NAME + " visible characters";
            case ADDRESS -> "an address IP:PORT, such as \"127.0.0.1:3000\"";
            case FOLDER -> "the path of a folder, such as \"/var/lib/ryemast\"";
            case ADDRESSES ->
                    "addresses IP:PORT with commas between them, such as \"127.0.0.1:8500, 127.0.0.1:8501\"";
            case FILE -> "the path of a file, such as \"/etc/ryemast/drained\"";
            case TEXT -> "a text of 1 to " + OperatorFile.LONGEST_TEXT + " visible characters";
            case FIELD -> Field.FORM;
            case KEY -> "names of A-Z a-z 0-9 . _ - with / between them, such as \"ryemast/site\"";
            case WORKERS -> "\"service:NAME\" or \"tag:NAME\"";
            case WORD -> "\"" + String.join("\" or \"", words) + "\"";
            case WHOLE -> "a whole number from " + least + " to " + most
                    + (unit().isEmpty() ? "" : " (" + unit() + ")") + ": " + why;
        };
    }
}
