package org.copperspindle.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.copperspindle.control.AnnounceCommand;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.RemoveUpstreamCommand;
import org.copperspindle.control.StatePart;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The upstreams of the deployment with a bounded history of changes, from which members get only what they lack.
 */
public final class UpstreamTable implements StatePart {

    /** Changes kept for deltas; a member further behind gets the whole membership. */
    public static final int MAX_CHANGES = 8192;

    /** Departures kept; at 560 restarts and failures a day the last 29 days. */
    public static final int MAX_DEPARTURES = 16_384;

    private final Map<String, UpstreamAnnouncement> upstreams = new LinkedHashMap<>();
    private final Map<String, UpstreamDeparture> departures = new LinkedHashMap<>();
    private final Deque<String> changes = new ArrayDeque<>();
    private final Map<Long, MembershipDelta> deltas = new LinkedHashMap<>();
    private long revision;

    @Override
    public String name() {
        return "upstreams";
    }

    @Override
    public List<MessageCodec<?>> commands() {
        return List.of(AnnounceCommand.CODEC, RemoveUpstreamCommand.CODEC);
    }

    @Override
    public ControlResult apply(long index, WireMessage command) throws MalformedFrameException {
        if (command instanceof AnnounceCommand announce) {
            announce(UpstreamAnnouncement.CODEC.decode(announce.announcement()));
        } else if (command instanceof RemoveUpstreamCommand remove) {
            remove(remove);
        }
        return new ControlResult.Done();
    }

    /**
     * Says whether an announcement would change anything; a late or doubled one does not.
     *
     * @param announcement the announcement
     * @return true if it is news
     */
    public boolean isNews(UpstreamAnnouncement announcement) {
        UpstreamAnnouncement known = upstreams.get(announcement.upstreamId());
        if (known != null) {
            return announcement.supersedes(known);
        }
        UpstreamDeparture departure = departures.get(announcement.upstreamId());
        return departure == null || !departure.bars(announcement);
    }

    /**
     * Returns the largest incarnation seen of an upstream.
     *
     * @param upstreamId identity of the upstream
     * @return the incarnation, 0 if it was never seen or long ago
     */
    public long newestIncarnation(String upstreamId) {
        UpstreamAnnouncement known = upstreams.get(upstreamId);
        UpstreamDeparture departure = departures.get(upstreamId);
        long alive = known == null ? 0 : known.incarnation();
        return departure == null ? alive : Math.max(alive, departure.incarnation());
    }

    /**
     * Returns the number of membership changes so far.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the upstreams known.
     *
     * @return announcements by identity, a read-only view
     */
    public Map<String, UpstreamAnnouncement> all() {
        return Collections.unmodifiableMap(upstreams);
    }

    /**
     * Makes what a member lacks. Made once for each revision that members have.
     *
     * @param memberRevision revision that the member has seen, 0 for none
     * @return the difference; a full one if the member is too far behind
     */
    public MembershipDelta since(long memberRevision) {
        boolean full = memberRevision <= 0 || memberRevision > revision || revision - memberRevision > changes.size();
        return deltas.computeIfAbsent(full ? 0 : memberRevision, r -> full ? whole() : delta(r));
    }

    @Override
    public byte[] snapshot() {
        List<byte[]> ended = new ArrayList<>();
        departures.values().forEach(d -> ended.add(UpstreamDeparture.CODEC.encode(d)));
        return UpstreamSnapshot.CODEC.encode(new UpstreamSnapshot(revision, whole().upstreams(), ended));
    }

    @Override
    public void clear() {
        upstreams.clear();
        departures.clear();
        changes.clear();
        deltas.clear();
        revision = 0;
    }

    @Override
    public void restore(byte[] snapshot) throws MalformedFrameException {
        UpstreamSnapshot decoded = UpstreamSnapshot.CODEC.decode(snapshot);
        revision = decoded.revision();
        for (byte[] encoded : decoded.upstreams()) {
            UpstreamAnnouncement announcement = UpstreamAnnouncement.CODEC.decode(encoded);
            upstreams.put(announcement.upstreamId(), announcement);
        }
        for (byte[] encoded : decoded.departures()) {
            UpstreamDeparture departure = UpstreamDeparture.CODEC.decode(encoded);
            departures.put(departure.upstreamId(), departure);
        }
    }

    private void announce(UpstreamAnnouncement announcement) {
        if (!isNews(announcement)) {
            return;
        }
        upstreams.put(announcement.upstreamId(), announcement);
        departures.remove(announcement.upstreamId());
        changed(announcement.upstreamId());
    }

    private void remove(RemoveUpstreamCommand remove) {
        UpstreamAnnouncement known = upstreams.get(remove.upstreamId());
        if (known == null || known.incarnation() > remove.incarnation()) {
            return;
        }
        upstreams.remove(remove.upstreamId());
        departures.put(
                remove.upstreamId(),
                new UpstreamDeparture(remove.upstreamId(), known.incarnation(), known.sequence(), remove.left()));
        if (departures.size() > MAX_DEPARTURES) {
            Iterator<String> oldest = departures.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        changed(remove.upstreamId());
    }

    private void changed(String upstreamId) {
        revision++;
        deltas.clear();
        changes.add(upstreamId);
        if (changes.size() > MAX_CHANGES) {
            changes.poll();
        }
    }

    private MembershipDelta whole() {
        List<byte[]> encoded = new ArrayList<>(upstreams.size());
        upstreams.values().forEach(u -> encoded.add(UpstreamAnnouncement.CODEC.encode(u)));
        return new MembershipDelta(true, revision, encoded, List.of());
    }

    private MembershipDelta delta(long memberRevision) {
        Set<String> touched = new LinkedHashSet<>();
        Iterator<String> newest = changes.descendingIterator();
        for (long left = revision - memberRevision; left > 0; left--) {
            touched.add(newest.next());
        }
        List<byte[]> encoded = new ArrayList<>();
        List<byte[]> removed = new ArrayList<>();
        for (String id : touched) {
            UpstreamAnnouncement known = upstreams.get(id);
            if (known == null) {
                removed.add(id.getBytes(StandardCharsets.UTF_8));
            } else {
                encoded.add(UpstreamAnnouncement.CODEC.encode(known));
            }
        }
        return new MembershipDelta(false, revision, encoded, removed);
    }
}
