package org.copperspindle.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSubsetTest {

    private static final int DOMAINS = 14;

    private final FleetView fleet = new FleetView();

    @ParameterizedTest
    @ValueSource(ints = {1, 13, 64, 65, 4300})
    void isBoundedAndReachesEveryFailureDomain(int size) {
        announce(size);

        List<UpstreamView> subset = new PoolSubset(fleet, 3).of("engines", "m");

        assertThat(subset).hasSize(Math.min(size, PoolSubset.SIZE)).doesNotHaveDuplicates();
        assertThat(subset.stream()
                        .map(view -> view.announcement().failureDomain())
                        .distinct())
                .hasSize(Math.min(size, DOMAINS));
    }

    @Test
    void entriesTogetherUseEveryUpstreamEvenly() {
        announce(400);
        int[] uses = new int[400];
        for (int entry = 0; entry < 200; entry++) {
            for (UpstreamView view : new PoolSubset(fleet, entry * 0x9E3779B97F4A7C15L).of("engines", "m")) {
                uses[Integer.parseInt(view.announcement().upstreamId().substring(1))]++;
            }
        }
        // 200 entries with 64 of 400 upstreams each: 32 uses on average.
        assertThat(uses).doesNotContain(0);
        assertThat(java.util.Arrays.stream(uses).max().orElseThrow()).isLessThan(64);
    }

    /** One upstream leaves: an entry that changed most of its subset would lose its cached prefixes everywhere. */
    @Test
    void oneLeavingChangesAtMostOneOfTheSubset() {
        announce(400);
        PoolSubset subsets = new PoolSubset(fleet, 9);
        Set<String> before = ids(subsets.of("engines", "m"));
        String removed = before.iterator().next();

        fleet.update(new ControlUpdateMessage(1, 0, "", false, 2, List.of(), List.of(removed.getBytes())));

        Set<String> kept = new HashSet<>(ids(subsets.of("engines", "m")));
        assertThat(kept).hasSize(PoolSubset.SIZE).doesNotContain(removed);
        kept.retainAll(before);
        assertThat(kept).hasSize(PoolSubset.SIZE - 1);
    }

    private static Set<String> ids(List<UpstreamView> views) {
        return views.stream().map(view -> view.announcement().upstreamId()).collect(Collectors.toSet());
    }

    private void announce(int size) {
        List<byte[]> announcements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            announcements.add(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                    "u" + i,
                    "engines",
                    "d" + i % DOMAINS,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    1,
                    1,
                    List.of("m"),
                    false)));
        }
        fleet.update(new ControlUpdateMessage(1, 0, "", true, 1, announcements, List.of()));
    }
}
