package org.copperspindle.quarantine;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Suspicions that a node sends to another node, and progress that contradicts them.
 *
 * @param suspicions one for each request or prompt part
 * @param progress   longest runs of suspected requests that have not ended
 */
public record SuspicionMessage(List<Suspicion> suspicions, List<RunProgress> progress) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<SuspicionMessage> CODEC =
            MessageCodec.of(223, SuspicionMessage.class, SuspicionMessage::write, SuspicionMessage::read);

    /** Copies the lists. */
    public SuspicionMessage {
        suspicions = List.copyOf(suspicions);
        progress = List.copyOf(progress);
    }

    SuspicionMessage(List<Suspicion> suspicions) {
        this(suspicions, List.of());
    }

    private void write(FieldWriter out) {
        out.put(1, suspicions.stream().map(Suspicion::encode).toList())
                .put(2, progress.stream().map(RunProgress::encode).toList());
    }

    private static SuspicionMessage read(FieldReader in) {
        return new SuspicionMessage(
                in.getList(1).stream().map(Suspicion::decode).toList(),
                in.getList(2).stream().map(RunProgress::decode).toList());
    }
}
