package org.copperspindle.admission;

import java.time.Duration;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response of the controller to a start request.
 *
 * @param id               id of the start request at the node that sent it
 * @param verdict          {@link #START}, {@link #REFUSE} or {@link #QUEUED}; anything else is ignored
 * @param retryAfterMillis time in milliseconds after which a refused caller should retry, else 0
 */
public record StartResponseMessage(long id, int verdict, long retryAfterMillis) implements WireMessage {

    /** The stages start now. */
    public static final int START = 0;

    /** The stages can't start in the request's time. */
    public static final int REFUSE = 1;

    /** The request waits at the controller. */
    public static final int QUEUED = 2;

    /** Codec of this message. */
    public static final MessageCodec<StartResponseMessage> CODEC =
            MessageCodec.of(241, StartResponseMessage.class, StartResponseMessage::write, StartResponseMessage::read);

    /** No route lets its callers wait longer. */
    private static final long MAX_RETRY_AFTER_MILLIS = Duration.ofHours(1).toMillis();

    /**
     * Creates the message for a decision.
     *
     * @param decision the decision
     * @return the message to its node
     */
    public static StartResponseMessage of(StartDecision decision) {
        long id = decision.request().id();
        if (decision instanceof StartDecision.Refuse refuse) {
            long millis = refuse.retryAfter().toMillis();
            return new StartResponseMessage(id, REFUSE, Math.max(0, Math.min(MAX_RETRY_AFTER_MILLIS, millis)));
        }
        return new StartResponseMessage(id, START, 0);
    }

    /**
     * Returns whether the message may be used.
     *
     * @return false if its verdict or its delay is out of range
     */
    public boolean isValid() {
        return verdict >= START
                && verdict <= QUEUED
                && retryAfterMillis >= 0
                && retryAfterMillis <= MAX_RETRY_AFTER_MILLIS;
    }

    private void write(FieldWriter out) {
        out.put(1, id).put(2, verdict).put(3, retryAfterMillis);
    }

    private static StartResponseMessage read(FieldReader in) {
        // A missing verdict must not read as a start.
        return new StartResponseMessage(
                in.getLong(1, 0), (int) Math.max(-1, Math.min(QUEUED + 1, in.getLong(2, -1))), in.getLong(3, 0));
    }
}
