package org.copperspindle.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The upstreams that this node knows. An address belongs to the upstream that was heard from it last: a late announcement
 * of a former holder may take it for a moment, and the next one of the holder takes it back. Meanwhile no request goes
 * astray, since each names the id that it is meant for. An id that has left never comes back. Single-threaded.
 */
public final class UpstreamDirectory {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamDirectory.class);

    /** Longer than any late announcement or passed-on record may take. */
    private static final long FORGET_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<String, Known> byId = new LinkedHashMap<>();
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
     * Takes an announcement, heard here or passed on by another node.
     *
     * @param news the announcement
     * @param now  monotonic time in nanoseconds
     * @return what it changed
     */
    public DirectoryChange accept(UpstreamNews news, long now) {
        long heardAt = now - Duration.ofMillis(Math.max(0, news.ageMillis())).toNanos();
        Known before = byId.get(news.id());
        if (before != null && isLate(before.news(), news)) {
            return DirectoryChange.NONE;
        }
        if (news.phase() == UpstreamPhase.GONE) {
            return leave(before, news, now);
        }
        boolean same = before != null && before.news().withAge(0).equals(withSequence(news, before.news()));
        boolean held = holds(news.id(), news.address());
        byId.put(news.id(), new Known(news, before == null ? heardAt : Math.max(heardAt, before.heardAt())));
        boolean taken = held || takeAddress(news, heardAt);
        if (same && held) {
            return DirectoryChange.REFRESHED;
        }
        if (!taken && same) {
            return DirectoryChange.NONE;
        }
        LOGGER.info(
                "event=upstream-{} upstream={} pool={} address={} domain={} sequence={} age_ms={}",
                news.phase() == UpstreamPhase.READY ? "seen" : "draining",
                news.id(),
                news.pool(),
                news.address(),
                news.failureDomain(),
                news.sequence(),
                news.ageMillis());
        tell(news);
        return DirectoryChange.CHANGED;
    }

    /**
     * Notes that an upstream has left.
     *
     * @param id     its id
     * @param reason how this is known
     * @param now    monotonic time in nanoseconds
     * @return what is passed on to other nodes, empty if it was known to have left
     */
    public Optional<UpstreamNews> leave(String id, String reason, long now) {
        Known known = byId.get(id);
        if (known != null && known.news().phase() == UpstreamPhase.GONE) {
            return Optional.empty();
        }
        // Other nodes may know an upstream that this one has not heard of yet.
        UpstreamNews gone = known == null
                ? new UpstreamNews(id, "", "", "", UpstreamPhase.GONE, 0, 0, 0)
                : known.news().gone().withAge(0);
        LOGGER.info("event=upstream-leaves upstream={} pool={} reason={}", id, gone.pool(), reason);
        accept(gone, now);
        return Optional.of(gone);
    }

    /**
     * Finds an upstream that has not left.
     *
     * @param id its id
     * @return what it said last
     */
    public Optional<UpstreamNews> find(String id) {
        return Optional.ofNullable(byId.get(id)).map(Known::news).filter(news -> news.phase() != UpstreamPhase.GONE);
    }

    /**
     * Finds the upstream at an address.
     *
     * @param address IP:PORT
     * @return the upstream that holds it now
     */
    public Optional<UpstreamNews> findByAddress(String address) {
        return Optional.ofNullable(holders.get(address)).flatMap(this::find);
    }

    /**
     * Lists the upstreams of a pool that take requests.
     *
     * @param pool name of the pool
     * @return in no order
     */
    public List<UpstreamNews> ready(String pool) {
        List<UpstreamNews> found = new ArrayList<>();
        for (Known known : byId.values()) {
            UpstreamNews news = known.news();
            if (news.phase() == UpstreamPhase.READY && news.pool().equals(pool) && holds(news.id(), news.address())) {
                found.add(news);
            }
        }
        return found;
    }

    /**
     * Says how long ago an upstream was heard.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return nanoseconds
     */
    public long silence(String id, long now) {
        Known known = byId.get(id);
        return known == null ? Long.MAX_VALUE : now - known.heardAt();
    }

    /**
     * Lists all that is known, for a node that has just come.
     *
     * @param now monotonic time in nanoseconds
     * @return with the upstreams that left a short while ago
     */
    public List<UpstreamNews> all(long now) {
        byId.values().removeIf(known -> now - known.heardAt() > FORGET_NANOS);
        holders.values().removeIf(id -> !byId.containsKey(id));
        return byId.values().stream()
                .map(known -> known.news()
                        .withAge(Duration.ofNanos(now - known.heardAt()).toMillis()))
                .toList();
    }

    private DirectoryChange leave(Known before, UpstreamNews news, long now) {
        if (before == null) {
            byId.put(news.id(), new Known(news, now));
            return DirectoryChange.NONE;
        }
        UpstreamNews gone = before.news().gone();
        byId.put(news.id(), new Known(gone, now));
        holders.remove(gone.address(), gone.id());
        tell(gone);
        return DirectoryChange.CHANGED;
    }

    private boolean takeAddress(UpstreamNews news, long heardAt) {
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

    private void tell(UpstreamNews news) {
        listeners.forEach(listener -> listener.onChange(news));
    }

    private static boolean isLate(UpstreamNews known, UpstreamNews news) {
        if (known.phase() == UpstreamPhase.GONE) {
            return true;
        }
        return news.phase() != UpstreamPhase.GONE && news.sequence() < known.sequence();
    }

    /** Returns the news as if they carried the age and number of the older ones, to compare the rest. */
    private static UpstreamNews withSequence(UpstreamNews news, UpstreamNews older) {
        return new UpstreamNews(
                news.id(),
                news.pool(),
                news.address(),
                news.failureDomain(),
                news.phase(),
                news.slots(),
                older.sequence(),
                0);
    }

    private record Known(UpstreamNews news, long heardAt) {}
}
