package org.copperspindle.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.measure.LogRateLimiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class HeldMemoryTest {

    private static final long SECOND = 1_000_000_000L;

    private final AtomicLong clock = new AtomicLong();
    private final List<String> ended = new ArrayList<>();
    private final HeldMemory memory = HeldMemories.create(1000, clock::get, new LogRateLimiter(9, 9));

    /** Guards against bytes that are released twice, by a late end of a write after the end of the connection. */
    @Test
    void closedHolderReleasesOnce() {
        MemoryHolder holder = holder("a");
        memory.reserve(holder, HeldKind.REQUEST_BODY, 100);
        memory.reserve(holder, HeldKind.UNSENT_RESPONSE, 200);
        memory.release(holder, HeldKind.UNSENT_RESPONSE, 50);
        assertThat(memory.heldBytes()).isEqualTo(250);
        memory.close(holder);
        memory.close(holder);
        memory.release(holder, HeldKind.UNSENT_RESPONSE, 150);
        memory.reserve(holder, HeldKind.BUFFERED_RESPONSE, 70);
        assertThat(memory.heldBytes()).isZero();
        assertThat(memory.peakBytes()).isEqualTo(300);
    }

    /** Guards against a stalled caller that keeps its memory because new data arrives for others only. */
    @Test
    void stalledCallerMakesRoomForOthers() {
        MemoryHolder stalled = holder("stalled");
        MemoryHolder reading = holder("reading");
        memory.reserve(stalled, HeldKind.UNSENT_RESPONSE, 500);
        memory.reserve(reading, HeldKind.UNSENT_RESPONSE, 300);
        clock.addAndGet(2 * SECOND);
        memory.recordRead(reading);
        memory.reserve(reading, HeldKind.UNSENT_RESPONSE, 150);
        assertThat(ended).containsExactly("stalled");
        assertThat(memory.heldBytes()).isEqualTo(450);
        assertThat(memory.shedResponses()).isEqualTo(1);
    }

    /** Guards against a large request that is taken beside responses that fill the budget. */
    @Test
    void largeRequestIsRefusedWhileResponsesFillTheBudget() {
        HeldMemory large = HeldMemories.create(1 << 20, clock::get, new LogRateLimiter(9, 9));
        large.reserve(large.open(), HeldKind.UNSENT_RESPONSE, 900_000);
        assertThat(large.tryReserve(large.open(), HeldKind.REQUEST_BODY, 200_000))
                .isFalse();
        assertThat(large.tryReserve(large.open(), HeldKind.REQUEST_BODY, 10_000))
                .isTrue();
    }

    /** Guards against bytes that are held, but not counted, after their own holder was closed to make room for them. */
    @Test
    void reservationOfAClosedHolderFails() {
        HeldMemory large = HeldMemories.create(1 << 20, clock::get, new LogRateLimiter(9, 9));
        MemoryHolder earlier = large.open();
        MemoryHolder later = large.open();
        earlier.startArrival(() -> large.close(later));
        assertThat(large.tryReserve(earlier, HeldKind.REQUEST_BODY, 600_000)).isTrue();
        assertThat(large.tryReserve(later, HeldKind.REQUEST_BODY, 300_000)).isFalse();
        assertThat(large.heldBytes()).isZero();
    }

    /** Guards against a sum that grows without bound when all callers read, but too slowly. */
    @Test
    void sumStaysNearTheBudget() {
        for (int i = 0; i < 100; i++) {
            memory.reserve(holder("h" + i), HeldKind.UNSENT_RESPONSE, 100);
            clock.addAndGet(1);
        }
        assertThat(memory.peakBytes()).isLessThanOrEqualTo(1100);
        assertThat(ended).hasSizeGreaterThan(85);
    }

    /** Guards against a budget that the heap or the memory of the process can't spare. */
    @ParameterizedTest
    @CsvSource({"330, 96, 24", "0, 96, 24", "330, 64, 16", "165, 96, 12"})
    void budgetFitsHeapAndProcess(long processMegabytes, long heapMegabytes, long budgetMegabytes) {
        OptionalLong process = processMegabytes == 0 ? OptionalLong.empty() : OptionalLong.of(processMegabytes << 20);
        assertThat(HeldMemories.budgetBytes(process, heapMegabytes << 20)).isEqualTo(budgetMegabytes << 20);
    }

    private MemoryHolder holder(String id) {
        MemoryHolder holder = memory.open();
        holder.describe(id, true);
        holder.onBreakOff(() -> ended.add(id));
        return holder;
    }
}
