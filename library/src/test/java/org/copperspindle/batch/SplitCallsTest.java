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

/**
 * A piece crashes each upstream that runs it, while it shares calls with pieces of other requests.
 */
class SplitCallsTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);
    private static final int UPSTREAMS = 8;

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final FakeStagePort port = new FakeStagePort(time, LIMITS);
    private final List<Long> made = new ArrayList<>();
    private final List<Long> missed = new ArrayList<>();
    private final PoolDispatcher dispatcher = new PoolDispatcher(
            "p",
            directory,
            time,
            port,
            () -> Optional.of(LIMITS),
            new RecordingSink(this::delivered),
            new LogRateLimiter(0, 0));

    /**
     * Guards against failure of requests that shared calls with the crashing piece. Batched together again after each
     * loss, all of them failed after three crashes, and so did requests that came later. The pieces of such a call
     * are split in two, and after the next loss each group is sent alone: three upstreams crash, and only the
     * responsible request fails.
     */
    @ParameterizedTest
    @CsvSource({"2, 0", "12, 0", "12, 3", "30, 7"})
    void onlyTheCrashingPieceFails(int groups, int fatal) {
        port.fatal = "r" + fatal;
        for (int id = 0; id < groups; id++) {
            dispatcher.add("origin", group(id));
        }
        announce(0);
        dispatcher.dispatch();
        for (int step = 0; step < 40; step++) {
            time.advance(50 * MILLI);
            if (step < UPSTREAMS) {
                announce(step + 1);
                dispatcher.dispatch();
            }
        }
        time.advance(10_000 * MILLI);
        assertThat(missed).containsExactly((long) fatal);
        assertThat(made).hasSize(groups - 1).doesNotHaveDuplicates();
        long crashed = port.calls.stream()
                .filter(call ->
                        call.items().stream().anyMatch(item -> item.requestId().equals(port.fatal)))
                .count();
        assertThat(crashed).as("upstreams that crashed").isEqualTo(3);
    }

    private void delivered(PieceResultsMessage message) {
        message.results()
                .forEach(
                        result -> (result.outcome() instanceof PieceOutcome.Made ? made : missed).add(message.group()));
    }

    private void announce(int number) {
        directory.accept(
                new UpstreamRecord(
                        "u" + number,
                        0,
                        "p",
                        "10.0.0." + (number + 1) + ":1",
                        "d",
                        UpstreamPhase.READY,
                        1,
                        1,
                        0,
                        0,
                        SoftwareVersion.UNSTATED),
                time.nanoTime());
    }

    private static PieceGroup group(long id) {
        return new PieceGroup(
                id, "r" + id, 0, "p", 1, List.of(0), "k", List.of(), 4, 9000, 30_000, 10, 0, "", false, false);
    }
}
