package org.copperspindle.gateway;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Replays bursts and an evacuation against a controller of all pools, and against the admission of each node. */
class AdmissionReplayTest {

    private static final int SEEDS = 4;
    private static final int NO_FLOOD = -1;
    private static final OptionalLong PER_NODE = OptionalLong.empty();

    /** Demand beyond the normal rates, so that pools are short for most of the bursts. */
    private static final double BUSY = 1.3;

    /** A middling account of sixteen; ten times its share is a quarter more load. */
    private static final int FLOODING_ACCOUNT = 11;

    private static final long MILLI = 1_000_000L;

    private static Stream<Arguments> loads() {
        return Stream.of(ReplayedLoad.draftsNotesLabels(), ReplayedLoad.digestsRemindersReplies())
                .flatMap(load -> Stream.of(5, 34, 160).map(age -> Arguments.of(load, age)));
    }

    /**
     * Each node admits by the objective of the request, so those with the longest objective keep the pools full and
     * more urgent ones are late. The controller must earn more on the same requests, whether it dispatches all pools
     * itself or knows loads that are as old as among hundreds of nodes.
     */
    @ParameterizedTest
    @MethodSource("loads")
    void earnsMoreThanNodesAlone(ReplayedLoad load, long ageMillis) {
        Map<String, ReplayScore> alone = play(load, PER_NODE);
        Map<String, ReplayScore> controlled = play(load, OptionalLong.of(ageMillis * MILLI));
        assertThat(value(controlled)).isGreaterThan(value(alone));
        double served = total(controlled, ReplayScore::served) / total(controlled, score -> score.requests);
        assertThat(controlled.values())
                .as("no route starves")
                .allMatch(score -> (double) score.served() / score.requests >= served / 4);
        double moreUrgent = 1;
        for (ReplayedLoad.Kind kind : load.kinds()) {
            double credit = controlled.get(kind.name()).credit();
            assertThat(moreUrgent).as(kind.name()).isGreaterThan(credit - 0.05);
            moreUrgent = credit;
        }
    }

    /**
     * An account that sends ten times its share must take the capacity from itself and not from the others. All
     * accounts have the weight of their usual share, or all the same weight; then only accounts with less than an
     * equal share are owed what they ask for.
     */
    @ParameterizedTest
    @CsvSource({"true, 0, 34", "true, 0, 160", "false, 5, 34", "false, 5, 160"})
    void floodOfOneAccountLeavesTheOthersTheirShare(boolean weighted, int firstAccount, long ageMillis) {
        for (ReplayedLoad load : List.of(ReplayedLoad.draftsNotesLabels(), ReplayedLoad.digestsRemindersReplies())) {
            OptionalLong age = OptionalLong.of(ageMillis * MILLI);
            double without = othersServed(load, age, NO_FLOOD, weighted, firstAccount);
            double with = othersServed(load, age, FLOODING_ACCOUNT, weighted, firstAccount);
            assertThat(with).isGreaterThan(without - 0.05);
        }
    }

    private static Map<String, ReplayScore> play(ReplayedLoad load, OptionalLong age) {
        return sum(load, age, NO_FLOOD, false, StageLoadReplay::play);
    }

    private static double othersServed(
            ReplayedLoad load, OptionalLong age, int flood, boolean weighted, int firstAccount) {
        Map<String, ReplayScore> scores = sum(load, age, flood, weighted, replay -> {
            replay.play();
            return replay.accountScores();
        });
        scores.keySet().removeIf(name -> {
            int account = Integer.parseInt(name.substring(1, name.indexOf(' ')));
            return account < firstAccount || account == FLOODING_ACCOUNT;
        });
        return total(scores, ReplayScore::served) / total(scores, score -> score.requests);
    }

    private static Map<String, ReplayScore> sum(
            ReplayedLoad load,
            OptionalLong age,
            int flood,
            boolean weighted,
            Function<StageLoadReplay, Map<String, ReplayScore>> run) {
        Map<String, ReplayScore> sum = new ConcurrentSkipListMap<>();
        IntStream.rangeClosed(1, SEEDS).parallel().forEach(seed -> {
            try (StageLoadReplay replay = new StageLoadReplay(load, 1, BUSY, seed, age, flood, weighted)) {
                run.apply(replay).forEach((name, score) -> sum.merge(name, score, ReplayScore::plus));
            }
        });
        return sum;
    }

    private static double value(Map<String, ReplayScore> scores) {
        return total(scores, ReplayScore::value);
    }

    private static double total(Map<String, ReplayScore> scores, ToDoubleFunction<ReplayScore> part) {
        return scores.values().stream().mapToDouble(part).sum();
    }
}
