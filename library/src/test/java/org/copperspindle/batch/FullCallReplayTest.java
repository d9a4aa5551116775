package org.copperspindle.batch;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import org.copperspindle.batch.ChainReplay.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays a burst of 1.2 times the throughput of the pools for 6 s, with calls that are filled because the pools are
 * short, and with whole groups.
 */
class FullCallReplayTest {

    private static final Stage INTAKE = new Stage(11, 23, 240, 8.974, 2_587_500, 60_000, 4);
    private static final Stage SENDER = new Stage(13, 29, 240, 7.138, 319_000, 6_000, 6);
    private static final List<Stage> CHAIN = List.of(INTAKE, SENDER);
    private static final List<Integer> SIZES = List.of(2, 8);
    private static final double LOAD = 1.2;
    private static final double SECONDS = 6;
    private static final int SEEDS = 6;

    /**
     * Guards against places that stay empty during a shortage, and against filled calls whose requests are late all the
     * same. Calls are meant to be 0.9 full while pieces and memory allow; whole groups leave 0.13 to 0.17 of the places
     * empty, so at least a twentieth more of the requests must be in time. More must also be in time than with whole
     * groups that are ordered as late when they have less than a full call left; otherwise that limit alone would do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1300, 1600, 2300})
    void moreRequestsAreInTimeThanWithWholeGroups(long objectiveMillis) {
        List<ChainReplay> whole = replay(CHAIN, objectiveMillis, false);
        List<ChainReplay> filled = replay(CHAIN, objectiveMillis, true);
        List<ChainReplay> longer = replay(CHAIN, objectiveMillis, true, new WholeGroupPacking());
        assertThat(mean(filled, r -> r.fill(0))).isGreaterThan(0.9);
        assertThat(mean(filled, r -> r.fill(1))).isGreaterThan(0.9);
        assertThat(mean(filled, ChainReplay::inTime)).isGreaterThan(1.05 * mean(whole, ChainReplay::inTime));
        assertThat(mean(filled, ChainReplay::inTime)).isGreaterThan(mean(longer, ChainReplay::inTime));
        assertThat(mean(filled, ChainReplay::splitGroups)).isPositive();
        assertThat(mean(whole, ChainReplay::splitGroups)).isZero();
    }

    /** A split group holds memory of its producers; neither may that exceed their memory, nor may it stay there. */
    @Test
    void noMemoryIsExceeded() {
        assertThat(replay(CHAIN, 2300, true)).allSatisfy(replay -> {
            assertThat(replay.withoutRoom()).isZero();
            assertThat(replay.fullestShare()).isLessThanOrEqualTo(1);
            assertThat(replay.heldResults()).isZero();
        });
    }

    /** Split twice, a group would hold the memory of three producers and wait for the last of three calls. */
    @ParameterizedTest
    @ValueSource(longs = {1300, 2300})
    void noGroupIsSplitTwice(long objectiveMillis) {
        assertThat(replay(CHAIN, objectiveMillis, true))
                .allSatisfy(replay -> assertThat(replay.mostCallsOfAGroup()).isEqualTo(2));
    }

    /**
     * Twelve results of 800 KB fill an upstream. Guards against groups that are split in such a pool: their first
     * results would take the room of whole ones. The requests in time may differ a little from those with whole groups,
     * by the order in which groups go.
     */
    @ParameterizedTest
    @CsvSource({"2", "3", "4"})
    void largeResultsAreNotSplit(int pieces) {
        List<Stage> registry = List.of(new Stage(13, 8, 240, 26, 9_600_000, 800_000, pieces));
        List<ChainReplay> whole = replay(registry, 1500, false);
        List<ChainReplay> filled = replay(registry, 1500, true);
        assertThat(filled).allSatisfy(replay -> {
            assertThat(replay.splitGroups()).isZero();
            assertThat(replay.mostCallsOfAGroup()).isEqualTo(1);
            assertThat(replay.withoutRoom()).isZero();
        });
        assertThat(mean(filled, ChainReplay::inTime)).isGreaterThan(0.97 * mean(whole, ChainReplay::inTime));
    }

    /**
     * Groups of 2 and of 8 results of 800 KB, of which twelve fill an upstream. Guards against small groups that take
     * the memory of each released result, so that large groups are not served although they are the most urgent ones.
     */
    @ParameterizedTest
    @CsvSource({"1.2, true", "2.2, true", "1.2, false", "2.2, false"})
    void noGroupSizeStarves(double load, boolean isShort) {
        Stage registry = new Stage(13, 8, 240, 26, 9_600_000, 800_000, 5);
        List<ChainReplay> replays = IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new ChainReplay(List.of(registry), 1500, isShort)
                        .withSizes(SIZES)
                        .run(seed, load * registry.groupsPerSecond(), SECONDS))
                .toList();
        double completed = mean(replays, ChainReplay::completedShare);
        double inTime = mean(replays, ChainReplay::inTimeShare);
        assertThat(SIZES).allSatisfy(size -> {
            assertThat(mean(replays, r -> r.completedShare(size))).isGreaterThan(completed / 4);
            assertThat(mean(replays, r -> r.inTimeShare(size))).isGreaterThan(inTime / 4);
        });
    }

    private static List<ChainReplay> replay(List<Stage> stages, long objectiveMillis, boolean isShort) {
        return replay(stages, objectiveMillis, isShort, new FullCallPacking());
    }

    private static List<ChainReplay> replay(
            List<Stage> stages, long objectiveMillis, boolean isShort, CallPacking shortCalls) {
        double throughput =
                stages.stream().mapToDouble(Stage::groupsPerSecond).min().orElseThrow();
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new ChainReplay(stages, objectiveMillis, isShort)
                        .packShortCallsWith(shortCalls)
                        .run(seed, LOAD * throughput, SECONDS))
                .toList();
    }

    private static double mean(List<ChainReplay> replays, ToDoubleFunction<ChainReplay> figure) {
        return replays.stream().mapToDouble(figure).average().orElseThrow();
    }
}
