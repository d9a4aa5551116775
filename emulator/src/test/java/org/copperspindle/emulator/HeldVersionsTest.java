package org.copperspindle.emulator;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The ledger must see what it is there for.
 */
class HeldVersionsTest {

    private final HeldVersions held = new HeldVersions();

    /** Events of two versions in one answer, and over two answers of one stream. */
    @Test
    void streamsOfTwoVersionsAreFound() {
        held.add("one", "id: 1\ndata: v1\n\nid: 2\ndata: v2\n\n");
        held.add("two", "id: 1\ndata: v1\n\n");
        held.add("two", "id: 2\ndata: v2\n\n");
        held.add("three", "id: 1\ndata: v1\n\n");
        held.add("three", "id: 2\ndata: v1\n\n");
        assertThat(held.mixed()).containsOnlyKeys("one", "two");
    }
}
