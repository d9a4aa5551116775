package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.copperspindle.routing.RendezvousScore;

/**
 * Decides which node may try a prompt part that upstreams terminated under. If each node tried it when its quarantine
 * ends, as many upstreams as nodes would terminate at the same moment. In each slot of time one node sends one request
 * with it; all nodes choose that node alike, without a message.
 */
final class TrialSlots {

    /** Length of a slot: a request with stages is sent within some seconds, and is known to have failed soon after. */
    static final Duration SLOT = Duration.ofSeconds(10);

    /** Suspects on trial at the same time; each has terminated several upstreams. */
    private static final int MAX_SUSPECTS = 256;

    private final String self;
    private final Supplier<Stream<String>> otherNodes;

    /** The last slot that this node used for each of a few suspects. */
    private final Map<SuspectDigest, Long> usedSlots = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<SuspectDigest, Long> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };

    /**
     * Creates slots.
     *
     * @param self       name of this node
     * @param otherNodes supplies the names of the other nodes that serve callers
     */
    TrialSlots(String self, Supplier<Stream<String>> otherNodes) {
        this.self = self;
        this.otherNodes = otherNodes;
    }

    /** Returns whether this node may send a request with a suspect now. */
    boolean isOpen(Suspicion suspicion) {
        long slot = slotOf(suspicion);
        boolean used = usedSlots.getOrDefault(suspicion.digest(), -1L) == slot;
        return !used && isChosen(slot);
    }

    /** Records that this node sends a request with a suspect. */
    void use(Suspicion suspicion) {
        usedSlots.put(suspicion.digest(), slotOf(suspicion));
    }

    /** Returns whether this node has a slot, whatever the suspect: a request may hold several that terminated together. */
    private boolean isChosen(long slot) {
        String subject = "slot" + slot;
        return Stream.concat(Stream.of(self), otherNodes.get())
                .max(Comparator.comparingLong(node -> RendezvousScore.of(subject, node)))
                .filter(self::equals)
                .isPresent();
    }

    private static long slotOf(Suspicion suspicion) {
        return suspicion.ageMillis() / SLOT.toMillis();
    }
}
