package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class WithdrawnGroupsTest {

    private static final BatchLimits LIMITS = TestRoutes.batch(40);

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final FakeStagePort port = new FakeStagePort(time, LIMITS);
    private final List<PieceResult> results = new ArrayList<>();
    private final RecordingSink sink = new RecordingSink(message -> results.addAll(message.results()));
    private final PoolDispatcher dispatcher =
            new PoolDispatcher("p", directory, time, port, () -> Optional.of(LIMITS), sink, new LogRateLimiter(0, 0));

    /**
     * Another node runs the missing pieces of a withdrawn group: a miss that is reported here could be taken for the
     * outcome of the piece, and a second call here would run it twice.
     */
    @ParameterizedTest
    @CsvSource({"SOUND, 8", "WITHOUT_ROOM, 0", "WITHOUT_INPUT, 0", "FAILING, 0", "UNRESPONSIVE, 0"})
    void onlyResultsOfWithdrawnGroupsAreDelivered(FakeStagePort.Behavior behavior, int delivered) {
        directory.accept(
                new UpstreamRecord(
                        "a", 0, "p", "10.0.0.1:1", "d1", UpstreamPhase.READY, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                time.nanoTime());
        port.behaviors.put("a", behavior);
        dispatcher.add("n", TestGroups.ofEight(1));
        dispatcher.withdraw("n", 1);
        time.advance(10_000 * 1_000_000L);
        assertThat(port.calls).hasSize(1);
        assertThat(results).hasSize(delivered).allMatch(result -> result.outcome() instanceof PieceOutcome.Made);
    }
}
