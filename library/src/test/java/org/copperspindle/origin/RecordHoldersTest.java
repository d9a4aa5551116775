package org.copperspindle.origin;

import java.util.List;

import org.copperspindle.mesh.MeshNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RecordHoldersTest {

    /** Records that are held without a disk are lost with the power: nodes with a disk must be first. */
    @ParameterizedTest
    @CsvSource({"0, 7", "1, 6", "2, 5", "4, 3", "7, 1"})
    void nodesWithADiskAreFirstAndTheSecondIsElsewhere(int disks, int diskless) {
        try (OriginFleet fleet = new OriginFleet(disks, diskless, 1)) {
            int asking = disks + diskless - 1;
            for (int i = 0; i < 50; i++) {
                List<MeshNode> holders = RecordHolders.of(OriginFleet.key("r" + i), fleet.connected(asking), 4);
                List<Boolean> durable =
                        holders.stream().map(node -> node.hello().durable()).toList();
                assertThat(durable).hasSize(4);
                assertThat(durable.stream().limit(disks)).doesNotContain(false);
                assertThat(domain(holders.get(1))).isNotEqualTo(domain(holders.get(0)));
            }
        }
    }

    private static String domain(MeshNode node) {
        return node.hello().failureDomain();
    }
}
