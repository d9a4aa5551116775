package org.copperspindle.time;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DeferredTaskTest {

    private final VirtualTimerService time = new VirtualTimerService();
    private final List<Long> ranAt = new ArrayList<>();
    private final long begin = time.nanoTime();

    @Test
    void runsOnceForAllRequestsWhilePending() {
        DeferredTask task = new DeferredTask(time, this::ran);
        task.schedule(10);
        task.schedule(3);
        time.advance(10);
        assertThat(ranAt).containsExactly(10L);
        time.advance(100);
        assertThat(ranAt).hasSize(1);
    }

    /** A task may schedule itself while it runs. It would never run again if it still counted as pending then. */
    @Test
    void mayScheduleItselfWhileItRuns() {
        DeferredTask[] task = new DeferredTask[1];
        task[0] = new DeferredTask(time, () -> {
            ran();
            task[0].schedule(7);
        });
        task[0].schedule(5);
        time.advance(20);
        assertThat(ranAt).containsExactly(5L, 12L, 19L);
    }

    private void ran() {
        ranAt.add(time.nanoTime() - begin);
    }
}
