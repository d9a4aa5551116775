package org.copperspindle.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShortageDetectorTest {

    private static final long CALL_MILLIS = 400;

    private final ShortageDetector detector = new ShortageDetector();

    /** Nodes would change between two ways of deciding with each call if a short dip ended the shortage. */
    @Test
    void staysShortUntilASecondOfLittleQueueing() {
        assertThat(update(200, 0)).isFalse();
        assertThat(update(201, 1)).isTrue();
        assertThat(update(99, 2)).isTrue();
        assertThat(update(99, 1000)).isTrue();
        assertThat(update(100, 1000)).as("at a quarter the second starts anew").isTrue();
        assertThat(update(99, 1999)).isTrue();
        assertThat(update(99, 2000)).isFalse();
        assertThat(update(200, 2001)).isFalse();
    }

    @Test
    void poolsAreShortOnTheirOwn() {
        update(300, 0);
        assertThat(detector.isShort("p")).isTrue();
        assertThat(detector.isShort("q")).isFalse();
        detector.forget("p");
        assertThat(detector.isShort("p")).isFalse();
    }

    private boolean update(long queueingMillis, long atMillis) {
        return detector.update(
                "p", queueingMillis * TestStarts.MILLI, CALL_MILLIS * TestStarts.MILLI, atMillis * TestStarts.MILLI);
    }
}
