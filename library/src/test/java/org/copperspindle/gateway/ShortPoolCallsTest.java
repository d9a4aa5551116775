package org.copperspindle.gateway;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.PieceGroup;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShortPoolCallsTest {

    private static final long MILLI = 1_000_000L;
    private static final int GROUP_PIECES = 6;
    private static final long RESULT_BYTES = 1_000;

    /** The results of a call and a half fit into the memory. */
    private static final BatchLimits LIMITS =
            new BatchLimits(1, 2, 8, 240 * MILLI, 10 * MILLI, 12 * RESULT_BYTES, 4_000 * MILLI, 0);

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();

    /** Guards against a shortage of one pool that splits groups of another one, or that reaches no dispatcher. */
    @Test
    void callsAreFilledOnlyInThePoolThatIsShort() {
        Map<String, BatchLimits> limits = Map.of("short", LIMITS, "idle", LIMITS);
        try (SingleNodeBatches node =
                new SingleNodeBatches(time, directory, new SimulatedStages(time, limits, Map.of()), limits)) {
            node.service().fillCallsWhile("short"::equals);
            limits.keySet().forEach(pool -> submitGroups(node.service(), pool));
            time.advance(100 * MILLI);
            assertThat(node.service().work("short").splitGroups()).isEqualTo(1);
            assertThat(node.service().work("idle").splitGroups()).isZero();
        }
    }

    private void submitGroups(BatchService service, String pool) {
        IntStream.range(0, 3).forEach(i -> service.submit(group(service.nextId(), pool), results -> {}));
        time.advance(MILLI);
        directory.accept(
                new UpstreamRecord("u-" + pool, 0, pool, pool + ":1", "d0", UpstreamPhase.READY, 1, 1, 0, 0),
                time.nanoTime());
    }

    private static PieceGroup group(long id, String pool) {
        List<Integer> pieces = IntStream.range(0, GROUP_PIECES).boxed().toList();
        return new PieceGroup(
                id,
                "r" + id,
                0,
                pool,
                GROUP_PIECES,
                pieces,
                "k",
                List.of(),
                1,
                2000,
                4000,
                RESULT_BYTES,
                0,
                "",
                false,
                false);
    }
}
