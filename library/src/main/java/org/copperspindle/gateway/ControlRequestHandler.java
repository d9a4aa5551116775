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
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.quarantine.SuspectDigest;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionMessage;

/**
 * Handles the control requests of operators and the announcements of upstreams. Runs on the network thread only, and
 * callbacks run there as well.
 */
public final class ControlRequestHandler {

    private static final Logger LOGGER = LogManager.getLogger(ControlRequestHandler.class);

    private final DirectoryGossip gossip;
    private final ControlGroupClient controlGroup;
    private final RouteTableReader tableReader;
    private final Supplier<Optional<RouteTable>> table;
    private final IgnoredAnnouncements ignoredAnnouncements;
    private final RequestQuarantine quarantine;
    private final EvacuationRequestHandler evacuationHandler;

    ControlRequestHandler(
            DirectoryGossip gossip,
            ControlGroupClient controlGroup,
            RouteTableReader tableReader,
            Supplier<Optional<RouteTable>> table,
            IgnoredAnnouncements ignoredAnnouncements,
            RequestQuarantine quarantine,
            EvacuationRequestHandler evacuationHandler) {
        this.gossip = gossip;
        this.controlGroup = controlGroup;
        this.tableReader = tableReader;
        this.table = table;
        this.ignoredAnnouncements = ignoredAnnouncements;
        this.quarantine = quarantine;
        this.evacuationHandler = evacuationHandler;
    }

    /**
     * Accepts an upstream's announcement. Unless it is ignored, it has been sent to all nodes when this returns.
     *
     * <p>An announcement for a pool that the table does not have is ignored: it may come from a sender of another
     * kind, and would take over the address of the upstream that serves there. An upstream whose pool is only in a
     * newer table is told to ask another node, and announces itself again.
     *
     * @param announcement the announcement
     * @return why it is ignored; empty if it was accepted
     */
    public Optional<String> onAnnouncement(UpstreamRecord announcement) {
        boolean known = table.get()
                .map(t -> t.findPool(announcement.pool()).isPresent())
                .orElse(true);
        if (!known) {
            recordIgnored(announcement.id(), "unknown-pool", announcement.pool());
            return Optional.of("no pool " + announcement.pool());
        }
        gossip.onAnnouncement(announcement);
        return Optional.empty();
    }

    /**
     * Records an announcement that does not identify an upstream.
     *
     * @param id     id in the request path
     * @param reason why it is ignored, one of a small fixed set
     * @param detail what is wrong with it
     */
    public void recordIgnored(String id, String reason, String detail) {
        ignoredAnnouncements.add(id, reason, detail);
    }

    /**
     * Records that an upstream leaves; this has been sent to all nodes when this returns.
     *
     * @param id          its id
     * @param incarnation the incarnation that leaves; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known
     *                    here
     */
    public void onDeparture(String id, long incarnation) {
        gossip.onLeft(id, incarnation, "deregistered");
    }

    /**
     * Lists the requests and prompt parts that are quarantined because upstreams terminated while running them.
     *
     * @return the quarantined requests known to this node
     */
    public List<QuarantinedRequest> quarantinedRequests() {
        return quarantine.quarantined();
    }

    /**
     * Lifts the quarantine of a request or a prompt part; this has been sent to all nodes when this returns.
     *
     * @param digest identifies it
     * @return false if it is neither quarantined nor suspected
     */
    public boolean liftQuarantine(SuspectDigest digest) {
        return quarantine.lift(digest);
    }

    /**
     * Validates a configuration and submits it to the control group.
     *
     * @param text     the whole text
     * @param callback receives the result
     */
    public void submitTable(byte[] text, Consumer<ControlResponse> callback) {
        RouteTableResult result = tableReader.read(text);
        if (result instanceof RouteTableResult.Invalid invalid) {
            LOGGER.info("event=version-refused bytes={} problem=\"{}\"", text.length, invalid.problem());
            callback.accept(new ControlResponse.Invalid(invalid.problem()));
        } else if (result instanceof RouteTableResult.Valid valid) {
            VersionMessage version = new VersionMessage(valid.table().version(), text);
            controlGroup.put(valid.table(), version, callback);
        }
    }

    /**
     * Returns the handler of requests to evacuate failure domains.
     *
     * @return the handler
     */
    public EvacuationRequestHandler evacuationHandler() {
        return evacuationHandler;
    }

    /**
     * Reads the newest accepted configuration.
     *
     * @param callback receives its text
     */
    public void readTable(Consumer<ControlResponse> callback) {
        controlGroup.submit(VersionMember::read, outcome -> {
            if (outcome instanceof ControlResponse.Unavailable unavailable) {
                LOGGER.info("event=version-not-read reason=\"{}\"", unavailable.reason());
            }
            callback.accept(outcome);
        });
    }
}
