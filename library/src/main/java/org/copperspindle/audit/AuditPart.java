package org.copperspindle.audit;

import java.util.List;

import org.copperspindle.control.ControlResult;
import org.copperspindle.control.StatePart;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The audit trail as a part of the replicated state. Its commands are entries that the leader proposes for events that
 * only it can observe.
 */
public final class AuditPart implements StatePart {

    private final AuditTrail trail;
    private long term;
    private long atMillis;

    /**
     * Creates an empty part.
     *
     * @param sink sink that stores the records
     */
    public AuditPart(AuditSink sink) {
        this.trail = new AuditTrail(sink);
    }

    /**
     * Returns the trail.
     *
     * @return the live trail
     */
    public AuditTrail trail() {
        return trail;
    }

    /**
     * Sets the origin of the next command.
     *
     * @param proposedTerm   term in which it was proposed
     * @param proposedMillis wall clock of the proposer, in milliseconds since 1970
     */
    public void setOrigin(long proposedTerm, long proposedMillis) {
        term = proposedTerm;
        atMillis = proposedMillis;
    }

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public List<MessageCodec<?>> commands() {
        return List.of(AuditEntry.CODEC);
    }

    @Override
    public ControlResult apply(long index, WireMessage command) {
        trail.append(index, term, ((AuditEntry) command).withTime(atMillis));
        return new ControlResult.Done();
    }

    @Override
    public byte[] snapshot() {
        return trail.snapshot();
    }

    @Override
    public void clear() {
        trail.clear();
    }

    @Override
    public void restore(byte[] snapshot) throws MalformedFrameException {
        trail.restore(snapshot);
    }
}
