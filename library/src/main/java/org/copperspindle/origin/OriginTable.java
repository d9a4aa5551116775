package org.copperspindle.origin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Origins of streams that this node relays, or holds for other nodes. Bounded: the oldest record is dropped first.
 */
final class OriginTable {

    /** Bounds the memory: callers choose how many streams they begin. */
    static final int MAX_RECORDS = 20_000;

    private final Map<StreamKey, Held> records = new LinkedHashMap<>();
    private long dropped;

    /**
     * Stores a record, unless a later one of the same stream is stored.
     *
     * @param received the record
     * @param own      whether this node relays the stream
     * @param until    when it expires, monotonic time in nanoseconds
     * @return false if a later one is stored
     */
    boolean put(OriginRecord received, boolean own, long until) {
        Held before = records.get(received.key());
        if (before != null && before.origin().order() > received.origin().order()) {
            return false;
        }
        records.remove(received.key());
        boolean relayed = own || before != null && before.own();
        records.put(received.key(), new Held(received.origin(), received.pool(), relayed, until));
        if (records.size() > MAX_RECORDS) {
            records.remove(records.keySet().iterator().next());
            dropped++;
        }
        return true;
    }

    Optional<StreamOrigin> find(StreamKey key, long now) {
        return valid(key, now).map(Held::origin);
    }

    /** Returns whether this node has relayed the stream and still knows where it began, so that no other is needed. */
    boolean isOwn(StreamKey key, long now) {
        return valid(key, now).filter(Held::own).isPresent();
    }

    /** Returns the records of the streams of a pool that this node relays or has relayed. */
    List<OriginRecord> own(String pool, long now) {
        return records.entrySet().stream()
                .filter(each -> each.getValue().own()
                        && each.getValue().pool().equals(pool)
                        && each.getValue().until() - now > 0)
                .map(each ->
                        new OriginRecord(each.getKey(), pool, each.getValue().origin()))
                .toList();
    }

    void removeExpired(long now) {
        records.values().removeIf(held -> held.until() - now <= 0);
    }

    int size() {
        return records.size();
    }

    /** Returns how many records were dropped before they expired. */
    long dropped() {
        return dropped;
    }

    private Optional<Held> valid(StreamKey key, long now) {
        return Optional.ofNullable(records.get(key)).filter(held -> held.until() - now > 0);
    }

    private record Held(StreamOrigin origin, String pool, boolean own, long until) {}
}
