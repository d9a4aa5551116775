package org.copperspindle.control;

import java.util.Optional;
import java.util.Set;

import org.copperspindle.audit.AuditEntry;
import org.copperspindle.audit.AuditEntryFactory;
import org.copperspindle.config.ConfigHistory;
import org.copperspindle.fleet.CloseOrderCommand;
import org.copperspindle.fleet.FenceCommand;
import org.copperspindle.fleet.OpenOrder;
import org.copperspindle.fleet.OpenOrders;
import org.copperspindle.fleet.PlaceOrderCommand;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.membership.UpstreamTable;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.WireMessage;

/**
 * Compares the state before and after a command and creates an audit entry for what changed. A command without effect,
 * such as a resent change or a late announcement, creates none.
 */
final class AuditObserver {

    private static final Set<Class<? extends WireMessage>> OBSERVED = Set.of(
            ApplyConfigCommand.class,
            AnnounceCommand.class,
            RemoveUpstreamCommand.class,
            PlaceOrderCommand.class,
            CloseOrderCommand.class,
            FenceCommand.class,
            AuditEntry.class);
    private static final Observation NO_ENTRY = atMillis -> Optional.empty();

    private final ConfigHistory config;
    private final UpstreamTable upstreams;
    private final OpenOrders orders;

    AuditObserver(ConfigHistory config, UpstreamTable upstreams, OpenOrders orders) {
        this.config = config;
        this.upstreams = upstreams;
        this.orders = orders;
    }

    /** The state before a command; creates the audit entry once the command is applied. */
    @FunctionalInterface
    interface Observation {
        Optional<AuditEntry> after(long atMillis);
    }

    boolean observes(WireMessage command) {
        return OBSERVED.contains(command.getClass());
    }

    Observation observe(WireMessage command) throws MalformedFrameException {
        if (command instanceof ApplyConfigCommand apply) {
            return change(apply);
        }
        if (command instanceof AnnounceCommand announce) {
            return announcement(UpstreamAnnouncement.CODEC.decode(announce.announcement()));
        }
        if (command instanceof RemoveUpstreamCommand remove) {
            return removal(remove);
        }
        if (command instanceof PlaceOrderCommand place) {
            return atMillis -> orders.find(place.upstreamId())
                    .map(o -> order(o, atMillis, "placed " + o.kind() + " " + o.subject()));
        }
        if (command instanceof CloseOrderCommand close) {
            return closedOrder(
                    close.upstreamId(), close.outcome() + (close.reason().isEmpty() ? "" : " " + close.reason()));
        }
        if (command instanceof FenceCommand fence) {
            return closedOrder(fence.upstreamId(), "void agent-restarted incarnation=" + fence.incarnation());
        }
        return NO_ENTRY;
    }

    private Observation change(ApplyConfigCommand apply) {
        long before = config.version();
        String text = config.text();
        return atMillis -> config.version() == before
                ? Optional.empty()
                : Optional.of(AuditEntryFactory.change(
                        apply.operator(),
                        apply.changeId(),
                        apply.baseVersion(),
                        config.version(),
                        text,
                        config.text(),
                        atMillis));
    }

    private Observation announcement(UpstreamAnnouncement announced) {
        Optional<UpstreamAnnouncement> before = known(announced.upstreamId());
        return atMillis -> known(announced.upstreamId())
                .filter(now -> before.isEmpty() || now.supersedes(before.get()))
                .flatMap(now -> AuditEntryFactory.membership(before, now, config.version(), atMillis));
    }

    private Observation removal(RemoveUpstreamCommand remove) {
        Optional<UpstreamAnnouncement> before = known(remove.upstreamId());
        return atMillis -> before.filter(
                        removedUpstream -> known(remove.upstreamId()).isEmpty())
                .map(removedUpstream -> AuditEntryFactory.removed(
                        removedUpstream.upstreamId(), removedUpstream.incarnation(), config.version(), atMillis));
    }

    private Observation closedOrder(String upstreamId, String how) {
        Optional<OpenOrder> before = orders.find(upstreamId);
        return atMillis -> before.filter(o -> orders.find(upstreamId).isEmpty())
                .map(o -> order(o, atMillis, "ended " + how + " " + o.kind() + " " + o.subject()));
    }

    private AuditEntry order(OpenOrder order, long atMillis, String detail) {
        return AuditEntryFactory.order(order.upstreamId(), order.orderId(), config.version(), atMillis, detail);
    }

    private Optional<UpstreamAnnouncement> known(String upstreamId) {
        return Optional.ofNullable(upstreams.all().get(upstreamId));
    }
}
