package org.copperspindle.daemon;

import java.util.List;

import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.LoadSubscribeMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.agent.StampedOrderMessage;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimSettledMessage;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.control.NotLeaderMessage;
import org.copperspindle.fleet.FenceQueryMessage;
import org.copperspindle.fleet.FenceReplyMessage;
import org.copperspindle.fleet.OrderMessage;
import org.copperspindle.fleet.OrderReportAckMessage;
import org.copperspindle.fleet.OrderReportMessage;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;

/**
 * The codecs of all messages between the system's own processes.
 */
public final class MessageCatalog {

    private static final List<MessageCodec<?>> CODECS = List.of(
            UpstreamAnnouncement.CODEC,
            LeaseRequestMessage.CODEC,
            LeaseGrantMessage.CODEC,
            ControlUpdateMessage.CODEC,
            NotLeaderMessage.CODEC,
            ClaimRequestMessage.CODEC,
            ClaimReplyMessage.CODEC,
            ClaimSettleMessage.CODEC,
            ClaimSettledMessage.CODEC,
            AttemptOrderMessage.CODEC,
            AttemptCancelMessage.CODEC,
            AttemptChunkMessage.CODEC,
            AttemptOutcomeMessage.CODEC,
            OutcomeAckMessage.CODEC,
            OutcomeQueryMessage.CODEC,
            StampedOrderMessage.CODEC,
            LoadSubscribeMessage.CODEC,
            LoadReportMessage.CODEC,
            OrderMessage.CODEC,
            OrderReportMessage.CODEC,
            OrderReportAckMessage.CODEC,
            FenceQueryMessage.CODEC,
            FenceReplyMessage.CODEC);

    private MessageCatalog() {}

    /**
     * Creates a registry of all messages.
     *
     * @return a new registry
     */
    public static MessageRegistry registry() {
        MessageRegistry registry = WireTransport.registry();
        CODECS.forEach(registry::register);
        ConsensusLog.codecs().forEach(registry::register);
        return registry;
    }
}
