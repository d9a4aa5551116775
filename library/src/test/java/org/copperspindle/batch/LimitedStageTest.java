package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two upstreams of a stage pool under more load than both can bear; one of them takes one request a second, whatever it is.
 */
class LimitedStageTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);
    private static final String LIMITED = "limited";
    private static final long GROUP_GAP_MILLIS = 30;

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final FakeStagePort port = new FakeStagePort(time, LIMITS);
    private final OneASecond admission = new OneASecond();
    private final PoolDispatcher dispatcher = new PoolDispatcher(
                    "p",
                    directory,
                    time,
                    port,
                    () -> Optional.of(LIMITS),
                    new RecordingSink(this::giveUp),
                    new DecisionLog(0, 0))
            .limitCallsWith(admission);
    private long lastId;

    LimitedStageTest() {
        upstream(LIMITED, "10.0.0.1:1");
        upstream("free", "10.0.0.2:1");
    }

    /** Guards against given up results that go out beside the limit, and against a memory that stays full because none do. */
    @Test
    void callsAndGivenUpResultsShareTheLimit() {
        for (int i = 0; i < 20_000 / GROUP_GAP_MILLIS; i++) {
            dispatcher.add("origin", group());
            time.advance(GROUP_GAP_MILLIS * MILLI);
        }
        long calls = port.calls.stream()
                .filter(call -> call.upstream().equals(LIMITED))
                .count();
        assertThat(admission.refused).as("sent although nothing was free").isZero();
        assertThat(calls).isBetween(9L, 11L);
        assertThat(admission.passed - calls).as("told of given up results").isBetween(8L, 11L);
        assertThat(port.calls.size() - calls).as("calls of the other").isGreaterThan(30);
    }

    /** Guards against a pool that looks as if its limited upstream made as much as the others. */
    @Test
    void loadCountsALimitedUpstreamForWhatItMakes() {
        dispatcher.add("origin", group());
        double both = dispatcher.load().piecesPerSecond();
        admission.limits = false;
        assertThat(both).isLessThan(0.8 * dispatcher.load().piecesPerSecond());
    }

    /** Nobody needs the results any longer than it takes to make them. */
    private void giveUp(PieceResultsMessage message) {
        List<String> handles = new ArrayList<>();
        message.results().forEach(result -> {
            if (result.outcome() instanceof PieceOutcome.Made made) {
                handles.add(made.handle());
            }
        });
        dispatcher.free(handles);
    }

    private void upstream(String id, String address) {
        directory.accept(
                new UpstreamRecord(id, 0, "p", address, "d", UpstreamPhase.READY, 1, 1, 0, 0), time.nanoTime());
    }

    private PieceGroup group() {
        return TestGroups.ofEight(++lastId);
    }

    /** Lets one request a second pass to one upstream. */
    private final class OneASecond implements CallAdmission {
        private long lastAt = -SECOND;
        private int passed;
        private int refused;
        private boolean limits = true;

        @Override
        public boolean mayCall(String upstream) {
            return !upstream.equals(LIMITED) || time.nanoTime() - lastAt >= SECOND;
        }

        @Override
        public void recordCall(String upstream) {
            if (!upstream.equals(LIMITED)) {
                return;
            }
            refused += mayCall(upstream) ? 0 : 1;
            passed++;
            lastAt = time.nanoTime();
        }

        @Override
        public boolean isBackingOff(String upstream) {
            return false;
        }

        @Override
        public long spacingNanos(String upstream) {
            return limits && upstream.equals(LIMITED) ? SECOND : 0;
        }
    }
}
