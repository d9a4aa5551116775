package org.copperspindle.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures what leases cost the leader and one member as the number of members grows. Members renew once per second, so
 * the number of members equals the number of renewals per second.
 */
final class LeaseProbe implements CapacityProbe {

    private static final int[] MEMBER_COUNTS = {50, 100, 200, 400, 800};
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(60);
    private static final double NANOS_PER_MICRO = 1000;

    @Override
    public String name() {
        return "leases";
    }

    @Override
    public List<CapacitySlope> measure(ProbeProgress progress) throws Exception {
        List<CapacitySlope.Point> leader = new ArrayList<>();
        List<CapacitySlope.Point> member = new ArrayList<>();
        List<CapacitySlope.Point> bytes = new ArrayList<>();
        List<CapacitySlope.Point> heap = new ArrayList<>();
        for (int members : MEMBER_COUNTS) {
            progress.step(members + " members renewing their leases");
            long before = HeapMeter.liveBytes();
            try (StandInControl control = new StandInControl("10s");
                    StandInMembers standIns =
                            new StandInMembers(members, false, control.wireAddresses(), RENEWAL_INTERVAL)) {
                Await.until(members + " leases", JOIN_TIMEOUT, () -> standIns.heldLeases() == members);
                Await.pause(WARM_UP);
                ThreadCpuMeter leaderCpu = ThreadCpuMeter.ofProcess(StandInControl.ID);
                ThreadCpuMeter memberCpu = ThreadCpuMeter.ofProcess(StandInMembers.ID);
                long startBytes = standIns.transferredBytes();
                leaderCpu.start();
                memberCpu.start();
                Await.pause(WINDOW);
                double seconds = WINDOW.toMillis() / 1000.0;
                leader.add(new CapacitySlope.Point(members, leaderCpu.stop() / NANOS_PER_MICRO / seconds));
                member.add(new CapacitySlope.Point(members, memberCpu.stop() / NANOS_PER_MICRO / seconds));
                bytes.add(new CapacitySlope.Point(members, (standIns.transferredBytes() - startBytes) / seconds));
                heap.add(new CapacitySlope.Point(members, HeapMeter.liveBytes() - before));
            }
        }
        return List.of(
                new CapacitySlope("leader, processor time for leases", "renewals/s", "us/s", leader),
                new CapacitySlope("member, processor time for its lease", "renewals/s", "us/s", member),
                new CapacitySlope("payload bytes for leases, both ways", "renewals/s", "B/s", bytes),
                new CapacitySlope("heap of leader and stand-in together", "members", "B", heap));
    }
}
