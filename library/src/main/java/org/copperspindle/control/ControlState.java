package org.copperspindle.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.audit.AuditPart;
import org.copperspindle.audit.AuditSink;
import org.copperspindle.audit.AuditTrail;
import org.copperspindle.claims.ClaimTable;
import org.copperspindle.config.ConfigHistory;
import org.copperspindle.fleet.OpenOrders;
import org.copperspindle.membership.UpstreamTable;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * The replicated state of control, as the commands of the log produced it. Each feature package owns a
 * {@link StatePart}; this class dispatches commands to the parts and combines their snapshots.
 */
public final class ControlState implements ReplicatedState {

    private static final Logger LOGGER = LogManager.getLogger(ControlState.class);

    private final MessageRegistry commands = WireTransport.registry();
    private final Map<Class<?>, StatePart> byCommand = new HashMap<>();
    private final ConfigHistory config = new ConfigHistory();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ClaimPart claims = new ClaimPart();
    private final AuditPart audit;
    private final OpenOrders orders = new OpenOrders();
    private final AuditObserver observer = new AuditObserver(config, upstreams, orders);
    private final Clock clock;
    private final List<StatePart> parts;

    /** Creates an empty state whose audit trail is not stored. */
    public ControlState() {
        this(AuditSink.NONE, Clock.systemUTC());
    }

    /**
     * Creates an empty state.
     *
     * @param sink  stores the audit trail
     * @param clock wall clock for the timestamps of commands, which are for readers of the trail only
     */
    public ControlState(AuditSink sink, Clock clock) {
        this.audit = new AuditPart(sink);
        this.clock = clock;
        this.parts = List.of(config, upstreams, claims, audit, orders);
        commands.register(TimestampedCommand.CODEC);
        for (StatePart part : parts) {
            for (MessageCodec<?> codec : part.commands()) {
                commands.register(codec);
                byCommand.put(codec.messageClass(), part);
            }
        }
    }

    @Override
    public ControlResult apply(long index, long term, byte[] command) {
        try {
            Optional<WireMessage> decoded = commands.decode(command);
            if (decoded.isPresent() && decoded.get() instanceof TimestampedCommand timestamped) {
                Optional<WireMessage> inner = commands.decode(timestamped.command());
                return inner.isPresent()
                        ? dispatch(index, term, timestamped.atMillis(), inner.get())
                        : new ControlResult.Done();
            }
            if (decoded.isPresent()) {
                return dispatch(index, term, 0, decoded.get());
            }
        } catch (MalformedFrameException e) {
            // The record passed its checksum, so its proposer encoded it wrongly; all members skip it in the same way.
            LOGGER.error("event=command-malformed index={} term={}", index, term, e);
        }
        return new ControlResult.Done();
    }

    @Override
    public byte[] snapshot() {
        List<byte[]> encoded = new ArrayList<>();
        for (StatePart part : parts) {
            encoded.add(ControlSnapshot.SnapshotPart.CODEC.encode(
                    new ControlSnapshot.SnapshotPart(part.name(), part.snapshot())));
        }
        return ControlSnapshot.CODEC.encode(new ControlSnapshot(ControlSnapshot.FORMAT, encoded));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            Map<String, byte[]> partsByName = read(snapshot);
            for (StatePart part : parts) {
                part.clear();
                byte[] bytes = partsByName.remove(part.name());
                if (bytes != null) {
                    part.restore(bytes);
                }
            }
            // An unknown part comes from a newer build: dropping it would silently lose accepted state.
            if (!partsByName.isEmpty()) {
                throw new IllegalStateException("snapshot holds unknown parts: " + partsByName.keySet());
            }
        } catch (MalformedFrameException e) {
            throw new IllegalStateException("snapshot can't be read", e);
        }
    }

    /**
     * Encodes a command for the log.
     *
     * @param command one of this package's commands
     * @return its bytes
     */
    public byte[] encode(WireMessage command) {
        byte[] encoded = commands.encode(command);
        return observer.observes(command) ? commands.encode(new TimestampedCommand(clock.millis(), encoded)) : encoded;
    }

    /**
     * Returns the configuration and the changes that made it.
     *
     * @return the live state; read only outside {@link #apply}
     */
    public ConfigHistory config() {
        return config;
    }

    /**
     * Returns the upstreams and the changes that made them.
     *
     * @return the live state; read only outside {@link #apply}
     */
    public UpstreamTable upstreams() {
        return upstreams;
    }

    /**
     * Returns the claims.
     *
     * @return the live state; read only outside {@link #apply}
     */
    public ClaimTable claims() {
        return claims.table();
    }

    /**
     * Returns the orders that may be in progress.
     *
     * @return the live state; read only outside {@link #apply}
     */
    public OpenOrders orders() {
        return orders;
    }

    /**
     * Returns the audit trail.
     *
     * @return the live state; read only outside {@link #apply}
     */
    public AuditTrail audit() {
        return audit.trail();
    }

    private ControlResult dispatch(long index, long term, long atMillis, WireMessage command)
            throws MalformedFrameException {
        StatePart part = byCommand.get(command.getClass());
        if (part == null) {
            return new ControlResult.Done();
        }
        audit.setOrigin(term, atMillis);
        AuditObserver.Observation observation = observer.observe(command);
        ControlResult result = part.apply(index, command);
        observation.after(atMillis).ifPresent(entry -> audit.trail().append(index, term, entry));
        return result;
    }

    private static Map<String, byte[]> read(byte[] snapshot) throws MalformedFrameException {
        ControlSnapshot decoded = ControlSnapshot.CODEC.decode(snapshot);
        if (decoded.format() < 1 || decoded.format() > ControlSnapshot.FORMAT) {
            throw new IllegalStateException("snapshot format " + decoded.format() + " is not known");
        }
        Map<String, byte[]> partsByName = new HashMap<>();
        for (byte[] encoded : decoded.parts()) {
            ControlSnapshot.SnapshotPart part = ControlSnapshot.SnapshotPart.CODEC.decode(encoded);
            partsByName.put(part.name(), part.bytes());
        }
        return partsByName;
    }
}
