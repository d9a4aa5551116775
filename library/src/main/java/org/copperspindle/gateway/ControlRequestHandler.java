package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.quarantine.QuarantinedRequest;
import org.copperspindle.quarantine.RequestDigest;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionMessage;

/**
 * What operators and upstreams may ask of a node. Network thread only; answers come on it.
 */
public final class ControlRequestHandler {

    private static final Logger LOGGER = LogManager.getLogger(ControlRequestHandler.class);

    private final DirectoryGossip gossip;
    private final GroupQuestions group;
    private final RouteTableReader reader;
    private final Supplier<Optional<RouteTable>> held;
    private final IgnoredAnnouncements ignored;
    private final RequestQuarantine quarantine;
    private final EvacuationRequestHandler evacuations;

    ControlRequestHandler(
            DirectoryGossip gossip,
            GroupQuestions group,
            RouteTableReader reader,
            Supplier<Optional<RouteTable>> held,
            IgnoredAnnouncements ignored,
            RequestQuarantine quarantine,
            EvacuationRequestHandler evacuations) {
        this.gossip = gossip;
        this.group = group;
        this.reader = reader;
        this.held = held;
        this.ignored = ignored;
        this.quarantine = quarantine;
        this.evacuations = evacuations;
    }

    /**
     * Takes an upstream's announcement; unless it is ignored, it has been passed on to all nodes when this returns.
     *
     * <p>One of a pool that the table does not have is ignored: it may come from a writer of another kind, and would take
     * its address from the upstream that serves there. An upstream of a pool that a newer table has is told to ask another
     * node, and announces itself again.
     *
     * @param news the announcement
     * @return why it is ignored; empty if it was taken
     */
    public Optional<String> announced(UpstreamRecord news) {
        boolean known = held.get().map(t -> t.findPool(news.pool()).isPresent()).orElse(true);
        if (!known) {
            ignored(news.id(), "unknown-pool", news.pool());
            return Optional.of("no pool " + news.pool());
        }
        gossip.onAnnouncement(news);
        return Optional.empty();
    }

    /**
     * Takes note of an announcement that names no upstream.
     *
     * @param id     id that it came under
     * @param reason why it is ignored, one of a few
     * @param detail what is wrong with it
     */
    public void ignored(String id, String reason, String detail) {
        ignored.add(id, reason, detail);
    }

    /**
     * Takes note that an upstream leaves; this has been passed on to all nodes when this returns.
     *
     * @param id          its id
     * @param incarnation the life that has ended; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known here
     */
    public void left(String id, long incarnation) {
        gossip.onLeft(id, incarnation, "deregistered");
    }

    /**
     * Lists the requests that are held off because upstreams ended under them.
     *
     * @return as this node knows them
     */
    public List<QuarantinedRequest> heldRequests() {
        return quarantine.quarantined();
    }

    /**
     * Lets a request run again; this has been passed on to all nodes when this returns.
     *
     * @param digest names the request
     * @return false if it is neither held off nor suspected
     */
    public boolean liftHold(RequestDigest digest) {
        return quarantine.lift(digest);
    }

    /**
     * Has a configuration accepted.
     *
     * @param text   the whole text
     * @param answer told how it ended
     */
    public void accept(byte[] text, Consumer<ControlResponse> answer) {
        RouteTableResult result = reader.read(text);
        if (result instanceof RouteTableResult.Invalid invalid) {
            LOGGER.info("event=version-refused bytes={} problem=\"{}\"", text.length, invalid.problem());
            answer.accept(new ControlResponse.Invalid(invalid.problem()));
        } else if (result instanceof RouteTableResult.Valid valid) {
            VersionMessage edition = new VersionMessage(valid.table().version(), text);
            group.ask((member, ended) -> member.put(edition, ended), ended -> {
                LOGGER.info(
                        "event=version-asked version={} bytes={} result={}",
                        edition.version(),
                        text.length,
                        describe(ended));
                answer.accept(ended);
            });
        }
    }

    /**
     * Returns what may be asked about the evacuation of failure domains.
     *
     * @return its own desk
     */
    public EvacuationRequestHandler evacuations() {
        return evacuations;
    }

    /**
     * Reads the newest accepted configuration.
     *
     * @param answer told the text
     */
    public void read(Consumer<ControlResponse> answer) {
        group.ask(VersionMember::read, answer);
    }

    private static String describe(ControlResponse result) {
        return result instanceof ControlResponse.Recorded recorded
                ? "recorded newest=" + recorded.version()
                : result.getClass().getSimpleName();
    }
}
