package org.copperspindle.gateway;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A burst of long prompts on engines of different speed.
 */
class EngineChoiceReplayTest {

    private static final int ENGINES = 29;
    private static final double OBJECTIVE_MILLIS = 1000;
    private static final double NORMAL_PER_SECOND = 20;
    private static final double BURST_PER_SECOND = 63;

    /**
     * A quarter of the engines read at less than half the speed of the others and got as many prompts: first events
     * were late on them while the others had room.
     */
    @ParameterizedTest
    @CsvSource({"5, 1", "5, 2", "24, 1", "24, 2", "24, 3", "300, 1", "300, 2"})
    void slowEnginesMakeNoFirstEventsLate(int nodes, long seed) {
        try (EngineChoiceReplay estimated = burst(nodes, true, true, seed)) {
            assertThat(estimated.shareWithin(OBJECTIVE_MILLIS)).isGreaterThanOrEqualTo(0.95);
        }
    }

    /**
     * Prompts that leave slow engines must not make engines read shared parts again and again, must not queue
     * elsewhere instead, and must leave no count behind.
     */
    @ParameterizedTest
    @CsvSource({"5, 1", "5, 2", "24, 1", "24, 2", "24, 3", "300, 1", "300, 2"})
    void promptsThatMoveCostLessThanTheyGain(int nodes, long seed) {
        try (EngineChoiceReplay old = burst(nodes, true, false, seed);
                EngineChoiceReplay estimated = burst(nodes, true, true, seed)) {
            double lateBefore = 1 - old.shareWithin(OBJECTIVE_MILLIS);
            assertThat(1 - estimated.shareWithin(OBJECTIVE_MILLIS)).isLessThan(lateBefore / 2);
            assertThat(estimated.percentile(0.99)).isLessThan(old.percentile(0.95));
            assertThat(estimated.partsRead()).isLessThanOrEqualTo((int) (1.5 * old.partsRead()));
            assertThat(estimated.streamsLeft()).isZero();
        }
    }

    /** Neighbours slow equal engines down for some hundred milliseconds: prompts must not move away from their parts. */
    @ParameterizedTest
    @CsvSource({"5, 1", "24, 1", "24, 2", "24, 3", "300, 1"})
    void noiseOnEqualEnginesChangesNoChoice(int nodes, long seed) {
        try (EngineChoiceReplay old = burst(nodes, false, false, seed);
                EngineChoiceReplay estimated = burst(nodes, false, true, seed)) {
            assertThat(estimated.chosen()).isEqualTo(old.chosen());
        }
    }

    private static EngineChoiceReplay burst(int nodes, boolean uneven, boolean byEstimate, long seed) {
        List<Double> paces = IntStream.range(0, ENGINES)
                .mapToObj(i -> uneven ? i % 4 == 0 ? 0.55 : 1.2 : 1.04)
                .toList();
        EngineChoiceReplay replay = new EngineChoiceReplay(nodes, paces, true, byEstimate, seed);
        replay.load(NORMAL_PER_SECOND, 0.9, 12);
        replay.startMeasuring();
        replay.load(BURST_PER_SECOND, 0.95, 8);
        replay.finish();
        return replay;
    }
}
