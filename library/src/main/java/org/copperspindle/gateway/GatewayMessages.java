package org.copperspindle.gateway;

import org.copperspindle.admission.StartCancelMessage;
import org.copperspindle.admission.StartRequestMessage;
import org.copperspindle.admission.StartResponseMessage;
import org.copperspindle.backpressure.LimitRecordsMessage;
import org.copperspindle.backpressure.PermitRequestMessage;
import org.copperspindle.backpressure.PermitResponseMessage;
import org.copperspindle.batch.ExpectedPiecesMessage;
import org.copperspindle.batch.PieceCancelMessage;
import org.copperspindle.batch.PieceGroup;
import org.copperspindle.batch.PieceResultsMessage;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.batch.ReleaseResultsMessage;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.discovery.UpstreamRecordsMessage;
import org.copperspindle.engineload.EngineLoadsMessage;
import org.copperspindle.engineload.EngineSamplesMessage;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.RelayMessage;
import org.copperspindle.origin.OriginAnswerMessage;
import org.copperspindle.origin.OriginQueryMessage;
import org.copperspindle.origin.OriginRecordsMessage;
import org.copperspindle.overload.OverloadMessage;
import org.copperspindle.quarantine.SuspicionMessage;
import org.copperspindle.standby.DispatcherHeartbeatMessage;
import org.copperspindle.standby.TakeoverMessage;
import org.copperspindle.version.EvacuationsMessage;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionLeaseRequestMessage;
import org.copperspindle.version.VersionLeaseResponseMessage;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;

/**
 * Registers all messages between nodes.
 */
final class GatewayMessages {

    private GatewayMessages() {}

    static MessageRegistry registry() {
        MessageRegistry registry = WireTransport.registry()
                .register(NodeHelloMessage.CODEC)
                .register(NodeListMessage.CODEC)
                .register(RelayMessage.CODEC)
                .register(VersionMessage.CODEC)
                .register(EvacuationsMessage.CODEC)
                .register(SoftwareInUseMessage.CODEC)
                .register(VersionLeaseRequestMessage.CODEC)
                .register(VersionLeaseResponseMessage.CODEC)
                .register(UpstreamRecordsMessage.CODEC)
                .register(SuspicionMessage.CODEC)
                .register(OverloadMessage.CODEC)
                .register(LimitRecordsMessage.CODEC)
                .register(PermitRequestMessage.CODEC)
                .register(PermitResponseMessage.CODEC)
                .register(PieceGroup.CODEC)
                .register(PieceResultsMessage.CODEC)
                .register(PieceCancelMessage.CODEC)
                .register(ReleaseResultsMessage.CODEC)
                .register(PoolLoadMessage.CODEC)
                .register(ExpectedPiecesMessage.CODEC)
                .register(StartRequestMessage.CODEC)
                .register(StartResponseMessage.CODEC)
                .register(StartCancelMessage.CODEC)
                .register(EngineSamplesMessage.CODEC)
                .register(EngineLoadsMessage.CODEC)
                .register(DispatcherHeartbeatMessage.CODEC)
                .register(TakeoverMessage.CODEC)
                .register(OriginRecordsMessage.CODEC)
                .register(OriginQueryMessage.CODEC)
                .register(OriginAnswerMessage.CODEC);
        ConsensusLog.codecs().forEach(registry::register);
        return registry;
    }
}
