package org.copperspindle.batch;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Groups of pieces for tests.
 */
final class TestGroups {

    private TestGroups() {}

    /** Creates a group of eight pieces without inputs, with ample time left. */
    static PieceGroup ofEight(long id) {
        return new PieceGroup(
                id,
                "r" + id,
                0,
                "p",
                8,
                IntStream.range(0, 8).boxed().toList(),
                "k",
                List.of(),
                4,
                2000,
                8000,
                10,
                0,
                "",
                false,
                false);
    }
}
