package org.copperspindle.version;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * All failure domains that are evacuated: part of the group's state, and what nodes send each other.
 *
 * @param revision       index in the log of the order that made the list, so that a later list has a higher one; 0 before the
 *                       first order
 * @param failureDomains their names, sorted
 */
public record EvacuationsMessage(long revision, List<String> failureDomains) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EvacuationsMessage> CODEC =
            MessageCodec.of(214, EvacuationsMessage.class, EvacuationsMessage::write, EvacuationsMessage::read);

    /** No order was given yet. */
    public static final EvacuationsMessage NONE = new EvacuationsMessage(0, List.of());

    /** Failure domains that may be evacuated at once: a multiple of those of any deployment. */
    static final int MOST = 256;

    /** Copies and sorts the list. */
    public EvacuationsMessage {
        failureDomains = List.copyOf(new TreeSet<>(failureDomains));
    }

    /**
     * Says whether a failure domain is evacuated.
     *
     * @param failureDomain its name
     * @return true if its upstreams get nothing
     */
    public boolean contains(String failureDomain) {
        return failureDomains.contains(failureDomain);
    }

    /** Says whether no further failure domain can be evacuated, and an order asks for that. */
    boolean isFullFor(EvacuationCommand order) {
        return order.begins() && !contains(order.failureDomain()) && failureDomains.size() >= MOST;
    }

    /** Returns the list after an order, with the index of the order in the log; the same list if the order changes nothing. */
    EvacuationsMessage after(EvacuationCommand order, long index) {
        if (contains(order.failureDomain()) == order.begins()) {
            return this;
        }
        List<String> next = new ArrayList<>(failureDomains);
        if (order.begins()) {
            next.add(order.failureDomain());
        } else {
            next.remove(order.failureDomain());
        }
        return new EvacuationsMessage(index, next);
    }

    private void write(FieldWriter out) {
        out.put(1, revision).putStrings(2, failureDomains);
    }

    private static EvacuationsMessage read(FieldReader in) {
        return new EvacuationsMessage(in.getLong(1, 0), in.getStrings(2));
    }
}
