package org.copperspindle.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The upstreams that this node knows. An address belongs to the upstream that was heard from it last: a late announcement
 * of a former holder may take it for a moment, and the next one of the holder takes it back. Meanwhile no request goes
 * astray, since each names the id that it is meant for. An id that has left comes back only with a later incarnation: then
 * it is an upstream that has forgotten all that the former one held. Single-threaded.
 */
public final class UpstreamDirectory {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamDirectory.class);

    /** Longer than any late announcement or passed-on record may take. */
    private static final long FORGET_NANOS = Duration.ofSeconds(60).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Known> byId = new LinkedHashMap<>();
    private final EvacuatedDomains evacuated = new EvacuatedDomains();
    private Map<String, Long> coldNanosByPool = Map.of();
    private final Map<String, String> holders = new HashMap<>();
    private final List<DirectoryListener> listeners = new ArrayList<>();

    /**
     * Adds a listener.
     *
     * @param listener hears of each change
     */
    public void subscribe(DirectoryListener listener) {
        listeners.add(listener);
    }

    /**
     * Sets which failure domains are evacuated. Their upstreams are not {@link #ready} from now on. Those of a failure domain that is
     * used again count as cold for as long as those of their pool stay cold after a start: they may have become so in the
     * same moment, and all nodes see them without any load.
     *
     * @param failureDomains all that are evacuated
     * @param now            monotonic time in nanoseconds
     */
    public void evacuate(Set<String> failureDomains, long now) {
        Set<String> changed = evacuated.replace(failureDomains, now);
        List<UpstreamRecord> concerned = byId.values().stream()
                .map(Known::news)
                .filter(news -> news.phase() != UpstreamPhase.GONE && changed.contains(news.failureDomain()))
                .toList();
        concerned.forEach(this::tell);
    }

    /**
     * Says whether a failure domain is evacuated.
     *
     * @param failureDomain its name
     * @return true if its upstreams get nothing
     */
    public boolean isEvacuated(String failureDomain) {
        return evacuated.contains(failureDomain);
    }

    /**
     * Says whether any upstream has announced itself in a failure domain.
     *
     * @param failureDomain its name
     * @return false if none is known there
     */
    public boolean hasFailureDomain(String failureDomain) {
        return byId.values().stream()
                .anyMatch(known -> known.news().failureDomain().equals(failureDomain));
    }

    /**
     * Sets how long upstreams stay cold.
     *
     * @param nanosByPool nanoseconds by name of the pool; upstreams of other pools are never presumed to be cold
     */
    public void setColdTimes(Map<String, Long> nanosByPool) {
        coldNanosByPool = Map.copyOf(nanosByPool);
    }

    /**
     * Says whether an upstream is cold: by what it said, counted from when it was heard, or because its failure domain was
     * evacuated until a short while ago.
     *
     * @param news the upstream
     * @param now  monotonic time in nanoseconds
     * @return true if it bears little
     */
    public boolean isCold(UpstreamRecord news, long now) {
        Known known = byId.get(news.id());
        boolean stated = known != null
                && known.news().isCold()
                && now - known.statedAt() < known.news().coldMillis() * NANOS_PER_MILLI;
        return stated || evacuated.isReopened(news.failureDomain(), coldNanosByPool.getOrDefault(news.pool(), 0L), now);
    }

    /**
     * Takes an announcement, heard here or passed on by another node.
     *
     * @param announced the announcement
     * @param now       monotonic time in nanoseconds
     * @return what it changed
     */
    public DirectoryChange accept(UpstreamRecord announced, long now) {
        UpstreamRecord news = sinceItLeaves(announced);
        long heardAt = now - Duration.ofMillis(Math.max(0, news.ageMillis())).toNanos();
        Known before = byId.get(news.id());
        if (before != null && isLate(before.news(), news)) {
            return DirectoryChange.NONE;
        }
        if (news.phase() == UpstreamPhase.GONE) {
            return leave(before, news, now);
        }
        boolean same = before != null && before.news().withAge(0).equals(withSequence(news, before.news()));
        if (before != null && !before.news().address().equals(news.address())) {
            holders.remove(before.news().address(), news.id());
        }
        boolean held = holds(news.id(), news.address());
        byId.put(news.id(), new Known(news, before == null ? heardAt : Math.max(heardAt, before.heardAt()), heardAt));
        boolean taken = held || takeAddress(news, heardAt);
        if (same && held) {
            return DirectoryChange.REFRESHED;
        }
        if (!taken && same) {
            return DirectoryChange.NONE;
        }
        LOGGER.info(
                "event=upstream-{} upstream={} incarnation={} before={} pool={} address={} domain={} sequence={} age_ms={} cold_ms={}",
                news.phase() == UpstreamPhase.READY ? "seen" : "draining",
                news.id(),
                news.incarnation(),
                before == null ? "none" : before.news().incarnation(),
                news.pool(),
                news.address(),
                news.failureDomain(),
                news.sequence(),
                news.ageMillis(),
                news.coldMillis());
        tell(news);
        return DirectoryChange.CHANGED;
    }

    /**
     * Notes that an upstream has left.
     *
     * @param id          its id
     * @param incarnation the life that has ended; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known here
     * @param reason      how this is known
     * @param now         monotonic time in nanoseconds
     * @return what is passed on to other nodes, empty if it was known to have left
     */
    public Optional<UpstreamRecord> leave(String id, long incarnation, String reason, long now) {
        Known known = byId.get(id);
        // Other nodes may know an upstream that this one has not heard of yet.
        UpstreamRecord gone = known == null || isOther(incarnation, known.news())
                ? UpstreamRecord.goneUnheard(id, incarnation)
                : known.news().gone().withAge(0);
        if (known != null && isLate(known.news(), gone)) {
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
     * Notes that an upstream has said in an answer that it leaves.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return what is passed on to other nodes, empty if it was known to leave
     */
    public Optional<UpstreamRecord> leaving(String id, long now) {
        Optional<UpstreamRecord> leaving = find(id).filter(news -> news.phase() != UpstreamPhase.LEAVING)
                .map(news -> news.leaving().withAge(0));
        leaving.ifPresent(news -> accept(news, now));
        return leaving;
    }

    /**
     * Forgets upstreams that were silent for longer than any announcement or passed-on record takes.
     *
     * @param now monotonic time in nanoseconds
     */
    public void forgetSilent(long now) {
        byId.values().removeIf(known -> now - known.heardAt() > FORGET_NANOS);
        holders.values().removeIf(id -> !byId.containsKey(id));
    }

    /**
     * Finds an upstream that has not left.
     *
     * @param id its id
     * @return what it said last
     */
    public Optional<UpstreamRecord> find(String id) {
        return Optional.ofNullable(byId.get(id)).map(Known::news).filter(news -> news.phase() != UpstreamPhase.GONE);
    }

    /**
     * Finds the upstream at an address.
     *
     * @param address IP:PORT
     * @return the upstream that holds it now
     */
    public Optional<UpstreamRecord> findByAddress(String address) {
        return Optional.ofNullable(holders.get(address)).flatMap(this::find);
    }

    /**
     * Lists the upstreams of a pool that take requests.
     *
     * @param pool name of the pool
     * @return in no order
     */
    public List<UpstreamRecord> ready(String pool) {
        List<UpstreamRecord> found = new ArrayList<>();
        for (Known known : byId.values()) {
            UpstreamRecord news = known.news();
            boolean ready = news.phase() == UpstreamPhase.READY && news.pool().equals(pool);
            if (ready && !isEvacuated(news.failureDomain()) && holds(news.id(), news.address())) {
                found.add(news);
            }
        }
        return found;
    }

    /**
     * Counts the upstreams of a pool that take requests and are cold.
     *
     * @param pool name of the pool
     * @param now  monotonic time in nanoseconds
     * @return a count
     */
    public long countCold(String pool, long now) {
        return ready(pool).stream().filter(news -> isCold(news, now)).count();
    }

    /**
     * Says how long ago an upstream was heard.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return nanoseconds
     */
    public long silenceNanos(String id, long now) {
        Known known = byId.get(id);
        return known == null ? Long.MAX_VALUE : now - known.heardAt();
    }

    /**
     * Says the same in milliseconds, as records of upstreams carry it.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return milliseconds
     */
    long silenceMillis(String id, long now) {
        return Duration.ofNanos(silenceNanos(id, now)).toMillis();
    }

    /**
     * Lists all that is known, for a node that has just come.
     *
     * @param now monotonic time in nanoseconds
     * @return with the upstreams that left a short while ago
     */
    public List<UpstreamRecord> all(long now) {
        forgetSilent(now);
        return byId.values().stream()
                .map(known -> known.news().withAge(silenceMillis(known.news().id(), now)))
                .toList();
    }

    /**
     * Returns an announcement as it counts for an upstream that leaves. It may go on to announce itself as before for a while, and nodes
     * pass on what they heard earlier.
     */
    private UpstreamRecord sinceItLeaves(UpstreamRecord announced) {
        Known known = byId.get(announced.id());
        boolean leaves = known != null
                && known.news().phase() == UpstreamPhase.LEAVING
                && known.news().incarnation() == announced.incarnation();
        return leaves && announced.phase() != UpstreamPhase.GONE ? announced.leaving() : announced;
    }

    private DirectoryChange leave(Known before, UpstreamRecord news, long now) {
        if (before == null) {
            byId.put(news.id(), new Known(news, now, now));
            return DirectoryChange.NONE;
        }
        holders.remove(before.news().address(), news.id());
        UpstreamRecord gone = isOther(news.incarnation(), before.news())
                ? news
                : before.news().gone();
        byId.put(news.id(), new Known(gone, now, now));
        tell(before.news().gone());
        return DirectoryChange.CHANGED;
    }

    private boolean takeAddress(UpstreamRecord news, long heardAt) {
        String holder = holders.get(news.address());
        Known held = holder == null ? null : byId.get(holder);
        if (held != null && held.heardAt() > heardAt) {
            return false;
        }
        holders.put(news.address(), news.id());
        if (held != null) {
            LOGGER.info("event=address-taken address={} upstream={} before={}", news.address(), news.id(), holder);
            tell(held.news());
        }
        return true;
    }

    private boolean holds(String id, String address) {
        return id.equals(holders.get(address));
    }

    private void tell(UpstreamRecord news) {
        listeners.forEach(listener -> listener.onChange(news));
    }

    /**
     * Says whether news is overtaken by what is known. Within one life the sequence tells; between lives under one id the
     * incarnation does, since a restart counts its announcements anew. By the sequence alone, an upstream that is back
     * would stay unused until it had announced itself as often as before, and one held up on its way from the former life
     * would undo a drain.
     */
    private static boolean isLate(UpstreamRecord known, UpstreamRecord news) {
        boolean wasGone = known.phase() == UpstreamPhase.GONE;
        boolean isGone = news.phase() == UpstreamPhase.GONE;
        boolean lifeUnknown = wasGone && known.incarnation() == UpstreamRecord.UNKNOWN_INCARNATION;
        if (!lifeUnknown && isOther(news.incarnation(), known)) {
            return news.incarnation() < known.incarnation();
        }
        if (news.incarnation() < known.incarnation() && !isGone) {
            return true;
        }
        // What was read in an answer has no number of its own.
        boolean isNumbered = !isGone && news.phase() != UpstreamPhase.LEAVING;
        return wasGone || isNumbered && news.sequence() < known.sequence();
    }

    /** Says whether an incarnation that was told is another one than that of what is known. */
    private static boolean isOther(long incarnation, UpstreamRecord known) {
        return incarnation != UpstreamRecord.UNKNOWN_INCARNATION && incarnation != known.incarnation();
    }

    /**
     * Returns the news as if they carried the age and number of the older ones, to compare the rest. For how long an upstream
     * stays cold changes with each announcement; only whether it does is a change.
     */
    private static UpstreamRecord withSequence(UpstreamRecord news, UpstreamRecord older) {
        return new UpstreamRecord(
                news.id(),
                news.incarnation(),
                news.pool(),
                news.address(),
                news.failureDomain(),
                news.phase(),
                news.slots(),
                older.sequence(),
                0,
                news.isCold() == older.isCold() ? older.coldMillis() : news.coldMillis());
    }

    /** An upstream, when it was heard last, and when it said what is known of it. */
    private record Known(UpstreamRecord news, long heardAt, long statedAt) {}
}
