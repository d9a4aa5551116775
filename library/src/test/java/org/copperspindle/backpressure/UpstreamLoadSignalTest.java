package org.copperspindle.backpressure;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamLoadSignalTest {

    @ParameterizedTest
    @ValueSource(strings = {"3,1,6", " 3 , 1 , 6 ", "3;1;6", "3 1 6"})
    void threeFiguresStateNoPace(String value) {
        assertThat(UpstreamLoadSignal.of(List.of(value)))
                .isEqualTo(new UpstreamLoadSignal.Stated(3, 1, 6, OptionalInt.empty()));
    }

    @ParameterizedTest
    @CsvSource({"'3,1,6,250', 250", "'3,1,6,0', 0", "'3,1,6,99.7', 100", "'3,1,6,1000000', 1000000"})
    void fourthFigureIsThePace(String value, int percent) {
        assertThat(UpstreamLoadSignal.of(List.of(value)))
                .isEqualTo(new UpstreamLoadSignal.Stated(3, 1, 6, OptionalInt.of(percent)));
    }

    /** Guards against a value of an upstream that is taken for a load, or that fails the response it came with. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                ",",
                "1",
                "1,2",
                "1,2,3,4,5",
                "1,2,3,",
                ",1,2,3",
                "1,,2,3",
                "-1,2,3",
                "1,2,3,-100",
                "a,2,3",
                "1,2,NaN",
                "1,2,3,Infinity",
                "1,2,3,1e2",
                "0x1,2,3",
                "1,2,3,1000001",
                "99999999999,1,1",
                "1,2,3,99999999999999999999",
                "running=1,waiting=2,slots=3"
            })
    void anythingElseIsUnreadable(String value) {
        assertThat(UpstreamLoadSignal.of(List.of(value))).isInstanceOf(UpstreamLoadSignal.Unreadable.class);
    }

    @Test
    void hugeValueIsUnreadableAndShortened() {
        UpstreamLoadSignal signal = UpstreamLoadSignal.of(List.of("1,".repeat(100_000)));
        assertThat(signal)
                .isInstanceOfSatisfying(
                        UpstreamLoadSignal.Unreadable.class,
                        value -> assertThat(value.text()).hasSizeLessThan(50));
    }

    /** It is unknown which of several statements is true. */
    @Test
    void severalValuesAreUnreadable() {
        assertThat(UpstreamLoadSignal.of(List.of("1,2,3", "1,2,3"))).isInstanceOf(UpstreamLoadSignal.Unreadable.class);
    }

    @Test
    void responseWithoutTheFieldStatesNothing() {
        assertThat(UpstreamLoadSignal.of(List.of())).isEqualTo(UpstreamLoadSignal.ABSENT);
    }
}
