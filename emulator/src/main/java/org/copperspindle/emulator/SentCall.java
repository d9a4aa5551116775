package org.copperspindle.emulator;

import java.util.Map;
import java.util.Set;

/**
 * A call that a caller is about to send.
 *
 * @param token what the caller names the work in its body
 * @param paths paths that fakes may get for it, by their interface
 * @param text  the whole body that a plain service gets, or the input that the body at any other interface holds
 */
public record SentCall(String token, Map<FakeKind, Set<String>> paths, String text) {

    /** Copies the map. */
    public SentCall {
        paths = Map.copyOf(paths);
    }
}
