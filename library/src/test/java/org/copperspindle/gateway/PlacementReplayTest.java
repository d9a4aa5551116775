package org.copperspindle.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.LongStream;

import org.copperspindle.gateway.PlacementReplay.Choice;
import org.copperspindle.gateway.PlacementReplay.LeftTime;
import org.copperspindle.gateway.PlacementReplay.Sent;
import org.copperspindle.placement.EnginePlacements;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A burst of digests and drafts on engines of different speed, whose streams pause while prompts are read. One run has
 * some 290 digests, so the shares are those of several runs together.
 */
class PlacementReplayTest {

    private static final int RUNS = 12;
    private static final double MAX_PAUSING_SHARE = 1.0 / 50;
    private static final double MIN_EARLY_SHARE = 0.95;
    private static final double MAX_SHARED_READ = 1.2;

    private static final double TOLERANCE = 1.0 / 100;
    private static final int LOAD_SECONDS = 6;
    private static final int MAX_BYTES_PER_SECOND = 9000;

    private static final Map<Choice, Totals> TOTALS = new EnumMap<>(Choice.class);
    private static final Map<Choice, Totals> TOTALS_WITH_LESS_TIME = new EnumMap<>(Choice.class);

    @BeforeAll
    static void replay() {
        for (Choice choice : Choice.values()) {
            TOTALS.put(choice, runs(choice, new LeftTime(1000, 1000)));
            TOTALS_WITH_LESS_TIME.put(choice, runs(choice, new LeftTime(500, 900)));
        }
    }

    private static Totals runs(Choice choice, LeftTime leftTime) {
        return LongStream.rangeClosed(1, RUNS)
                .mapToObj(seed -> run(choice, leftTime, seed))
                .reduce(Totals.NONE, Totals::plus);
    }

    /** Long prompts at engines with many streams made these pause for longer than their callers accept. */
    @Test
    void fewDigestsPauseForTooLong() {
        assertThat(TOTALS.get(Choice.PLACEMENT).pausingShare()).isLessThanOrEqualTo(MAX_PAUSING_SHARE);
        assertThat(TOTALS.get(Choice.PLACEMENT).pausingShare())
                .isLessThan(TOTALS.get(Choice.AFFINITY).pausingShare());
    }

    /** Requests that stay with their engines must not get their first events late. */
    @Test
    void firstEventsAreInTime() {
        assertThat(TOTALS.get(Choice.PLACEMENT).earlyShare()).isGreaterThanOrEqualTo(MIN_EARLY_SHARE);
        assertThat(TOTALS.get(Choice.PLACEMENT).earlyShare())
                .isGreaterThan(TOTALS.get(Choice.AFFINITY).earlyShare());
    }

    /** Requests that left engines with their shared parts made other engines read these again. */
    @Test
    void sharedPartsAreSeldomReadAtOtherEngines() {
        double bound = MAX_SHARED_READ * TOTALS.get(Choice.AFFINITY).sharedRead();
        assertThat((double) TOTALS.get(Choice.PLACEMENT).sharedRead()).isLessThan(bound);
        assertThat(TOTALS.get(Choice.PLACEMENT).sharedReadAgain())
                .isLessThan(TOTALS.get(Choice.ESTIMATE).sharedReadAgain());
    }

    /**
     * With 500 to 900 ms left to the first event more requests have to move. Guards against shared parts that are read
     * again for nothing, or saved at the cost of pauses and late first events, compared with the choice by estimate.
     */
    @Test
    void fewerSharedPartsAreReadWithLessTime() {
        Totals placement = TOTALS_WITH_LESS_TIME.get(Choice.PLACEMENT);
        Totals estimate = TOTALS_WITH_LESS_TIME.get(Choice.ESTIMATE);
        assertThat(placement.sharedRead()).isLessThan(estimate.sharedRead());
        assertThat(placement.pausingShare()).isLessThanOrEqualTo(estimate.pausingShare() + TOLERANCE);
        assertThat(placement.earlyShare()).isGreaterThanOrEqualTo(estimate.earlyShare() - TOLERANCE);
    }

    /** Tables and reports of one node must stay within the traffic that a node may cause, in any second. */
    @Test
    void trafficOfANodeIsBounded() {
        assertThat(TOTALS.get(Choice.PLACEMENT).peakBytes()).isBetween(1L, (long) MAX_BYTES_PER_SECOND);
    }

    /** A replay in which the engines never count as different would show nothing; no count may be left behind. */
    @Test
    void enginesDifferDuringMostOfTheBurst() {
        assertThat(TOTALS.get(Choice.PLACEMENT).estimatedShare() / RUNS).isGreaterThan(0.5);
        assertThat(TOTALS.get(Choice.PLACEMENT).streamsLeft()).isZero();
    }

    private static Totals run(Choice choice, LeftTime leftTime, long seed) {
        try (PlacementReplay replay = new PlacementReplay(choice, EnginePlacements.undisturbed(), leftTime, seed)) {
            replay.load(16, 12, 12);
            replay.startMeasuring();
            replay.load(48, 35, LOAD_SECONDS);
            long bytes = replay.traffic().total();
            long peakBytes = replay.traffic().peak();
            replay.finish();
            return new Totals(
                    replay.digests().size(),
                    replay.digests().stream().filter(Sent::pauses).count(),
                    replay.digests().stream().filter(Sent::isEarly).count(),
                    replay.sharedRead(),
                    replay.sharedReadAgain(),
                    replay.estimatedShare(),
                    replay.streamsLeft(),
                    bytes,
                    peakBytes);
        }
    }

    private record Totals(
            long digests,
            long pausing,
            long early,
            long sharedRead,
            long sharedReadAgain,
            double estimatedShare,
            long streamsLeft,
            long bytes,
            long peakBytes) {

        private static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0);

        private Totals plus(Totals other) {
            return new Totals(
                    digests + other.digests,
                    pausing + other.pausing,
                    early + other.early,
                    sharedRead + other.sharedRead,
                    sharedReadAgain + other.sharedReadAgain,
                    estimatedShare + other.estimatedShare,
                    streamsLeft + other.streamsLeft,
                    bytes + other.bytes,
                    Math.max(peakBytes, other.peakBytes));
        }

        private double pausingShare() {
            return (double) pausing / digests;
        }

        private double earlyShare() {
            return (double) early / digests;
        }
    }
}
