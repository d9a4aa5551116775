package org.copperspindle.version;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The evacuated failure domains. Part of the replicated state, and sent between nodes.
 *
 * @param revision       log index of the order that produced the list, so that a later list has a higher revision; 0
 *                       before the first order
 * @param failureDomains their names, sorted
 */
public record EvacuationsMessage(long revision, List<String> failureDomains) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EvacuationsMessage> CODEC =
            MessageCodec.of(214, EvacuationsMessage.class, EvacuationsMessage::write, EvacuationsMessage::read);

    /** State before the first order. */
    public static final EvacuationsMessage NONE = new EvacuationsMessage(0, List.of());

    /** Maximum number of evacuated failure domains; far above the number in any deployment. */
    static final int MAX_FAILURE_DOMAINS = 256;

    /** Copies and sorts the list. */
    public EvacuationsMessage {
        failureDomains = List.copyOf(new TreeSet<>(failureDomains));
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param failureDomain its name
     * @return true if its upstreams receive no work
     */
    public boolean contains(String failureDomain) {
        return failureDomains.contains(failureDomain);
    }

    /** Returns whether an order would evacuate one more failure domain than allowed. */
    boolean isFullFor(EvacuationCommand order) {
        return order.isEvacuation() && !contains(order.failureDomain()) && failureDomains.size() >= MAX_FAILURE_DOMAINS;
    }

    /** Returns the list after an order with the given log index; the same list if the order changes nothing. */
    EvacuationsMessage after(EvacuationCommand order, long index) {
        if (contains(order.failureDomain()) == order.isEvacuation()) {
            return this;
        }
        List<String> next = new ArrayList<>(failureDomains);
        if (order.isEvacuation()) {
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
