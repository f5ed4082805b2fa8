package ryemast.consul;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.core.Note;
import ryemast.membership.SourceReport;
import ryemast.net.http.HttpMessage;
import ryemast.pacing.BlockingQuery;

/**
 * The workers of one service, as one source of members. Where so many are lost at once that membership keeps
 * them, the catalogue is asked as well, of the leader's own certain state and at the next agent where there
 * is one: workers that are not registered there either have been taken off by somebody, not by a fault.
 */
final class ServiceWatch extends Watch<HealthReader.Answer> {

    private static final Logger LOG = Logger.getLogger(ServiceWatch.class.getName());

    private final ConsulSettings settings;
    private final Members members;
    private final Targets targets;
    private final HealthReader reader;
    private final Executor reading;
    private final String service;
    private final String source;
    private List<String> complaints = List.of();
    private boolean confirming;
    private boolean doubted;

    ServiceWatch(Loop loop, Agents agents, ConsulSettings settings, Members members, String service,
            long seed,
            Executor reading) {
        super(loop, agents, "service " + service,
                new BlockingQuery(settings.pace(), settings.agents().size(), seed), reading);
        this.settings = settings;
        this.members = members;
        this.service = service;
        this.reading = reading;
        targets = new Targets(settings);
        reader = new HealthReader(settings.mapping());
        source = "consul/" + service;
    }

    @Override
    String target() {
        return targets.health(service);
    }

    @Override
    HealthReader.Answer read(Reader text) throws IOException {
        return reader.read(text);
    }

    @Override
    void take(HealthReader.Answer found, Certainty certainty) {
        complain(found.complaints());
        members.observe(new SourceReport(source, certainty.index(), true, certainty.age(), found.workers()));
        if (members.withheld(source) == 0) {
            doubted = false;
        } else if (!confirming) {
            // A wrong answer may have come under the index of the next right one, which would then be no
            // news. Once at once; where the doubt lasts, with each call that brings nothing, as a list may be
            // long.
            if (!doubted) {
                doubt();
            }
            doubted = true;
            confirm();
        }
    }

    @Override
    void unchanged() {
        members.unchanged(source);
        if (doubted) {
            doubt();
        }
    }

    @Override
    void failed(String why) {
        members.failed(source);
    }

    /** Each once, for as long as it is there. */
    private void complain(List<String> now) {
        for (var each : now) {
            if (!complaints.contains(each)) {
                Note.warning(LOG, "an entry of service {service} is left out: {why}", "service", service,
                        "why", each);
            }
        }
        complaints = now;
    }

    private void confirm() {
        confirming = true;
        int next = (server() + 1) % settings.agents().size();
        long until = loop.now() + settings.pace().answerSlack() + settings.connectLimit();
        agents.call(next, "GET", targets.registered(service), HttpMessage.EMPTY, until, result -> {
            confirming = false;
            if (result.good() && !"false".equals(result.answer().head().header("x-consul-knownleader"))) {
                reading.execute(() -> confirmBy(result.answer().body()));
            }
        });
    }

    private void confirmBy(byte[] body) {
        try {
            var present = CatalogReader.workers(
                    new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8),
                    settings.mapping().id());
            loop.post(() -> members.confirmGone(source, present));
        } catch (IOException | RuntimeException e) {
            Note.warning(LOG, "the catalogue's word on service {service} can't be read: {why}", "service",
                    service,
                    "why", e.getMessage());
        }
    }
}
