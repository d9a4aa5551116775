package org.copperspindle.backpressure;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LimitSignalTest {

    @ParameterizedTest
    @CsvSource({"1, 1", "1.3, 1.3", "0, 0", "0.25, 0.25", "' 7. ', 7", "99999999999, 1000000"})
    void decimalNumberIsALimit(String value, double perSecond) {
        assertThat(LimitSignal.of(List.of(value))).isEqualTo(new LimitSignal.Named(perSecond));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "-1", "NaN", "Infinity", "1e3", "0x1p3", "1,5", "none", "1d", "99999999999999999999"})
    void anythingElseIsUnreadable(String value) {
        assertThat(LimitSignal.of(List.of(value))).isInstanceOf(LimitSignal.Unreadable.class);
    }

    @Test
    void lowestOfSeveralCounts() {
        assertThat(LimitSignal.of(List.of("4", "2.5", "x", "3"))).isEqualTo(new LimitSignal.Named(2.5));
    }

    @Test
    void responseWithoutTheFieldHasNoLimit() {
        assertThat(LimitSignal.of(List.of())).isEqualTo(LimitSignal.ABSENT);
    }
}
