package org.copperspindle.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

import org.copperspindle.gateway.PlacementReplay.Choice;
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

    private static final Map<Choice, Totals> TOTALS = new EnumMap<>(Choice.class);

    @BeforeAll
    static void replay() {
        for (Choice choice : Choice.values()) {
            List<Totals> runs = LongStream.rangeClosed(1, RUNS)
                    .mapToObj(seed -> run(choice, seed))
                    .toList();
            TOTALS.put(choice, runs.stream().reduce(Totals.NONE, Totals::plus));
        }
    }

    /** Long prompts at engines with many streams made these pause for longer than their callers accept. */
    @Test
    void fewDigestsPauseForTooLong() {
        assertThat(TOTALS.get(Choice.PLACEMENT).pausingShare()).isLessThanOrEqualTo(MAX_PAUSING_SHARE);
        assertThat(TOTALS.get(Choice.PLACEMENT).pausingShare())
                .isLessThan(TOTALS.get(Choice.AFFINITY).pausingShare());
    }

    /** Requests that stay with their engines, or wait for them, must not get their first events late. */
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

    /** A replay in which the engines never count as different would show nothing; no count may be left behind. */
    @Test
    void enginesDifferDuringMostOfTheBurst() {
        assertThat(TOTALS.get(Choice.PLACEMENT).estimatedShare() / RUNS).isGreaterThan(0.5);
        assertThat(TOTALS.get(Choice.PLACEMENT).streamsLeft()).isZero();
    }

    private static Totals run(Choice choice, long seed) {
        try (PlacementReplay replay = new PlacementReplay(choice, EnginePlacements.undisturbed(), seed)) {
            replay.load(16, 12, 12);
            replay.startMeasuring();
            replay.load(48, 35, 6);
            replay.finish();
            return new Totals(
                    replay.digests().size(),
                    replay.digests().stream().filter(Sent::pauses).count(),
                    replay.digests().stream().filter(Sent::isEarly).count(),
                    replay.sharedRead(),
                    replay.sharedReadAgain(),
                    replay.estimatedShare(),
                    replay.streamsLeft());
        }
    }

    private record Totals(
            long digests,
            long pausing,
            long early,
            long sharedRead,
            long sharedReadAgain,
            double estimatedShare,
            long streamsLeft) {

        private static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0, 0);

        private Totals plus(Totals other) {
            return new Totals(
                    digests + other.digests,
                    pausing + other.pausing,
                    early + other.early,
                    sharedRead + other.sharedRead,
                    sharedReadAgain + other.sharedReadAgain,
                    estimatedShare + other.estimatedShare,
                    streamsLeft + other.streamsLeft);
        }

        private double pausingShare() {
            return (double) pausing / digests;
        }

        private double earlyShare() {
            return (double) early / digests;
        }
    }
}
