package org.copperspindle.batch;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ExpectedPiecesTest {

    private static final long MILLI = 1_000_000L;

    private final ExpectedPieces expected = new ExpectedPieces();

    @Test
    void updatesContainChangedCounts() {
        expected.add("p", 8);
        assertThat(expected.unsent("p")).isEqualTo(8);
        assertThat(expected.takeUpdates(false)).isEqualTo(Map.of("p", 8L));
        assertThat(expected.unsent("p")).isZero();
        assertThat(expected.takeUpdates(false)).isEmpty();
        assertThat(expected.takeUpdates(true)).isEqualTo(Map.of("p", 8L));
        expected.add("p", -8);
        assertThat(expected.takeUpdates(false)).isEqualTo(Map.of("p", 0L));
        assertThat(expected.takeUpdates(true)).isEmpty();
    }

    /**
     * A node has announced pieces and crashes, or its connection is lost. Nobody withdraws the count, and it must not
     * delay requests forever.
     */
    @Test
    void countsOfALostNodeAreForgotten() {
        expected.onUpdate("a", "p", 40, 0);
        expected.onUpdate("b", "p", 8, 0);
        assertThat(expected.total("p", 0)).isEqualTo(48);
        expected.forget("a");
        assertThat(expected.total("p", 0)).isEqualTo(8);
        assertThat(expected.total("p", 1501 * MILLI)).isZero();
    }
}
