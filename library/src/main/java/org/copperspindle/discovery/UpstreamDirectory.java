package org.copperspindle.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Directory of the upstreams known to this node. An address belongs to the upstream that was last heard from it. A
 * late announcement of a former owner may take the address briefly; the next announcement of the actual owner
 * restores it. No request reaches the wrong upstream meanwhile, because each request names the id it is meant for. An
 * id that has left returns only with a later incarnation, and is then an upstream without any state of the former
 * one. Not thread-safe.
 */
public final class UpstreamDirectory {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamDirectory.class);

    /**
     * Time after which a silent upstream is removed; longer than any delayed announcement or forwarded record is
     * under way.
     */
    public static final Duration EXPIRY = Duration.ofSeconds(60);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Entry> byId = new LinkedHashMap<>();
    private final EvacuatedDomains evacuated = new EvacuatedDomains();
    private final SoftwareHistory software = new SoftwareHistory();
    private Map<String, Long> coldNanosByPool = Map.of();
    private final Map<String, String> ownerIdByAddress = new HashMap<>();

    /** Results of {@link #ready} since the last change: it is called several times for each request and call. */
    private final Map<String, List<UpstreamRecord>> readyByPool = new HashMap<>();

    private final List<DirectoryListener> listeners = new ArrayList<>();
    private long changes;

    /**
     * Adds a listener.
     *
     * @param listener called on each change
     */
    public void subscribe(DirectoryListener listener) {
        listeners.add(listener);
    }

    /**
     * Sets the evacuated failure domains. Their upstreams are excluded from {@link #ready}. Upstreams of a reopened
     * failure domain are treated as cold for the cold period of their pool: they may have become cold when the domain
     * was reopened, and all nodes see them without load at the same time.
     *
     * @param failureDomains names of all evacuated failure domains
     * @param now            monotonic time in nanoseconds
     */
    public void evacuate(Set<String> failureDomains, long now) {
        Set<String> changed = evacuated.replace(failureDomains, now);
        readyByPool.clear();
        List<UpstreamRecord> affected = byId.values().stream()
                .map(Entry::state)
                .filter(state -> state.phase() != UpstreamPhase.GONE && changed.contains(state.failureDomain()))
                .toList();
        affected.forEach(this::notifyListeners);
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param failureDomain its name
     * @return true if its upstreams receive no work
     */
    public boolean isEvacuated(String failureDomain) {
        return evacuated.contains(failureDomain);
    }

    /**
     * Returns whether any upstream of a failure domain is known.
     *
     * @param failureDomain its name
     * @return false if none is known there
     */
    public boolean hasFailureDomain(String failureDomain) {
        return byId.values().stream()
                .anyMatch(known -> known.state().failureDomain().equals(failureDomain));
    }

    /**
     * Sets the cold period of each pool.
     *
     * @param nanosByPool nanoseconds by pool name; upstreams of other pools are never presumed cold
     */
    public void setColdTimes(Map<String, Long> nanosByPool) {
        coldNanosByPool = Map.copyOf(nanosByPool);
    }

    /**
     * Returns whether an upstream is cold: either by its own announcement, counted from when it was received, or
     * because its failure domain was reopened recently.
     *
     * @param state the upstream
     * @param now   monotonic time in nanoseconds
     * @return true if it should receive little load
     */
    public boolean isCold(UpstreamRecord state, long now) {
        Entry known = byId.get(state.id());
        boolean announcedCold = known != null
                && known.state().isCold()
                && now - known.announcedAt() < known.state().coldMillis() * NANOS_PER_MILLI;
        return announcedCold
                || evacuated.isReopened(state.failureDomain(), coldNanosByPool.getOrDefault(state.pool(), 0L), now);
    }

    /**
     * Processes an announcement that was received from the upstream or forwarded by another node.
     *
     * @param announced the announcement
     * @param now       monotonic time in nanoseconds
     * @return effect on the directory
     */
    public DirectoryChange accept(UpstreamRecord announced, long now) {
        UpstreamRecord state = keepLeavingPhase(announced);
        long receivedAt =
                now - Duration.ofMillis(Math.max(0, state.ageMillis())).toNanos();
        Entry previous = byId.get(state.id());
        if (previous != null && isStale(previous.state(), state)) {
            return DirectoryChange.NONE;
        }
        if (state.phase() == UpstreamPhase.GONE) {
            return markGone(previous, state, now);
        }
        recordSoftware(state, receivedAt, now);
        boolean same = previous != null && previous.state().withAge(0).equals(withSequence(state, previous.state()));
        if (previous != null && !previous.state().address().equals(state.address())) {
            ownerIdByAddress.remove(previous.state().address(), state.id());
        }
        boolean ownedAddress = ownsAddress(state.id(), state.address());
        readyByPool.clear();
        byId.put(
                state.id(),
                new Entry(
                        state,
                        previous == null ? receivedAt : Math.max(receivedAt, previous.receivedAt()),
                        receivedAt,
                        previous == null || previous.state().endsIncarnation(state.incarnation())
                                ? receivedAt
                                : previous.knownSince()));
        boolean addressClaimed = ownedAddress || claimAddress(state, receivedAt);
        if (same && ownedAddress) {
            return DirectoryChange.REFRESHED;
        }
        if (!addressClaimed && same) {
            return DirectoryChange.NONE;
        }
        LOGGER.info(
                "event=upstream-{} upstream={} incarnation={} before={} pool={} address={} domain={} sequence={} age_ms={} cold_ms={} software={}",
                state.phase() == UpstreamPhase.READY ? "seen" : "draining",
                state.id(),
                state.incarnation(),
                previous == null ? "none" : previous.state().incarnation(),
                state.pool(),
                state.address(),
                state.failureDomain(),
                state.sequence(),
                state.ageMillis(),
                state.coldMillis(),
                state.software().text());
        notifyListeners(state);
        return DirectoryChange.CHANGED;
    }

    /**
     * Records that an upstream has left.
     *
     * @param id          its id
     * @param incarnation incarnation that has ended; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known
     *                    here
     * @param reason      evidence for the departure, for the log
     * @param now         monotonic time in nanoseconds
     * @return record to send to other nodes; empty if the departure was already known
     */
    public Optional<UpstreamRecord> markGone(String id, long incarnation, String reason, long now) {
        Entry known = byId.get(id);
        // Other nodes may know an upstream that this node has not received an announcement of yet.
        UpstreamRecord gone = known == null || isOtherIncarnation(incarnation, known.state())
                ? UpstreamRecord.goneUnknown(id, incarnation)
                : known.state().gone().withAge(0);
        if (known != null && isStale(known.state(), gone)) {
            return Optional.empty();
        }
        LOGGER.info(
                "event=upstream-leaves upstream={} incarnation={} pool={} reason={}",
                id,
                gone.incarnation(),
                gone.pool(),
                reason);
        accept(gone, now);
        return Optional.of(gone);
    }

    /**
     * Records that an upstream announced in a response that it is leaving.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return record to send to other nodes; empty if this was already known
     */
    public Optional<UpstreamRecord> markLeaving(String id, long now) {
        Optional<UpstreamRecord> leaving = find(id).filter(state -> state.phase() != UpstreamPhase.LEAVING)
                .map(state -> state.leaving().withAge(0));
        leaving.ifPresent(state -> accept(state, now));
        return leaving;
    }

    /**
     * Removes upstreams that were silent for longer than any announcement or forwarded record is under way.
     *
     * @param now monotonic time in nanoseconds
     */
    public void removeSilent(long now) {
        readyByPool.clear();
        software.removeExpired(now);
        byId.values().removeIf(known -> now - known.receivedAt() > EXPIRY.toNanos());
        ownerIdByAddress.values().removeIf(id -> !byId.containsKey(id));
    }

    /**
     * Finds an upstream that has not left.
     *
     * @param id its id
     * @return its last known state
     */
    public Optional<UpstreamRecord> find(String id) {
        return Optional.ofNullable(byId.get(id)).map(Entry::state).filter(state -> state.phase() != UpstreamPhase.GONE);
    }

    /**
     * Finds an upstream by one of its incarnations.
     *
     * @param incarnation the incarnation
     * @return its last known state; empty if the upstream has left, has started again since, or is unknown
     */
    public Optional<UpstreamRecord> find(UpstreamIncarnation incarnation) {
        return find(incarnation.id())
                .filter(state -> !incarnation.equals(UpstreamIncarnation.UNKNOWN)
                        && UpstreamIncarnation.of(state).equals(incarnation));
    }

    /**
     * Returns whether an incarnation has certainly ended, and what it held with it: a later one of its id is known, or an
     * upstream that became known after it owns its address. An upstream that has announced its departure may still serve,
     * and a late announcement of a former owner may take the address.
     *
     * @param incarnation the incarnation
     * @return false also if it is not known
     */
    public boolean isReplaced(UpstreamIncarnation incarnation) {
        Entry known = byId.get(incarnation.id());
        if (known == null || incarnation.equals(UpstreamIncarnation.UNKNOWN)) {
            return false;
        }
        if (incarnation.number() != known.state().incarnation()) {
            return isOtherIncarnation(incarnation.number(), known.state())
                    && incarnation.number() < known.state().incarnation();
        }
        return findByAddress(known.state().address())
                .filter(owner -> !owner.id().equals(incarnation.id()))
                .filter(owner -> byId.get(owner.id()).knownSince() > known.knownSince())
                .isPresent();
    }

    /**
     * Returns the number of changes.
     *
     * @return number of times that listeners were called
     */
    public long changes() {
        return changes;
    }

    /**
     * Finds the upstream at an address.
     *
     * @param address IP:PORT
     * @return the upstream that currently owns the address
     */
    public Optional<UpstreamRecord> findByAddress(String address) {
        return Optional.ofNullable(ownerIdByAddress.get(address)).flatMap(this::find);
    }

    /**
     * Lists the upstreams of a pool that accept requests.
     *
     * @param pool name of the pool
     * @return the upstreams, in no particular order
     */
    public List<UpstreamRecord> ready(String pool) {
        return readyByPool.computeIfAbsent(pool, this::findReady);
    }

    /**
     * Counts the cold upstreams of a pool that accept requests.
     *
     * @param pool name of the pool
     * @param now  monotonic time in nanoseconds
     * @return a count
     */
    public long countCold(String pool, long now) {
        return ready(pool).stream().filter(state -> isCold(state, now)).count();
    }

    /**
     * Returns the software versions of the upstreams of a pool, also of those that have left.
     *
     * @param pool name of the pool
     * @param from monotonic time in nanoseconds
     * @return the versions that were heard of since that time
     */
    public Set<SoftwareVersion> softwareSince(String pool, long from) {
        return software.heardSince(pool, from);
    }

    /**
     * Returns when this node learned that a software version serves in a pool.
     *
     * @param pool    name of the pool
     * @param version the version
     * @return monotonic time in nanoseconds; empty if it has not heard of the version for long
     */
    public OptionalLong softwareLearnedAt(String pool, SoftwareVersion version) {
        return software.learnedAt(pool, version);
    }

    /**
     * Returns the time since an upstream was last heard.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return nanoseconds; {@link Long#MAX_VALUE} if the upstream is unknown
     */
    public long silenceNanos(String id, long now) {
        Entry known = byId.get(id);
        return known == null ? Long.MAX_VALUE : now - known.receivedAt();
    }

    /**
     * Returns the time since an upstream was last heard in milliseconds, the unit used in records.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return milliseconds
     */
    long silenceMillis(String id, long now) {
        return Duration.ofNanos(silenceNanos(id, now)).toMillis();
    }

    /**
     * Returns all records, for a node that has just connected.
     *
     * @param now monotonic time in nanoseconds
     * @return records of all upstreams, including those that left recently
     */
    public List<UpstreamRecord> all(long now) {
        removeSilent(now);
        return byId.values().stream()
                .map(known -> known.state().withAge(silenceMillis(known.state().id(), now)))
                .toList();
    }

    private List<UpstreamRecord> findReady(String pool) {
        return byId.values().stream()
                .map(Entry::state)
                .filter(state ->
                        state.phase() == UpstreamPhase.READY && state.pool().equals(pool))
                .filter(state -> !isEvacuated(state.failureDomain()) && ownsAddress(state.id(), state.address()))
                .toList();
    }

    /**
     * Returns an announcement with the phase {@code LEAVING} if this incarnation is known to be leaving. The upstream
     * may keep announcing its previous phase for a while, and nodes forward older announcements.
     */
    private UpstreamRecord keepLeavingPhase(UpstreamRecord announced) {
        Entry known = byId.get(announced.id());
        boolean leaves = known != null
                && known.state().phase() == UpstreamPhase.LEAVING
                && known.state().incarnation() == announced.incarnation();
        return leaves && announced.phase() != UpstreamPhase.GONE ? announced.leaving() : announced;
    }

    private void recordSoftware(UpstreamRecord state, long receivedAt, long now) {
        if (software.record(state, receivedAt, now)) {
            LOGGER.info(
                    "event=software-seen pool={} software={} upstream={}",
                    state.pool(),
                    state.software().text(),
                    state.id());
        }
    }

    private DirectoryChange markGone(Entry previous, UpstreamRecord state, long now) {
        readyByPool.clear();
        if (previous == null) {
            // A node that has just joined learns from the records of former upstreams what they ran.
            if (!state.pool().isEmpty()) {
                recordSoftware(state, now - Duration.ofMillis(state.ageMillis()).toNanos(), now);
            }
            byId.put(state.id(), new Entry(state, now, now, now));
            return DirectoryChange.NONE;
        }
        ownerIdByAddress.remove(previous.state().address(), state.id());
        UpstreamRecord gone = isOtherIncarnation(state.incarnation(), previous.state())
                ? state
                : previous.state().gone();
        byId.put(state.id(), new Entry(gone, now, now, previous.knownSince()));
        notifyListeners(previous.state().gone());
        return DirectoryChange.CHANGED;
    }

    private boolean claimAddress(UpstreamRecord state, long receivedAt) {
        String ownerId = ownerIdByAddress.get(state.address());
        Entry owner = ownerId == null ? null : byId.get(ownerId);
        if (owner != null && owner.receivedAt() > receivedAt) {
            return false;
        }
        ownerIdByAddress.put(state.address(), state.id());
        readyByPool.clear();
        if (owner != null) {
            LOGGER.info("event=address-taken address={} upstream={} before={}", state.address(), state.id(), ownerId);
            notifyListeners(owner.state());
        }
        return true;
    }

    private boolean ownsAddress(String id, String address) {
        return id.equals(ownerIdByAddress.get(address));
    }

    private void notifyListeners(UpstreamRecord state) {
        changes++;
        listeners.forEach(listener -> listener.onChange(state));
    }

    /**
     * Returns whether a record is stale compared to the known state. Within one incarnation the sequence number
     * decides; between incarnations of one id the incarnation does, since a restart resets the sequence. Comparing
     * the sequence alone would keep a restarted upstream unused until it had sent as many announcements as before,
     * and a delayed announcement of the former incarnation would undo a drain.
     */
    private static boolean isStale(UpstreamRecord known, UpstreamRecord state) {
        boolean wasGone = known.phase() == UpstreamPhase.GONE;
        boolean isGone = state.phase() == UpstreamPhase.GONE;
        boolean incarnationUnknown = wasGone && known.incarnation() == UpstreamRecord.UNKNOWN_INCARNATION;
        if (!incarnationUnknown && isOtherIncarnation(state.incarnation(), known)) {
            return state.incarnation() < known.incarnation();
        }
        if (state.incarnation() < known.incarnation() && !isGone) {
            return true;
        }
        // A record derived from a response has no sequence number of its own.
        boolean isNumbered = !isGone && state.phase() != UpstreamPhase.LEAVING;
        return wasGone || isNumbered && state.sequence() < known.sequence();
    }

    /** Returns whether a reported incarnation differs from the known one. */
    private static boolean isOtherIncarnation(long incarnation, UpstreamRecord known) {
        return incarnation != UpstreamRecord.UNKNOWN_INCARNATION && incarnation != known.incarnation();
    }

    /**
     * Returns a record with the age and sequence number of an older one, so that the other fields can be compared.
     * The remaining cold time differs in each announcement; only a change between cold and warm counts as a change.
     */
    private static UpstreamRecord withSequence(UpstreamRecord state, UpstreamRecord older) {
        return new UpstreamRecord(
                state.id(),
                state.incarnation(),
                state.pool(),
                state.address(),
                state.failureDomain(),
                state.phase(),
                state.slots(),
                older.sequence(),
                0,
                state.isCold() == older.isCold() ? older.coldMillis() : state.coldMillis(),
                state.software());
    }

    /** State of an upstream, when it was last heard, when the state was announced, and its incarnation first heard. */
    private record Entry(UpstreamRecord state, long receivedAt, long announcedAt, long knownSince) {}
}
