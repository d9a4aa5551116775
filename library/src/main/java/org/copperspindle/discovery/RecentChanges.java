package org.copperspindle.discovery;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.copperspindle.mesh.MeshSettings;

/**
 * Changes that this node sent to all others lately, in their order. They may be lost with a connection that breaks.
 */
final class RecentChanges {

    /**
     * Longest time between a message that is lost and the moment at which the end of its connection is handled: the silence
     * of a connection, and some seconds for network threads that are late at both ends.
     */
    private static final long RETENTION_NANOS =
            MeshSettings.LIMITS.silence().plusSeconds(6).toNanos();

    private final Deque<SentChange> changes = new ArrayDeque<>();

    void add(UpstreamRecord changed, long now) {
        removeExpired(now);
        changes.addLast(new SentChange(changed, now));
    }

    /** Returns the changes that may have been lost with a connection that ends now, with their present age. */
    List<UpstreamRecord> since(long now) {
        removeExpired(now);
        return changes.stream().map(change -> change.recordAt(now)).toList();
    }

    private void removeExpired(long now) {
        while (!changes.isEmpty() && now - changes.peekFirst().sentAt() > RETENTION_NANOS) {
            changes.pollFirst();
        }
    }

    /** A change and when it was sent, monotonic time in nanoseconds. */
    private record SentChange(UpstreamRecord changed, long sentAt) {
        private UpstreamRecord recordAt(long now) {
            return changed.withAge(
                    changed.ageMillis() + Duration.ofNanos(now - sentAt).toMillis());
        }
    }
}
