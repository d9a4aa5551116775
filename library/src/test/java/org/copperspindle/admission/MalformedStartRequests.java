package org.copperspindle.admission;

import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/**
 * Start requests that a controller must drop.
 */
final class MalformedStartRequests {

    private MalformedStartRequests() {}

    static Stream<StartRequestMessage> all() {
        String longName = "a".repeat(257);
        return Stream.of(
                new StartRequestMessage(7, "unknown", "", List.of(1), 1, 100, 200, false),
                new StartRequestMessage(7, "note", longName, List.of(1), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(0), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(1, 1), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(10_001), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", Collections.nCopies(65, 1), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", Collections.nCopies(60_000, 1), 1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(1), -1, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(1), 64, 100, 200, false),
                new StartRequestMessage(7, "note", "", List.of(1), 1, -1, 200, false),
                new StartRequestMessage(7, "note", "", List.of(1), 1, 100, Long.MAX_VALUE, false));
    }
}
