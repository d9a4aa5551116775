package org.copperspindle.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimTable;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Everything that must survive: configuration, upstreams and claims, as the log's commands made them.
 */
public final class ControlState implements ReplicatedState {

    private static final Logger LOGGER = LogManager.getLogger(ControlState.class);

    private final MessageRegistry commands = WireTransport.registry()
            .register(ApplyConfigCommand.CODEC)
            .register(AnnounceCommand.CODEC)
            .register(RemoveUpstreamCommand.CODEC)
            .register(ClaimCommand.CODEC)
            .register(SettleCommand.CODEC);
    private final Map<String, UpstreamAnnouncement> upstreams = new LinkedHashMap<>();
    private final Map<String, AppliedChange> changes = new LinkedHashMap<>();
    private final ClaimTable claims = new ClaimTable();
    private long configVersion;
    private String configText = "";
    private long membershipRevision;

    @Override
    public ControlResult apply(long index, long term, byte[] command) {
        try {
            Optional<WireMessage> decoded = commands.decode(command);
            return decoded.map(this::dispatch).orElseGet(ControlResult.Done::new);
        } catch (MalformedFrameException e) {
            // The record passed its checksum, so this is a fault of a proposer; all members skip it alike.
            LOGGER.error("event=command-malformed index={} term={}", index, term, e);
            return new ControlResult.Done();
        }
    }

    @Override
    public byte[] snapshot() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void restore(byte[] snapshot) {
        throw new UnsupportedOperationException();
    }

    /**
     * Encodes a command for the log.
     *
     * @param command one of this package's commands
     * @return its bytes
     */
    public byte[] encode(WireMessage command) {
        return commands.encode(command);
    }

    /**
     * Returns the newest accepted version.
     *
     * @return the version, 0 if none was accepted yet
     */
    public long configVersion() {
        return configVersion;
    }

    /**
     * Returns the newest accepted configuration.
     *
     * @return its INI text
     */
    public String configText() {
        return configText;
    }

    /**
     * Returns the number of membership changes so far.
     *
     * @return the revision
     */
    public long membershipRevision() {
        return membershipRevision;
    }

    /**
     * Returns the upstreams known.
     *
     * @return announcements by identity, read-only
     */
    public Map<String, UpstreamAnnouncement> upstreams() {
        return Map.copyOf(upstreams);
    }

    /**
     * Returns the time of the log, by which claims end.
     *
     * @return milliseconds
     */
    public long claimTimeMillis() {
        return claims.timeMillis();
    }

    private ControlResult dispatch(WireMessage command) {
        try {
            if (command instanceof ApplyConfigCommand apply) {
                return applyConfig(apply);
            }
            if (command instanceof AnnounceCommand announce) {
                return announce(UpstreamAnnouncement.CODEC.decode(announce.announcement()));
            }
            if (command instanceof RemoveUpstreamCommand remove) {
                return remove(remove);
            }
            if (command instanceof ClaimCommand claim) {
                return new ControlResult.Claimed(
                        claims.claim(ClaimRequestMessage.CODEC.decode(claim.claim()), claim.atMillis()));
            }
            if (command instanceof SettleCommand settle) {
                claims.settle(ClaimSettleMessage.CODEC.decode(settle.settle()));
            }
        } catch (MalformedFrameException e) {
            LOGGER.error("event=command-malformed type={}", command.getClass().getSimpleName(), e);
        }
        return new ControlResult.Done();
    }

    private ControlResult applyConfig(ApplyConfigCommand apply) {
        AppliedChange before = changes.get(apply.changeId());
        if (before != null) {
            return before.text().equals(apply.text()) && before.baseVersion() == apply.baseVersion()
                    ? new ControlResult.ConfigAccepted(before.version())
                    : new ControlResult.ConfigRefused(configVersion, "change id was used with other content");
        }
        if (apply.baseVersion() != configVersion) {
            return new ControlResult.ConfigRefused(
                    configVersion, "made from version " + apply.baseVersion() + ", in force is " + configVersion);
        }
        configVersion++;
        configText = apply.text();
        changes.put(apply.changeId(), new AppliedChange(apply.baseVersion(), configVersion, apply.text()));
        return new ControlResult.ConfigAccepted(configVersion);
    }

    private ControlResult announce(UpstreamAnnouncement announcement) {
        UpstreamAnnouncement known = upstreams.get(announcement.upstreamId());
        if (known == null || announcement.supersedes(known)) {
            upstreams.put(announcement.upstreamId(), announcement);
            membershipRevision++;
        }
        return new ControlResult.Done();
    }

    private ControlResult remove(RemoveUpstreamCommand remove) {
        UpstreamAnnouncement known = upstreams.get(remove.upstreamId());
        if (known != null && known.incarnation() <= remove.incarnation()) {
            upstreams.remove(remove.upstreamId());
            membershipRevision++;
        }
        return new ControlResult.Done();
    }

    private record AppliedChange(long baseVersion, long version, String text) {}
}
