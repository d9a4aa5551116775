package org.copperspindle.backpressure;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Response to a permit request.
 *
 * @param number  number of the request
 * @param granted whether the permit is granted
 * @param micros  microseconds until the permit is valid or, if it is not granted, until one could be
 */
public record PermitResponseMessage(long number, boolean granted, long micros) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PermitResponseMessage> CODEC = MessageCodec.of(
            229, PermitResponseMessage.class, PermitResponseMessage::write, PermitResponseMessage::read);

    private static final long NANOS_PER_MICRO = 1000;

    static PermitResponseMessage of(long number, PermitResult result) {
        if (result instanceof PermitResult.Granted granted) {
            return new PermitResponseMessage(number, true, granted.delayNanos() / NANOS_PER_MICRO);
        }
        return new PermitResponseMessage(
                number, false, ((PermitResult.Denied) result).retryAfterNanos() / NANOS_PER_MICRO);
    }

    PermitResult result() {
        long nanos = micros * NANOS_PER_MICRO;
        return granted ? new PermitResult.Granted(nanos) : new PermitResult.Denied(nanos);
    }

    private void write(FieldWriter out) {
        out.put(1, number).put(2, granted).put(3, micros);
    }

    private static PermitResponseMessage read(FieldReader in) {
        return new PermitResponseMessage(in.getLong(1, 0), in.getBoolean(2), Math.max(0, in.getLong(3, 0)));
    }
}
