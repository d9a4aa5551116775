package org.copperspindle.gateway;

import org.copperspindle.direct.UpstreamPort.CallHandle;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamReadingTest {

    private static final long LONG_AFTER = 10 * UpstreamReading.MAX_PAUSE_NANOS;

    private final VirtualTimerService timers = new VirtualTimerService();
    private final PausedUpstreams paused = new PausedUpstreams();
    private final RecordingHandle handle = new RecordingHandle();
    private boolean writable = true;
    private final UpstreamReading reading = new UpstreamReading(timers, () -> writable, paused);

    /** Guards against a caller that reads but whose upstream is paused, or never resumed. */
    @Test
    void upstreamIsReadWhileTheCallerReads() {
        reading.begin(handle);
        reading.adjust();
        assertThat(paused.total()).isZero();
        stall(true);
        assertThat(handle.reads).isFalse();
        stall(false);
        assertThat(handle.reads).isTrue();
        assertThat(paused.now()).isZero();
    }

    /** Guards against a pause until the upstream cuts off its response, and against a second pause in one stall. */
    @Test
    void overdueUpstreamIsReadUntilTheCallerReadsAgain() {
        reading.begin(handle);
        stall(true);
        timers.advance(UpstreamReading.MAX_PAUSE_NANOS - 1);
        assertThat(handle.reads).isFalse();
        timers.advance(1);
        assertThat(handle.reads).isTrue();
        reading.adjust();
        timers.advance(LONG_AFTER);
        assertThat(handle.reads).isTrue();
        assertThat(paused.total()).isEqualTo(1);
        stall(false);
        stall(true);
        assertThat(handle.reads).isFalse();
        assertThat(paused.total()).isEqualTo(2);
    }

    /** Guards against a call that ends while paused and is counted as paused, or paused by a late event, after that. */
    @Test
    void endedCallIsNeitherPausedNorCounted() {
        writable = false;
        reading.begin(handle);
        assertThat(paused.now()).isEqualTo(1);
        reading.end();
        reading.end();
        reading.adjust();
        timers.advance(LONG_AFTER);
        assertThat(handle.reads).isTrue();
        assertThat(paused.now()).isZero();
        assertThat(handle.changes).isEqualTo(2);
    }

    /** Guards against an engine that is avoided for pauses which a slow caller caused. */
    @Test
    void pauseOfReadingIsReportedOnce() {
        reading.begin(handle);
        assertThat(reading.takePause()).isFalse();
        stall(true);
        assertThat(reading.takePause()).isTrue();
        stall(false);
        assertThat(reading.takePause()).isTrue();
        assertThat(reading.takePause()).isFalse();
    }

    private void stall(boolean stalls) {
        writable = !stalls;
        reading.adjust();
    }

    /** Records whether the call is read. */
    private static final class RecordingHandle implements CallHandle {
        private boolean reads = true;
        private int changes;

        @Override
        public void abort(String reason) {
            throw new IllegalStateException("aborted");
        }

        @Override
        public void setReading(boolean reading) {
            reads = reading;
            changes++;
        }
    }
}
