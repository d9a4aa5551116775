package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class BackoffSignalTest {

    @ParameterizedTest
    @CsvSource({"3, 3000", "0.25, 250", "0, 0", "' 2 ', 2000", "999999999999, 3600000"})
    void secondsAreABackoff(String value, long millis) {
        assertThat(BackoffSignal.of(List.of(value))).isEqualTo(new BackoffSignal.Asked(Duration.ofMillis(millis)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-3", "NaN", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1e3"})
    void anythingElseIsUnreadable(String value) {
        assertThat(BackoffSignal.of(List.of(value))).isInstanceOf(BackoffSignal.Unreadable.class);
    }

    @Test
    void longestOfSeveralCounts() {
        assertThat(BackoffSignal.of(List.of("1", "x", "4"))).isEqualTo(new BackoffSignal.Asked(Duration.ofSeconds(4)));
    }
}
