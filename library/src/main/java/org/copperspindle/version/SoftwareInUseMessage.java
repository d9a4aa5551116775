package org.copperspindle.version;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The software versions that may have begun streams which callers can still take up. Part of the replicated state, and
 * sent between nodes.
 *
 * @param revision       log index of the change that produced the list, so that a later list has a higher revision; 0
 *                       while no list is kept
 * @param versionsByPool texts of the versions by name of their pool, sorted, without empty lists
 */
public record SoftwareInUseMessage(long revision, SortedMap<String, List<String>> versionsByPool)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<SoftwareInUseMessage> CODEC =
            MessageCodec.of(217, SoftwareInUseMessage.class, SoftwareInUseMessage::write, SoftwareInUseMessage::read);

    /** State in which no list is kept. */
    public static final SoftwareInUseMessage NONE = new SoftwareInUseMessage(0, new TreeMap<>());

    /** Maximum number of versions of one pool; far above the number in any deployment. */
    public static final int MAX_VERSIONS_PER_POOL = 64;

    /** Maximum number of versions of all pools. */
    public static final int MAX_VERSIONS = 1024;

    /** Copies and sorts the versions. */
    public SoftwareInUseMessage {
        SortedMap<String, List<String>> sorted = new TreeMap<>();
        versionsByPool.forEach((pool, versions) -> {
            if (!versions.isEmpty()) {
                sorted.put(pool, List.copyOf(new TreeSet<>(versions)));
            }
        });
        versionsByPool = sorted;
    }

    /**
     * Returns whether the list is kept.
     *
     * @return false if nothing can be concluded from it
     */
    public boolean isKept() {
        return revision > 0;
    }

    /**
     * Returns the versions in use in a pool.
     *
     * @param pool name of the pool
     * @return their texts, sorted
     */
    public List<String> versions(String pool) {
        return versionsByPool.getOrDefault(pool, List.of());
    }

    /**
     * Returns whether a version is in use.
     *
     * @param pool    name of its pool
     * @param version its text
     * @return true if it may begin streams
     */
    public boolean contains(String pool, String version) {
        return versions(pool).contains(version);
    }

    /**
     * Counts the versions in use.
     *
     * @return the versions of all pools
     */
    public int count() {
        return versionsByPool.values().stream().mapToInt(List::size).sum();
    }

    /**
     * Returns how many more versions of a pool can be recorded.
     *
     * @param pool name of the pool
     * @return a count
     */
    public int room(String pool) {
        return Math.min(MAX_VERSIONS_PER_POOL - versions(pool).size(), MAX_VERSIONS - count());
    }

    /** Returns whether a change would record more versions than allowed. */
    boolean isFullFor(SoftwareCommand change) {
        return change.isInUse() && changed(change).size() > room(change.pool());
    }

    /** Returns the versions that a change adds or removes. */
    SortedSet<String> changed(SoftwareCommand change) {
        SortedSet<String> changed = new TreeSet<>(change.versions());
        changed.removeIf(version -> contains(change.pool(), version) == change.isInUse());
        return changed;
    }

    /** Returns the list after a change with the given log index; the same list if the change changes nothing. */
    SoftwareInUseMessage after(SoftwareCommand change, long index) {
        SortedSet<String> changed = changed(change);
        if (changed.isEmpty() && isKept()) {
            return this;
        }
        List<String> next = new ArrayList<>(versions(change.pool()));
        if (change.isInUse()) {
            next.addAll(changed);
        } else {
            next.removeAll(changed);
        }
        SortedMap<String, List<String>> all = new TreeMap<>(versionsByPool);
        all.put(change.pool(), next);
        return new SoftwareInUseMessage(index, all);
    }

    private void write(FieldWriter out) {
        List<String> pools = new ArrayList<>();
        List<String> versions = new ArrayList<>();
        versionsByPool.forEach((pool, each) -> each.forEach(version -> {
            pools.add(pool);
            versions.add(version);
        }));
        out.put(1, revision).putStrings(2, pools).putStrings(3, versions);
    }

    private static SoftwareInUseMessage read(FieldReader in) {
        List<String> pools = in.getStrings(2);
        List<String> versions = in.getStrings(3);
        if (pools.size() != versions.size()) {
            throw new IllegalArgumentException("versions without a pool: " + versions.size() + " and " + pools.size());
        }
        SortedMap<String, List<String>> all = new TreeMap<>();
        for (int i = 0; i < pools.size(); i++) {
            all.computeIfAbsent(pools.get(i), pool -> new ArrayList<>()).add(versions.get(i));
        }
        return new SoftwareInUseMessage(in.getLong(1, 0), all);
    }
}
