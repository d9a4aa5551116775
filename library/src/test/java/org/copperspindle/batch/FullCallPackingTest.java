package org.copperspindle.batch;

import java.util.List;
import java.util.stream.IntStream;

import org.copperspindle.route.BatchLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class FullCallPackingTest {

    private static final long MILLI = 1_000_000L;
    private static final CallPacking PACKING = new FullCallPacking();

    /** Memory of 100 bytes for each piece of one and a half calls: less than splitting needs otherwise. */
    private static final BatchLimits LIMITS = limits(30, 4_500);

    /** Guards against places that stay empty while pieces wait, as with whole groups: only 24 of 30 would be used. */
    @Test
    void callIsFilledByAPartOfTheLastGroup() {
        List<WaitingGroup> groups = List.of(group(1, 12, 100), group(2, 12, 100), group(3, 12, 100), group(4, 12, 100));
        List<Long> packed = ids(pack(groups, 4_500));
        assertThat(packed).hasSize(30);
        assertThat(packed.subList(24, 30)).containsOnly(3L);
        assertThat(new WholeGroupPacking().pack(groups, LIMITS, bounds(30, 4_500)))
                .hasSize(24);
    }

    /** Packing must leave the groups as they are: the queue records what was taken. */
    @Test
    void groupsAreNotChanged() {
        List<WaitingGroup> groups = List.of(group(1, 24, 100), group(2, 24, 100));
        pack(groups, 4_500);
        assertThat(groups).allMatch(group -> group.missing().size() == 24 && !group.isSplit());
    }

    /** The free memory of the upstream bounds the call: a piece more would find no room there. */
    @ParameterizedTest
    @CsvSource({"4500, 30", "700, 7", "399, 3", "99, 0"})
    void callKeepsToTheFreeMemory(long bytes, int pieces) {
        assertThat(pack(List.of(group(1, 4, 100), group(2, 28, 100)), bytes)).hasSize(pieces);
    }

    /**
     * Guards against partly made groups that fill the memory of two producers: groups stay together if fewer
     * than 30 results fit into the memory, unless two full calls do.
     */
    @ParameterizedTest
    @CsvSource({
        "25, 100000, 3000000, 25",
        "25, 100001, 3000000, 24",
        "25, 250000, 7400000, 24",
        "10, 250000, 5000000, 10"
    })
    void groupOfLargeResultsStaysWhole(int maxPieces, long bytes, long memory, int pieces) {
        List<WaitingGroup> groups =
                IntStream.rangeClosed(1, 7).mapToObj(id -> group(id, 4, bytes)).toList();
        assertThat(PACKING.pack(groups, limits(maxPieces, memory), bounds(maxPieces, memory)))
                .hasSize(pieces);
    }

    /** Also the most urgent group of large results waits for an upstream that has memory for all of it. */
    @Test
    void firstGroupOfLargeResultsIsNotCutByMemory() {
        List<WaitingGroup> groups = List.of(group(1, 4, 800_000), group(2, 2, 800_000));
        assertThat(ids(PACKING.pack(groups, limits(8, 9_600_000), bounds(8, 2_400_000))))
                .containsExactly(2L, 2L);
    }

    /** A group that fits into no call would never be sent if it had to stay together. */
    @ParameterizedTest
    @CsvSource({"25, 100, 1500, 10", "9, 800000, 6000000, 7"})
    void groupLargerThanAnyCallIsTakenInParts(int pieces, long bytes, long memory, int taken) {
        WaitingGroup group = group(1, pieces, bytes);
        assertThat(PACKING.pack(List.of(group), limits(10, memory), bounds(10, memory)))
                .hasSize(taken);
    }

    /** Split twice, a group would wait for a third call, and its first results would hold memory for longer. */
    @Test
    void groupIsSplitAtMostOnce() {
        WaitingGroup rest = group(1, 4, 100);
        rest.markSplit();
        assertThat(ids(pack(List.of(rest, group(2, 2, 100)), 350))).containsExactly(2L, 2L);
    }

    /** Guards against many partly made groups at once: their results would fill the memory of the producers. */
    @Test
    void noGroupIsSplitWhileTheRestOfAnotherWaits() {
        WaitingGroup rest = group(1, 4, 100);
        rest.markSplit();
        assertThat(pack(List.of(rest, group(2, 4, 100)), 350)).isEmpty();
        assertThat(pack(List.of(rest, group(2, 28, 100)), 4_500)).hasSize(30);
    }

    /** The rest goes into the next call; if it did not fit there, the group would need a third one. */
    @Test
    void restFitsIntoOneCall() {
        assertThat(pack(List.of(group(1, 28, 100), group(2, 33, 100)), 4_500)).hasSize(28);
        assertThat(pack(List.of(group(1, 28, 100), group(2, 32, 100)), 4_500)).hasSize(30);
    }

    /** The caller of an interrupted stream waits for the later of two calls. */
    @Test
    void groupOfAnInterruptedStreamStaysWhole() {
        WaitingGroup resumed = new WaitingGroup("n", piece(2, 4, 100, true), 0);
        List<Long> packed = ids(pack(List.of(group(1, 28, 100), resumed, group(3, 4, 100)), 4_500));
        assertThat(packed).hasSize(30).endsWith(1L, 3L, 3L).doesNotContain(2L);
    }

    /** A group that may have crashed an upstream shares no call with others, also not by a part of it. */
    @Test
    void groupsOfAnotherPartitionDoNotFillTheCall() {
        WaitingGroup suspected = group(2, 4, 100);
        suspected.assignPartition(1);
        assertThat(ids(pack(List.of(group(1, 28, 100), suspected), 4_500))).containsOnly(1L);
    }

    private static List<PieceTask> pack(List<WaitingGroup> groups, long bytes) {
        return PACKING.pack(groups, LIMITS, bounds(30, bytes));
    }

    private static List<Long> ids(List<PieceTask> tasks) {
        return tasks.stream().map(task -> task.group().group().id()).toList();
    }

    private static CallBounds bounds(int pieces, long bytes) {
        return new CallBounds(pieces, bytes, true, UpstreamPace.USUAL);
    }

    private static BatchLimits limits(int maxPieces, long memory) {
        return new BatchLimits(1, 2, maxPieces, 240 * MILLI, 10 * MILLI, memory, 4_000 * MILLI, 0);
    }

    private static WaitingGroup group(long id, int pieces, long bytes) {
        return new WaitingGroup("n", piece(id, pieces, bytes, false), 0);
    }

    private static PieceGroup piece(long id, int pieces, long bytes, boolean resumed) {
        List<Integer> all = IntStream.range(0, pieces).boxed().toList();
        return new PieceGroup(
                id, "r" + id, 0, "p", pieces, all, "k", List.of(), 1, 900, 2000, bytes, 0, "", false, resumed);
    }
}
