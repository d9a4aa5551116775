package org.copperspindle.batch;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ExpectedPiecesTest {

    private static final long MILLI = 1_000_000L;

    private final ExpectedPieces promises = new ExpectedPieces();

    @Test
    void tellsWhatHasChanged() {
        promises.add("p", 8);
        assertThat(promises.untold("p")).isEqualTo(8);
        assertThat(promises.tell(false)).isEqualTo(Map.of("p", 8L));
        assertThat(promises.untold("p")).isZero();
        assertThat(promises.tell(false)).isEmpty();
        assertThat(promises.tell(true)).isEqualTo(Map.of("p", 8L));
        promises.add("p", -8);
        assertThat(promises.tell(false)).isEqualTo(Map.of("p", 0L));
        assertThat(promises.tell(true)).isEmpty();
    }

    /**
     * A node has promised pieces and dies, or its connection is lost: nobody takes the promise back, and requests must not
     * be held up by it for ever.
     */
    @Test
    void promisesOfANodeThatIsGoneAreForgotten() {
        promises.heard("a", "p", 40, 0);
        promises.heard("b", "p", 8, 0);
        assertThat(promises.total("p", 0)).isEqualTo(48);
        promises.forget("a");
        assertThat(promises.total("p", 0)).isEqualTo(8);
        assertThat(promises.total("p", 1501 * MILLI)).isZero();
    }
}
