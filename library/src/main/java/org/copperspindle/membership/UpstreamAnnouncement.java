package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * State of an upstream as announced by its agent. Announcements are ordered by incarnation and sequence, so that a late
 * or duplicate one is recognised and ignored.
 *
 * @param upstreamId    identity of the upstream
 * @param pool          pool that it belongs to
 * @param failureDomain failure domain of its VM
 * @param agentAddress  address at which entries reach its agent
 * @param incarnation   incarnation of the agent; larger after each restart
 * @param sequence      number of the announcement within this incarnation
 * @param models        models that are currently loaded
 * @param draining      whether it is leaving and takes no new work
 */
public record UpstreamAnnouncement(
        String upstreamId,
        String pool,
        String failureDomain,
        InetSocketAddress agentAddress,
        long incarnation,
        long sequence,
        List<String> models,
        boolean draining)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<UpstreamAnnouncement> CODEC =
            MessageCodec.of(10, UpstreamAnnouncement.class, UpstreamAnnouncement::write, UpstreamAnnouncement::read);

    /**
     * Returns whether this announcement is newer than another of the same upstream.
     *
     * @param other the announcement known so far
     * @return true if this one replaces it
     */
    public boolean supersedes(UpstreamAnnouncement other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId)
                .put(2, pool)
                .put(3, failureDomain)
                .put(4, agentAddress.getAddress().getHostAddress())
                .put(5, agentAddress.getPort())
                .put(6, incarnation)
                .put(7, sequence)
                .put(8, String.join(",", models))
                .put(9, draining);
    }

    private static UpstreamAnnouncement read(FieldReader in) {
        String models = in.getString(8);
        return new UpstreamAnnouncement(
                in.getString(1),
                in.getString(2),
                in.getString(3),
                new InetSocketAddress(in.getString(4), (int) in.getLong(5, 0)),
                in.getLong(6, 0),
                in.getLong(7, 0),
                models.isEmpty() ? List.of() : List.of(models.split(",")),
                in.getBoolean(9));
    }
}
