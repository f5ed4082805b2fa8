package ryemast.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What a trial can do to a process of the fleet, to its link, its clock or its disk, or to the agent. */
public enum StrikeKind {
    /** SIGKILL; started anew after {@code lasts}, with its disk as it was, empty, or as it was earlier. */
    KILL(Struck.PROCESS, 1, null),
    /** SIGTERM; stays down until a start. */
    STOP(Struck.PROCESS, 0, null),
    /** One that is down starts. */
    START(Struck.PROCESS, 0, null),
    /** SIGTERM; started anew once it has ended. */
    RESTART(Struck.PROCESS, 0, null),
    /** SIGSTOP, and SIGCONT after {@code lasts}. */
    PAUSE(Struck.PROCESS, 2, null),
    /** The same, at the first moment at which a fire waits inside, 2 s late at the latest. */
    PAUSE_WAITING(Struck.PROCESS, 5, null),
    /** Its timetable has the next revision; all others' too, after {@code lasts}. */
    REVISE(Struck.TIMETABLE, 2, null),
    /** Nothing passes on its link, either way. */
    CUT(Struck.LINK, 3, null),
    /** What it says does not arrive; what it is told does. */
    CUT_UP(Struck.LINK, 3, null),
    /** What it is told does not arrive; what it says does. */
    CUT_DOWN(Struck.LINK, 3, null),
    /** Bytes pass {@code size} milliseconds late, each way. */
    SLOW(Struck.LINK, 3, new Size(300, 300, 1, 60_000)),
    /** Its open connections are reset. */
    RESET(Struck.LINK, 0, null),
    /** The answers to its next {@code size} changes (PUT) are lost after they were made. */
    ANSWERS_LOST(Struck.LINK, 0, new Size(1, 1, 1, 1_000)),
    /** Its wall clock is {@code size} seconds off. */
    CLOCK_STEP(Struck.CLOCK, 5, new Size(-3_600, 3_600, -3_600, 3_600)),
    /** Its wall clock runs {@code size} millionths too fast. */
    CLOCK_DRIFT(Struck.CLOCK, 5, new Size(-10_000, 10_000, -10_000, 10_000)),
    /** No file of it can be written to. */
    DISK_FULL(Struck.DISK, 3, null),
    /** Nobody listens where the agent was; a restart, where it lasts a moment only. */
    AGENT_AWAY(Struck.AGENT, 2, null),
    /** The agent takes calls and says nothing. */
    AGENT_SILENT(Struck.AGENT, 2, null),
    /** The agent answers with what was. */
    AGENT_OLD(Struck.AGENT, 3, null),
    /** No datagram passes between it and its peers. */
    PEERS_CUT(Struck.PEERS, 3, null),
    /** Its own do not arrive; those to it do. */
    PEERS_CUT_UP(Struck.PEERS, 3, null),
    /** Those to it do not arrive; its own do. */
    PEERS_CUT_DOWN(Struck.PEERS, 3, null),
    /** They pass {@code size} milliseconds late, each way. */
    PEERS_SLOW(Struck.PEERS, 3, new Size(50, 3_000, 1, 60_000)),
    /** Of a hundred {@code size} are lost, each way. */
    PEERS_LOST(Struck.PEERS, 3, new Size(10, 90, 1, 100)),
    /** They come twice. */
    PEERS_TWICE(Struck.PEERS, 3, null),
    /** Beside each of its own one comes again that is {@code size} milliseconds old. */
    PEERS_AGAIN(Struck.PEERS, 3, new Size(100, 15_000, 1, 60_000));

    /** What a strike hits. */
    enum Struck { PROCESS, TIMETABLE, LINK, CLOCK, DISK, AGENT, PEERS }

    /** What a size is where none is said, and its ends. */
    record Size(double low, double high, double least, double most) {
    }

    /** Fires come at whole seconds: two of them bring a moment at which one waits, if there are any. */
    private static final long AIMS = 2_000_000;

    private final Struck struck;
    private final double lastsS;
    private final Size size;

    StrikeKind(Struck struck, double lastsS, Size size) {
        this.struck = struck;
        this.lastsS = lastsS;
        this.size = size;
    }

    Struck struck() {
        return struck;
    }

    /** In seconds where nothing is said; 0: it has no length. */
    double lastsS() {
        return lastsS;
    }

    /** Null: it has none. */
    Size size() {
        return size;
    }

    /** Whether a process that it strikes can do nothing for the fleet meanwhile. */
    boolean disables() {
        return switch (this) {
            case KILL, STOP, RESTART, PAUSE, PAUSE_WAITING, CUT, CUT_UP, CUT_DOWN, DISK_FULL -> true;
            default -> false;
        };
    }

    /** So long after its time it may come, as it waits for its moment; microseconds. */
    long aims() {
        return this == PAUSE_WAITING ? AIMS : 0;
    }

    /** Whether a process that it strikes starts anew, or for the first time. */
    boolean starts() {
        return this == KILL || this == RESTART || this == START;
    }

    /** Whether nothing that the agent says reaches the processes struck, or nothing new does. */
    boolean deafens() {
        return switch (this) {
            case CUT, CUT_UP, CUT_DOWN, AGENT_AWAY, AGENT_SILENT, AGENT_OLD -> true;
            default -> false;
        };
    }

    /** As in files and results. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static StrikeKind of(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    static List<String> words() {
        return Stream.of(values()).map(StrikeKind::word).toList();
    }
}
