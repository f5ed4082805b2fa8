package ryemast.net.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;
import org.apache.mina.core.session.IoSession;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Clock;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.core.Note;
import ryemast.core.ServiceTable;
import ryemast.membership.ListFreshness;
import ryemast.net.Addresses;
import ryemast.net.Dialer;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Holds a watch on the service table whenever the module has asked for one. A watch that falls silent is
 * opened anew at once, and twice if need be, as what it misses counts as told 6 s after it fell silent: the
 * module's pause, which is there for many dispatchers that fail together, may be longer than what is left.
 */
public final class DiscoveryWatch implements ServiceTable {

    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    /** With the 3.2 s that a silence takes to notice, both of these are over when what is missed is told. */
    private static final int MOST_HASTY = 2;
    /** How long a call may take to its first word where time is short, in microseconds. */
    private static final long FIRST_WORD = 1_400_000;

    private final Loop loop;
    private final Members members;
    private final ListReader reader;
    private final DiscoveryTuning tuning;
    private final Dialer dialer;
    private InetSocketAddress discovery;
    private long version;
    private Watch watch;
    /** When discovery was last heard: a byte of a list, or of the line that says that nothing has changed. */
    private long heardAt;
    /** How many calls were made in haste since something was heard. */
    private int hasty;

    public DiscoveryWatch(Loop loop, Members members, Transport transport, InetSocketAddress discovery,
            ListReader reader, DiscoveryTuning tuning) {
        this.loop = loop;
        this.members = members;
        this.discovery = discovery;
        this.reader = reader;
        this.tuning = tuning;
        heardAt = loop.now();
        dialer = new Dialer(loop, transport.connector(HttpCodec.stream(), new LinkHandler(loop)),
                tuning.connectLimitMs() * Clock.MICROS_PER_MS);
    }

    /**
     * The list as it was last known, before discovery has been asked. Where lists are pushed nobody asks for
     * them, and yet they come on a watch only: it is opened now, as what discovery has counts as told.
     */
    public void begin(ListUpdate known, boolean pushed) {
        follow(known, ListKind.CACHED);
        if (pushed) {
            watch(shortPatience());
        }
    }

    @Override
    public void watch() {
        watch(tuning.silence());
    }

    private void watch(long patience) {
        if (watch != null) {
            var old = watch;
            watch = null;
            old.close();
        }
        watch = new Watch();
        watch.open(patience);
    }

    private long shortPatience() {
        return Math.min(FIRST_WORD, tuning.silence());
    }

    /**
     * Discovery is elsewhere from here on. All that was listed stays until the new one says otherwise; it is
     * asked for everything, as the former one's versions need not mean the same there. What it has counts as
     * told 4 s later, so that time is short from the first call on.
     */
    public void moveTo(InetSocketAddress address) {
        if (!address.equals(discovery)) {
            Note.info(LOG, "the service table is at {address} from now on",
                    "address", Addresses.text(address));
            discovery = address;
            version = 0;
            hasty = 0;
            if (watch != null) {
                // It may have been silent for a while already.
                watch.lost();
            }
            members.discoveryLost(loop.now() + ListFreshness.NOTIFIED_AFTER_REDIRECT
                    - ListFreshness.NOTIFIED_AFTER);
            watch(shortPatience());
        }
    }

    private void follow(ListUpdate update, ListKind kind) {
        version = update.version();
        log(update, kind);
        members.discovered(kind, version,
                update.entries().stream().map(ListUpdate.Entry::sighting).toList());
    }

    private static void log(ListUpdate update, ListKind kind) {
        if (kind != ListKind.CACHED) {
            Note.info(LOG, "list {version}, {kind}: {ready} ready, draining {draining}, gone {gone}",
                    "version", update.version(), "kind", kind,
                    "ready", update.ids(WorkerState.READY).size(),
                    "draining", update.ids(WorkerState.DRAINING), "gone", update.ids(WorkerState.GONE));
        }
    }

    /** One call to discovery, from its connecting to its end; one that is replaced is not heard any more. */
    private final class Watch implements Link {
        private final Frames frames = new Frames(tuning.longestLine());
        private IoSession session;
        private Runnable alarm = () -> { };
        private long openedAt;
        /** Whether the head of an answer with a list has come, and whether some of its body has. */
        private boolean answering;
        private boolean heard;

        void open(long patience) {
            openedAt = loop.now();
            await(patience);
            dialer.dial(discovery, this, up -> {
                session = up;
                if (watch != this) {
                    close();
                    return;
                }
                if (session == null) {
                    end("cannot connect");
                    members.discoveryUnreachable();
                    return;
                }
                var head = HttpHead.request("GET", "/catalog/members?watch=1&from=" + version)
                        .with("Host", Addresses.text(discovery)).with("Accept", "application/json");
                session.write(new HttpMessage(head, HttpMessage.EMPTY));
            });
        }

        void close() {
            alarm.run();
            if (session != null) {
                session.closeNow();
            }
        }

        /** A failure or an end is told to the module, which decides when to ask again. */
        void fail(String why) {
            if (watch == this) {
                end(why);
                members.discoveryFailed();
            }
        }

        private void end(String why) {
            warn(why);
            lost();
            watch = null;
            close();
        }

        /** A call that was never answered leaves things as they were: discovery was lost before. */
        private void lost() {
            if (heard) {
                members.discoveryLost(heardAt);
            }
        }

        private void warn(String why) {
            Note.warning(LOG, "the watch on the service table failed: {why}; opened {open_ms} ms ago,"
                    + " discovery last heard {silent_ms} ms ago, list {version}", "why", why,
                    "open_ms", millisSince(openedAt), "silent_ms", millisSince(heardAt), "version", version,
                    "address", Addresses.text(discovery));
        }

        private long millisSince(long time) {
            return (loop.now() - time) / Clock.MICROS_PER_MS;
        }

        private void await(long patience) {
            alarm.run();
            alarm = loop.at(loop.now() + patience, this::silent);
        }

        private void silent() {
            if (watch != this) {
                return;
            }
            if (hasty == MOST_HASTY) {
                // The module's pause follows: after it there is time for hasty calls again.
                hasty = 0;
                fail("silence");
                return;
            }
            hasty++;
            warn("silence");
            lost();
            watch(shortPatience());
        }

        @Override
        public void ended() {
            if (watch == this) {
                end("the connection ended");
                if (answering && !heard) {
                    // The list was on its way, and counts as notified.
                    members.discoveryLost(loop.now() - ListFreshness.NOTIFIED_AFTER);
                }
                members.discoveryBroke();
            }
        }

        @Override
        public void received(Object part, long at) {
            if (watch != this) {
                return;
            }
            if (part instanceof HttpHead head && head.status() >= 200 && head.status() != 200) {
                fail("status " + head.status());
            } else if (part instanceof HttpException e) {
                fail(e.getMessage());
            } else if (part == HttpCodec.END) {
                fail("it ended");
            } else if (part instanceof HttpHead) {
                answering = true;
            } else if (part instanceof byte[] bytes) {
                hasty = 0;
                noteFirstWord();
                heardAt = loop.now();
                await(tuning.silence());
                take(bytes);
            }
        }

        private void noteFirstWord() {
            if (!heard) {
                heard = true;
                Note.info(LOG, "the watch on the service table is open: first word after {open_ms} ms,"
                        + " {silent_ms} ms after the last one of discovery",
                        "open_ms", millisSince(openedAt), "silent_ms", millisSince(heardAt));
            }
        }

        private void take(byte[] bytes) {
            try {
                for (byte each : bytes) {
                    var text = frames.take(each);
                    if (text != null && !text.isEmpty() && watch == this) {
                        follow(text);
                    }
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        private void follow(String text) throws IOException {
            try {
                var update = reader.read(text);
                DiscoveryWatch.this.follow(update, update.full() ? ListKind.COMPLETE : ListKind.CHANGES);
            } catch (IOException e) {
                throw new IOException("a malformed line: " + e.getMessage(), e);
            }
        }
    }
}
