package org.copperspindle.batch;

import java.util.List;
import java.util.stream.IntStream;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PieceQueueTest {

    private static final BatchLimits LIMITS = TestRoutes.batch(10);

    private final PieceQueue queue = new PieceQueue();

    /** In a burst, a request that is already late must not go before one that can still be on time. */
    @ParameterizedTest
    @CsvSource({"800, 4, 900, 4, 1", "900, 4, 800, 4, 2", "-100, 0, 900, 8, 2", "900, 3, 880, 5, 1", "900, 3, 500, 5, 2"
    })
    void mostUrgentThatCanBeOnTimeGoesFirst(long slack1, int rank1, long slack2, int rank2, long first) {
        queue.add(group(1, 10, slack1, rank1, 0));
        queue.add(group(2, 10, slack2, rank2, 0));
        assertThat(take(10, Long.MAX_VALUE)).allMatch(t -> t.group().group().id() == first);
    }

    /**
     * More pieces wait than fit into a call. It is filled by urgency, and the rest of the split group goes first into
     * the next one. Kept whole, the group would not go any sooner, and the places would be wasted just when the pool
     * is short of capacity.
     */
    @Test
    void callIsFullWhileMoreWaits() {
        queue.add(group(1, 8, 900, 4, 0));
        queue.add(group(2, 4, 950, 4, 0));
        queue.add(group(3, 2, 990, 4, 0));
        assertThat(take(10, Long.MAX_VALUE))
                .extracting(t -> t.group().group().id() + "/" + t.piece())
                .hasSize(10)
                .endsWith("2/0", "2/1");
        assertThat(take(10, Long.MAX_VALUE))
                .extracting(t -> t.group().group().id() + "/" + t.piece())
                .containsExactly("2/2", "2/3", "3/0", "3/1");
        assertThat(queue.isEmpty()).isTrue();
    }

    /**
     * Groups whose inputs are elsewhere wait for an upstream there while the pool keeps up, even if there are pieces
     * for a full call. While the pool is behind, they come after the groups that prefer this upstream, and the call
     * is full: an idle upstream would cost more than their traffic.
     */
    @ParameterizedTest
    @CsvSource({"9, false, 2, 4", "10, false, 2, 4", "10, true, 2, 10"})
    void groupsOfOtherUpstreamsFillUpACallOnlyUnderLoad(int most, boolean isBehind, long first, int pieces) {
        queue.add(group(1, 8, 900, 4, 0));
        queue.add(group(2, 4, 950, 4, 0));
        List<PieceTask> tasks = queue.take(
                LIMITS,
                new CallBounds(most, Long.MAX_VALUE, isBehind, UpstreamPace.USUAL),
                0,
                group -> group.group().id() == 2);
        assertThat(tasks).hasSize(pieces);
        assertThat(tasks.get(0).group().group().id()).isEqualTo(first);
    }

    /**
     * Large results: a full call of them takes more than half of an upstream's memory. A partly made group would hold
     * that memory until the rest is complete, and the next calls would have room for only a piece or two.
     */
    @ParameterizedTest
    @CsvSource({"250000, 10", "250001, 8"})
    void groupOfLargeResultsStaysWhole(long bytes, int pieces) {
        queue.add(group(1, 8, 900, 4, bytes));
        queue.add(group(2, 4, 950, 4, bytes));
        assertThat(take(12, Long.MAX_VALUE)).hasSize(pieces);
    }

    /**
     * Fewer pieces wait than fit into a call, and several upstreams are free: a group that does not fit waits as a
     * whole.
     */
    @Test
    void groupStaysWholeWhileThePoolKeepsUp() {
        queue.add(group(1, 8, 900, 4, 0));
        queue.add(group(2, 4, 950, 4, 0));
        assertThat(take(9, Long.MAX_VALUE))
                .extracting(t -> t.group().group().id())
                .containsOnly(1L);
        assertThat(take(9, Long.MAX_VALUE)).hasSize(4);
        assertThat(queue.isEmpty()).isTrue();
    }

    /**
     * Large results fill the upstream's memory before the call is full: only the pieces that fit are taken, then
     * smaller ones.
     */
    @Test
    void fullCallKeepsToTheMemoryForResults() {
        queue.add(group(1, 4, 900, 4, 100));
        queue.add(group(2, 6, 950, 4, 100));
        queue.add(group(3, 3, 990, 4, 1));
        assertThat(take(10, 550))
                .extracting(t -> t.group().group().id() + "/" + t.piece())
                .containsExactly("1/0", "1/1", "1/2", "1/3", "2/0", "3/0", "3/1", "3/2");
    }

    @Test
    void groupLargerThanACallIsSplit() {
        queue.add(group(1, 25, 900, 4, 0));
        assertThat(take(10, Long.MAX_VALUE)).hasSize(10);
        assertThat(take(10, Long.MAX_VALUE)).hasSize(10);
        assertThat(take(10, Long.MAX_VALUE)).extracting(PieceTask::piece).containsExactly(20, 21, 22, 23, 24);
    }

    @ParameterizedTest
    @CsvSource({"350, 3", "99, 0", "5000, 8"})
    void memoryForResultsBoundsACall(long bytes, int pieces) {
        queue.add(group(1, 8, 900, 4, 100));
        assertThat(take(10, bytes)).hasSize(pieces);
    }

    @Test
    void expiredGroupIsRemoved() {
        queue.add(group(1, 2, 10, 4, 0));
        assertThat(queue.removeExpired(1_999_000_000L)).isEmpty();
        assertThat(queue.removeExpired(2_000_000_000L)).hasSize(1);
        assertThat(queue.isEmpty()).isTrue();
    }

    /** A group without pieces would stay in the queue until its deadline, since no call takes it. */
    @Test
    void groupWithoutPiecesIsRefused() {
        queue.add(group(1, 0, 900, 4, 0));
        assertThat(queue.isEmpty()).isTrue();
    }

    private List<PieceTask> take(int most, long bytes) {
        return queue.take(LIMITS, new CallBounds(most, bytes, false, UpstreamPace.USUAL), 0, group -> true);
    }

    private static WaitingGroup group(long id, int pieces, long slackMillis, int rank, long bytes) {
        List<Integer> all = IntStream.range(0, pieces).boxed().toList();
        PieceGroup group = new PieceGroup(
                id, "r", 0, "p", pieces, all, "k", List.of(), rank, slackMillis, 2000, bytes, 0, "", false, false);
        return new WaitingGroup("n", group, 0);
    }
}
