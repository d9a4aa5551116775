package org.copperspindle.quarantine;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Progress of the longest run of a request at a node: how long an upstream has been sending events of its response.
 *
 * @param digest identifies the request
 * @param millis time from the first event to the last one
 */
record RunProgress(SuspectDigest digest, long millis) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<RunProgress> CODEC =
            MessageCodec.of(225, RunProgress.class, RunProgress::write, RunProgress::read);

    byte[] encode() {
        return CODEC.encode(this);
    }

    static RunProgress decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, digest.text()).put(2, millis);
    }

    private static RunProgress read(FieldReader in) {
        return new RunProgress(new SuspectDigest(in.getString(1)), in.getLong(2, 0));
    }
}
