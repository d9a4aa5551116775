package org.copperspindle.membership;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Update pushed by the leader, with the configuration and the membership changes that the member doesn't have yet.
 *
 * @param term term of the leader
 * @param configVersion version of the configuration carried, 0 if none is
 * @param configText the whole INI text of that version; empty on the wire, filled in from the patch by {@link ControlLink}
 * @param full whether the update has the full membership, which replaces what the member knew
 * @param membershipRevision membership revision after this update
 * @param upstreams encoded {@link UpstreamAnnouncement}s that are new or changed
 * @param removed identities of removed upstreams, in UTF-8
 * @param configPatch encoded {@link org.copperspindle.config.ConfigPatch} from which the text is built, empty for none
 */
public record ControlUpdateMessage(
        long term,
        long configVersion,
        String configText,
        boolean full,
        long membershipRevision,
        List<byte[]> upstreams,
        List<byte[]> removed,
        byte[] configPatch)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ControlUpdateMessage> CODEC =
            MessageCodec.of(13, ControlUpdateMessage.class, ControlUpdateMessage::write, ControlUpdateMessage::read);

    /**
     * Creates an update without a patch.
     *
     * @param term term of the leader
     * @param configVersion version of the configuration carried, 0 if none is
     * @param configText the whole INI text of that version
     * @param full whether the update has the full membership, which replaces what the member knew
     * @param membershipRevision membership revision after this update
     * @param upstreams encoded {@link UpstreamAnnouncement}s that are new or changed
     * @param removed identities of removed upstreams, in UTF-8
     */
    public ControlUpdateMessage(
            long term,
            long configVersion,
            String configText,
            boolean full,
            long membershipRevision,
            List<byte[]> upstreams,
            List<byte[]> removed) {
        this(term, configVersion, configText, full, membershipRevision, upstreams, removed, new byte[0]);
    }

    /**
     * Returns the same update with the configuration's text in place of the patch.
     *
     * @param text the whole INI text
     * @return the update that members handle
     */
    public ControlUpdateMessage withText(String text) {
        return new ControlUpdateMessage(term, configVersion, text, full, membershipRevision, upstreams, removed);
    }

    private void write(FieldWriter out) {
        out.put(1, term)
                .put(2, configVersion)
                .put(3, configText)
                .put(4, full)
                .put(5, membershipRevision)
                .put(6, upstreams)
                .put(7, removed)
                .put(8, configPatch);
    }

    private static ControlUpdateMessage read(FieldReader in) {
        return new ControlUpdateMessage(
                in.getLong(1, 0),
                in.getLong(2, 0),
                in.getString(3),
                in.getBoolean(4),
                in.getLong(5, 0),
                in.getList(6),
                in.getList(7),
                in.getBytes(8));
    }
}
