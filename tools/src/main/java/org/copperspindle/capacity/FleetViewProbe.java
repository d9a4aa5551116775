package org.copperspindle.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.routing.FleetView;

/**
 * Measures the heap that an entry needs for its view of the upstreams, and the size of a full membership update.
 */
final class FleetViewProbe implements CapacityProbe {

    private static final int[] UPSTREAM_COUNTS = {500, 1000, 2000, 4300};

    @Override
    public String name() {
        return "fleet-view";
    }

    @Override
    public List<CapacitySlope> measure(ProbeProgress progress) {
        List<CapacitySlope.Point> heap = new ArrayList<>();
        List<CapacitySlope.Point> bytes = new ArrayList<>();
        List<FleetView> retainedViews = new ArrayList<>();
        // A warm-up round loads classes and grows hash tables, so that the measured rounds differ in size only.
        retainedViews.add(new FleetView());
        retainedViews.get(0).update(update(UPSTREAM_COUNTS[0]));
        HeapMeter.liveBytes();
        for (int upstreams : UPSTREAM_COUNTS) {
            progress.step("membership of " + upstreams + " upstreams at one entry");
            ControlUpdateMessage update = update(upstreams);
            bytes.add(new CapacitySlope.Point(upstreams, ControlUpdateMessage.CODEC.encode(update).length));
            FleetView view = new FleetView();
            retainedViews.add(view);
            long before = HeapMeter.liveBytes();
            view.update(update);
            long after = HeapMeter.liveBytes();
            heap.add(new CapacitySlope.Point(upstreams, after - before));
            if (view.upstream("upstream-0").isEmpty()) {
                throw new IllegalStateException("the fleet view does not contain the updated upstreams");
            }
        }
        return List.of(
                new CapacitySlope("entry, heap for its view of upstreams", "upstreams", "B", heap),
                new CapacitySlope("payload of a whole membership update", "upstreams", "B", bytes));
    }

    private static ControlUpdateMessage update(int count) {
        List<byte[]> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                    "upstream-" + i,
                    "pool-" + i % 40,
                    "domain-" + i % 14,
                    new InetSocketAddress("10.0." + i / 250 + "." + i % 250, 7400),
                    1_700_000_000_000L + i,
                    1,
                    List.of("model-" + i % 33, "model-" + (i + 1) % 33),
                    false)));
        }
        return new ControlUpdateMessage(1, 0, "", true, 1, upstreams, List.of());
    }
}
