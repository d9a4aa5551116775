package org.copperspindle.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.copperspindle.control.ApplyConfigCommand;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.StatePart;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The part of the replicated state that holds the newest configuration and the decisions on recent changes, by change
 * id. Exactly one change is accepted for each base version, and a retried change gets the result of its first decision.
 * Bounded: the last {@link #MAX_ACCEPTED} accepted and {@link #MAX_REFUSED} refused changes are retained.
 */
public final class ConfigHistory implements StatePart {

    /** Accepted changes retained: those of the last 44 hours at 4,400 a day. */
    public static final int MAX_ACCEPTED = 8192;

    /**
     * Refused changes retained. They are bounded separately, so that a flood of refused changes can't evict accepted
     * ones.
     */
    public static final int MAX_REFUSED = 1024;

    /** Texts retained as bases of patches; members that are further behind get the whole text. */
    private static final int MAX_TEXTS = 16;

    private static final int MAX_TEXT_BYTES = 16 << 20;

    private final Map<String, ConfigChange> byId = new LinkedHashMap<>();
    private final TreeMap<Long, ConfigChange> accepted = new TreeMap<>();
    private final Deque<String> refused = new ArrayDeque<>();
    private final TreeMap<Long, byte[]> texts = new TreeMap<>();
    private final Map<Long, byte[]> patches = new LinkedHashMap<>();
    private long version;
    private byte[] text = new byte[0];

    @Override
    public String name() {
        return "config";
    }

    @Override
    public List<MessageCodec<?>> commands() {
        return List.of(ApplyConfigCommand.CODEC);
    }

    @Override
    public ControlResult apply(long index, WireMessage command) {
        ApplyConfigCommand apply = (ApplyConfigCommand) command;
        byte[] proposed = ConfigText.encodeUtf8(apply.text());
        byte[] digest = ConfigText.digest(proposed);
        Optional<ControlResult> earlier = findDecision(apply, digest);
        if (earlier.isPresent()) {
            return earlier.get();
        }
        if (expired(apply.baseVersion())) {
            return new ControlResult.ConfigExpired(accepted.firstKey());
        }
        if (apply.baseVersion() != version) {
            return refuse(apply, digest);
        }
        version++;
        text = proposed;
        retainText();
        retain(new ConfigChange(
                apply.changeId(), apply.baseVersion(), apply.operator(), digest, true, version, "", ""));
        return new ControlResult.ConfigAccepted(version);
    }

    /**
     * Finds the first decision on a change that is retried. Decisions are final, so any member that has applied one may
     * return it.
     *
     * @param apply the change
     * @return its result; empty if the change id is unknown
     */
    public Optional<ControlResult> findDecision(ApplyConfigCommand apply) {
        return findDecision(apply, ConfigText.digest(ConfigText.encodeUtf8(apply.text())));
    }

    /**
     * Returns the newest accepted version.
     *
     * @return the version, 0 if none was accepted yet
     */
    public long version() {
        return version;
    }

    /**
     * Returns the newest accepted configuration.
     *
     * @return its INI text
     */
    public String text() {
        return ConfigPatch.decodeUtf8(text);
    }

    /**
     * Finds the change that created a version.
     *
     * @param requestedVersion the version
     * @return the change; empty if it is no longer retained
     */
    public Optional<ConfigChange> change(long requestedVersion) {
        return Optional.ofNullable(accepted.get(requestedVersion));
    }

    /**
     * Returns the patch that updates a member to the newest version. It is computed once for each pair of versions and
     * cached.
     *
     * @param memberVersion version in force at the member, 0 for none
     * @return the encoded {@link ConfigPatch}; from version 0 if the member's text is no longer retained
     */
    public byte[] patchFrom(long memberVersion) {
        long base = texts.containsKey(memberVersion) ? memberVersion : 0;
        byte[] baseText = base == 0 ? new byte[0] : texts.get(base);
        return patches.computeIfAbsent(
                base, b -> ConfigPatch.CODEC.encode(ConfigPatch.between(b, baseText, version, text)));
    }

    @Override
    public byte[] snapshot() {
        List<byte[]> changes = new ArrayList<>();
        byId.values().forEach(change -> changes.add(ConfigChange.CODEC.encode(change)));
        return ConfigSnapshot.CODEC.encode(new ConfigSnapshot(version, ConfigText.deflate(text), changes));
    }

    @Override
    public void clear() {
        byId.clear();
        accepted.clear();
        refused.clear();
        texts.clear();
        patches.clear();
        version = 0;
        text = new byte[0];
    }

    @Override
    public void restore(byte[] snapshot) throws MalformedFrameException {
        ConfigSnapshot decoded = ConfigSnapshot.CODEC.decode(snapshot);
        version = decoded.version();
        text = ConfigText.inflate(decoded.text());
        retainText();
        for (byte[] change : decoded.changes()) {
            retain(ConfigChange.CODEC.decode(change));
        }
    }

    /**
     * Returns whether a change is too old to be decided. A retry of an accepted change whose id is no longer retained
     * would be refused as a conflict, and its operator would apply the change a second time. The base of such a change
     * is older than every retained change, because a change based on version N creates version N + 1.
     */
    private boolean expired(long baseVersion) {
        return !accepted.isEmpty() && baseVersion + 1 < accepted.firstKey();
    }

    private Optional<ControlResult> findDecision(ApplyConfigCommand apply, byte[] digest) {
        return Optional.ofNullable(byId.get(apply.changeId())).map(earlier -> repeatDecision(earlier, apply, digest));
    }

    private ControlResult repeatDecision(ConfigChange earlier, ApplyConfigCommand apply, byte[] digest) {
        boolean same = earlier.baseVersion() == apply.baseVersion()
                && earlier.operator().equals(apply.operator())
                && Arrays.equals(earlier.digest(), digest);
        if (!same) {
            return new ControlResult.ConfigRefused(
                    earlier.accepted() ? earlier.version() : earlier.baseVersion(),
                    earlier.operator(),
                    "the change id was used by " + earlier.operator() + " with other content");
        }
        return earlier.accepted()
                ? new ControlResult.ConfigAccepted(earlier.version())
                : new ControlResult.ConfigRefused(earlier.version(), earlier.conflictingOperator(), earlier.reason());
    }

    private ControlResult refuse(ApplyConfigCommand apply, byte[] digest) {
        long conflictingVersion = Math.min(apply.baseVersion() + 1, version);
        String winner = change(conflictingVersion).map(ConfigChange::operator).orElse("");
        String reason = apply.baseVersion() > version
                ? "made from version " + apply.baseVersion() + ", which does not exist; the newest is " + version
                : "version " + conflictingVersion + " by " + winner + " was made from version " + apply.baseVersion()
                        + " first";
        retain(new ConfigChange(
                apply.changeId(),
                apply.baseVersion(),
                apply.operator(),
                digest,
                false,
                conflictingVersion,
                winner,
                reason));
        return new ControlResult.ConfigRefused(conflictingVersion, winner, reason);
    }

    private void retain(ConfigChange change) {
        byId.put(change.changeId(), change);
        if (change.accepted()) {
            accepted.put(change.version(), change);
            if (accepted.size() > MAX_ACCEPTED) {
                byId.remove(accepted.pollFirstEntry().getValue().changeId());
            }
            return;
        }
        refused.add(change.changeId());
        if (refused.size() > MAX_REFUSED) {
            byId.remove(refused.poll());
        }
    }

    private void retainText() {
        patches.clear();
        texts.put(version, text);
        long bytes = texts.values().stream().mapToLong(t -> t.length).sum();
        Iterator<Map.Entry<Long, byte[]>> oldest = texts.entrySet().iterator();
        while (texts.size() > 1 && (texts.size() > MAX_TEXTS || bytes > MAX_TEXT_BYTES)) {
            bytes -= oldest.next().getValue().length;
            oldest.remove();
        }
    }
}
