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
 * The upstreams of the deployment, with a bounded history of changes so that members are sent only what they don't have
 * yet.
 */
public final class UpstreamTable implements StatePart {

    /** Changes kept for deltas; a member that is further behind gets the full membership. */
    public static final int MAX_CHANGES = 8192;

    /** Tombstones kept; at 560 restarts and failures a day they cover the last 29 days. */
    public static final int MAX_TOMBSTONES = 16_384;

    private final Map<String, UpstreamAnnouncement> upstreams = new LinkedHashMap<>();
    private final Map<String, UpstreamTombstone> tombstones = new LinkedHashMap<>();
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
     * Returns whether an announcement would change anything; a late or duplicate one doesn't.
     *
     * @param announcement the announcement
     * @return true if it is newer than what is known
     */
    public boolean isNewer(UpstreamAnnouncement announcement) {
        UpstreamAnnouncement known = upstreams.get(announcement.upstreamId());
        if (known != null) {
            return announcement.supersedes(known);
        }
        UpstreamTombstone tombstone = tombstones.get(announcement.upstreamId());
        return tombstone == null || !tombstone.rejects(announcement);
    }

    /**
     * Returns the largest incarnation seen of an upstream.
     *
     * @param upstreamId identity of the upstream
     * @return the incarnation, 0 if it was never seen, or so long ago that its tombstone was dropped
     */
    public long newestIncarnation(String upstreamId) {
        UpstreamAnnouncement known = upstreams.get(upstreamId);
        UpstreamTombstone tombstone = tombstones.get(upstreamId);
        long current = known == null ? 0 : known.incarnation();
        return tombstone == null ? current : Math.max(current, tombstone.incarnation());
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
     * Returns the known upstreams.
     *
     * @return announcements by identity, a read-only view
     */
    public Map<String, UpstreamAnnouncement> all() {
        return Collections.unmodifiableMap(upstreams);
    }

    /**
     * Returns the difference to a member's revision. It is computed once for each revision that members have.
     *
     * @param memberRevision revision that the member has seen, 0 for none
     * @return the difference; a full one if the member is too far behind
     */
    public MembershipDelta deltaSince(long memberRevision) {
        boolean full = memberRevision <= 0 || memberRevision > revision || revision - memberRevision > changes.size();
        return deltas.computeIfAbsent(full ? 0 : memberRevision, r -> full ? fullDelta() : delta(r));
    }

    @Override
    public byte[] snapshot() {
        List<byte[]> encodedTombstones = new ArrayList<>();
        tombstones.values().forEach(t -> encodedTombstones.add(UpstreamTombstone.CODEC.encode(t)));
        return UpstreamSnapshot.CODEC.encode(
                new UpstreamSnapshot(revision, fullDelta().upstreams(), encodedTombstones));
    }

    @Override
    public void clear() {
        upstreams.clear();
        tombstones.clear();
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
        for (byte[] encoded : decoded.tombstones()) {
            UpstreamTombstone tombstone = UpstreamTombstone.CODEC.decode(encoded);
            tombstones.put(tombstone.upstreamId(), tombstone);
        }
    }

    private void announce(UpstreamAnnouncement announcement) {
        if (!isNewer(announcement)) {
            return;
        }
        upstreams.put(announcement.upstreamId(), announcement);
        tombstones.remove(announcement.upstreamId());
        recordChange(announcement.upstreamId());
    }

    private void remove(RemoveUpstreamCommand remove) {
        UpstreamAnnouncement known = upstreams.get(remove.upstreamId());
        if (known == null || known.incarnation() > remove.incarnation()) {
            return;
        }
        upstreams.remove(remove.upstreamId());
        tombstones.put(
                remove.upstreamId(),
                new UpstreamTombstone(remove.upstreamId(), known.incarnation(), known.sequence(), remove.left()));
        if (tombstones.size() > MAX_TOMBSTONES) {
            Iterator<String> oldest = tombstones.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        recordChange(remove.upstreamId());
    }

    private void recordChange(String upstreamId) {
        revision++;
        deltas.clear();
        changes.add(upstreamId);
        if (changes.size() > MAX_CHANGES) {
            changes.poll();
        }
    }

    private MembershipDelta fullDelta() {
        List<byte[]> encoded = new ArrayList<>(upstreams.size());
        upstreams.values().forEach(u -> encoded.add(UpstreamAnnouncement.CODEC.encode(u)));
        return new MembershipDelta(true, revision, encoded, List.of());
    }

    private MembershipDelta delta(long memberRevision) {
        Set<String> changedIds = new LinkedHashSet<>();
        Iterator<String> newest = changes.descendingIterator();
        for (long remaining = revision - memberRevision; remaining > 0; remaining--) {
            changedIds.add(newest.next());
        }
        List<byte[]> encoded = new ArrayList<>();
        List<byte[]> removed = new ArrayList<>();
        for (String id : changedIds) {
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
