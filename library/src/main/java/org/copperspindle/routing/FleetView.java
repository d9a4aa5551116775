package org.copperspindle.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.MalformedFrameException;

/**
 * The upstreams known to one entry, by pool, as updated by the control plane and by the entry's own attempts.
 */
public final class FleetView {

    private static final Logger LOGGER = LogManager.getLogger(FleetView.class);

    private final Map<String, UpstreamView> byId = new HashMap<>();
    private final Map<String, List<UpstreamView>> byPool = new HashMap<>();
    private long revision;

    /**
     * Applies an update. A full update replaces the membership but keeps the counters of remaining upstreams.
     *
     * @param update the update
     */
    public void update(ControlUpdateMessage update) {
        if (update.membershipRevision() <= revision) {
            return;
        }
        revision = update.membershipRevision();
        Set<String> named = new HashSet<>();
        for (byte[] encoded : update.upstreams()) {
            try {
                UpstreamAnnouncement announcement = UpstreamAnnouncement.CODEC.decode(encoded);
                named.add(announcement.upstreamId());
                put(announcement);
            } catch (MalformedFrameException e) {
                LOGGER.warn("event=announcement-malformed revision={}", revision);
            }
        }
        if (update.full()) {
            Set.copyOf(byId.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::remove);
        }
        update.removed().forEach(id -> remove(new String(id, StandardCharsets.UTF_8)));
    }

    /**
     * Returns the membership revision.
     *
     * @return the revision of the last update, 0 before the first one
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the upstreams of a pool.
     *
     * @param pool its name
     * @return the upstreams, including draining ones
     */
    public List<UpstreamView> pool(String pool) {
        return byPool.getOrDefault(pool, List.of());
    }

    /**
     * Finds an upstream.
     *
     * @param upstreamId id of the upstream
     * @return the upstream, if it is known
     */
    public Optional<UpstreamView> upstream(String upstreamId) {
        return Optional.ofNullable(byId.get(upstreamId));
    }

    private void put(UpstreamAnnouncement announcement) {
        UpstreamView view = byId.get(announcement.upstreamId());
        if (view != null && view.announcement().pool().equals(announcement.pool())) {
            view.update(announcement);
            return;
        }
        remove(announcement.upstreamId());
        view = new UpstreamView(announcement);
        byId.put(announcement.upstreamId(), view);
        byPool.computeIfAbsent(announcement.pool(), pool -> new ArrayList<>()).add(view);
    }

    private void remove(String upstreamId) {
        UpstreamView view = byId.remove(upstreamId);
        if (view != null) {
            byPool.get(view.announcement().pool()).remove(view);
        }
    }
}
