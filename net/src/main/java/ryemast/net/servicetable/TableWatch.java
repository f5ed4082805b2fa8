package ryemast.net.servicetable;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.logging.Logger;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import pipitladder.Dispatcher.ListKind;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.core.Note;
import ryemast.core.ServiceTable;
import ryemast.net.Addresses;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/** Holds a watch on the service table whenever the module has asked for one. */
public final class TableWatch implements ServiceTable {

    private static final Logger LOG = Logger.getLogger(TableWatch.class.getName());

    private final Loop loop;
    private final Members members;
    private final TableReader reader;
    private final TableTuning tuning;
    private final NioSocketConnector connector;
    private InetSocketAddress discovery;
    private long version;
    private Watch watch;

    public TableWatch(Loop loop, Members members, Transport transport, InetSocketAddress discovery,
            TableReader reader, TableTuning tuning) {
        this.loop = loop;
        this.members = members;
        this.discovery = discovery;
        this.reader = reader;
        this.tuning = tuning;
        connector = transport.connector(HttpCodec.stream(), new LinkHandler(loop));
        connector.setConnectTimeoutMillis(tuning.connectLimitMs());
    }

    /** The list as it was last known, before discovery has been asked. */
    public void begin(TableUpdate known) {
        follow(known, ListKind.CACHED);
    }

    @Override
    public void watch() {
        if (watch != null) {
            var old = watch;
            watch = null;
            old.close();
        }
        watch = new Watch();
        watch.open();
    }

    /**
     * Discovery is elsewhere from here on. All that was listed stays until the new one says otherwise; it is
     * asked for everything, as the former one's versions need not mean the same there.
     */
    public void moveTo(InetSocketAddress address) {
        if (!address.equals(discovery)) {
            Note.info(LOG, "the service table is at {address} from now on",
                    "address", Addresses.text(address));
            discovery = address;
            version = 0;
            watch();
        }
    }

    private void follow(TableUpdate update, ListKind kind) {
        version = update.version();
        members.discovered(kind, version,
                update.entries().stream().map(TableUpdate.Entry::sighting).toList());
    }

    /** One call to discovery, from its connecting to its end; one that is replaced is not heard any more. */
    private final class Watch implements Link {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private IoSession session;
        private Runnable alarm = () -> { };

        void open() {
            heard();
            var future = connector.connect(discovery);
            future.addListener(done -> loop.post(() -> {
                session = LinkHandler.attach(future, this);
                if (session == null) {
                    fail("cannot connect");
                    return;
                }
                if (watch != this) {
                    close();
                    return;
                }
                var head = HttpHead.request("GET", "/catalog/members?watch=1&from=" + version)
                        .with("Host", Addresses.text(discovery)).with("Accept", "application/json");
                session.write(new HttpMessage(head, HttpMessage.EMPTY));
            }));
        }

        void close() {
            alarm.run();
            if (session != null) {
                session.closeNow();
            }
        }

        /** Every failure and every end of a watch is told to the module, which decides when to ask again. */
        void fail(String why) {
            if (watch == this) {
                Note.warning(LOG, "the watch on the service table failed: {why}", "why", why,
                        "address", Addresses.text(discovery));
                watch = null;
                close();
                members.discoveryFailed();
            }
        }

        private void heard() {
            alarm.run();
            alarm = loop.at(loop.now() + tuning.silence(), () -> fail("silence"));
        }

        @Override
        public void ended() {
            fail("the connection ended");
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
            } else if (part instanceof byte[] bytes) {
                heard();
                for (byte each : bytes) {
                    take(each);
                }
            }
        }

        private void take(byte next) {
            if (next != '\n') {
                line.write(next);
                if (line.size() > tuning.longestLine()) {
                    fail("a line of over " + tuning.longestLine() + " bytes");
                    line.reset();
                }
                return;
            }
            var text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            if (!text.isEmpty() && watch == this) {
                try {
                    var update = reader.read(text);
                    follow(update, update.full() ? ListKind.COMPLETE : ListKind.CHANGES);
                } catch (IOException e) {
                    fail("a malformed line: " + e.getMessage());
                }
            }
        }
    }
}
