package org.copperspindle.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.copperspindle.control.ControlResult;
import org.copperspindle.control.StatePart;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The part of the replicated state that holds the orders in progress, at most one for each upstream. An order is
 * committed here before it is sent. An isolated leader therefore can't issue new orders, and the next leader knows
 * every order that may still be executed. Order numbers are indexes of the log and need no counter of their own.
 */
public final class OpenOrders implements StatePart {

    private final Map<String, OpenOrder> open = new TreeMap<>();

    /**
     * Returns the open orders.
     *
     * @return orders by upstream, a read-only view
     */
    public Map<String, OpenOrder> all() {
        return Collections.unmodifiableMap(open);
    }

    /**
     * Finds the open order of an upstream.
     *
     * @param upstreamId the upstream
     * @return its open order
     */
    public Optional<OpenOrder> find(String upstreamId) {
        return Optional.ofNullable(open.get(upstreamId));
    }

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public List<MessageCodec<?>> commands() {
        return List.of(PlaceOrderCommand.CODEC, CloseOrderCommand.CODEC, FenceCommand.CODEC);
    }

    @Override
    public ControlResult apply(long index, WireMessage command) {
        if (command instanceof PlaceOrderCommand place) {
            open.put(
                    place.upstreamId(),
                    new OpenOrder(place.upstreamId(), place.term(), index, place.kind(), place.subject()));
        } else if (command instanceof CloseOrderCommand close) {
            open.computeIfPresent(close.upstreamId(), (id, o) -> o.sequence() == close.sequence() ? null : o);
        } else if (command instanceof FenceCommand fence) {
            // The restarted agent will refuse the order, and the effects of its previous incarnation are in its
            // announcement.
            open.remove(fence.upstreamId());
        }
        return new ControlResult.Done();
    }

    @Override
    public byte[] snapshot() {
        List<byte[]> orders = new ArrayList<>();
        open.values().forEach(o -> orders.add(OpenOrder.CODEC.encode(o)));
        return Snapshot.CODEC.encode(new Snapshot(orders));
    }

    @Override
    public void clear() {
        open.clear();
    }

    @Override
    public void restore(byte[] snapshot) throws MalformedFrameException {
        open.clear();
        for (byte[] encoded : Snapshot.CODEC.decode(snapshot).orders()) {
            OpenOrder order = OpenOrder.CODEC.decode(encoded);
            open.put(order.upstreamId(), order);
        }
    }

    /** Snapshot of the open orders. */
    private record Snapshot(List<byte[]> orders) implements WireMessage {

        private static final MessageCodec<Snapshot> CODEC =
                MessageCodec.of(103, Snapshot.class, Snapshot::write, Snapshot::read);

        private void write(FieldWriter out) {
            out.put(1, orders);
        }

        private static Snapshot read(FieldReader in) {
            return new Snapshot(in.getList(1));
        }
    }
}
