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
 * The newest configuration and the decided changes, by change id. One winner for each base version; a resend gets its
 * first answer. Bounded: the last {@link #MAX_ACCEPTED} accepted and {@link #MAX_REFUSED} refused changes are known.
 */
public final class ConfigHistory implements StatePart {

    /** Accepted changes kept; at 4,400 a day the last 44 hours. */
    public static final int MAX_ACCEPTED = 8192;

    /** Refused changes kept; apart from the accepted ones, so that no flood of refusals makes those forgotten. */
    public static final int MAX_REFUSED = 1024;

    /** Texts kept to make patches from; members further behind get the whole text. */
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
        byte[] proposed = ConfigText.bytes(apply.text());
        byte[] digest = ConfigText.digest(proposed);
        Optional<ControlResult> before = decided(apply, digest);
        if (before.isPresent()) {
            return before.get();
        }
        if (expired(apply.baseVersion())) {
            return new ControlResult.ConfigExpired(accepted.firstKey());
        }
        if (apply.baseVersion() != version) {
            return refuse(apply, digest);
        }
        version++;
        text = proposed;
        keepText();
        keep(new ConfigChange(apply.changeId(), apply.baseVersion(), apply.operator(), digest, true, version, "", ""));
        return new ControlResult.ConfigAccepted(version);
    }

    /**
     * Finds the first answer to a change that is resent. A decision never changes, so that it may be told by any member
     * that has applied it.
     *
     * @param apply the change
     * @return the answer; empty if the change id is not known
     */
    public Optional<ControlResult> decided(ApplyConfigCommand apply) {
        return decided(apply, ConfigText.digest(ConfigText.bytes(apply.text())));
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
        return ConfigPatch.string(text);
    }

    /**
     * Finds the change that made a version.
     *
     * @param wanted the version
     * @return the change, if it is recent enough
     */
    public Optional<ConfigChange> change(long wanted) {
        return Optional.ofNullable(accepted.get(wanted));
    }

    /**
     * Makes the patch that brings a member to the newest version. Made once for each pair of versions.
     *
     * @param memberVersion version in force at the member, 0 for none
     * @return the encoded {@link ConfigPatch}; from version 0 if the member's text is no longer kept here
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
        keepText();
        for (byte[] change : decoded.changes()) {
            keep(ConfigChange.CODEC.decode(change));
        }
    }

    /**
     * Says whether a change id can no longer be judged. Safeguard: a change accepted so long ago that its id is
     * forgotten would, resent, be answered as lost to another; its operator would make it a second time. Its base is
     * then older than every change still known, because a change made from version N made version N + 1.
     */
    private boolean expired(long baseVersion) {
        return !accepted.isEmpty() && baseVersion + 1 < accepted.firstKey();
    }

    private Optional<ControlResult> decided(ApplyConfigCommand apply, byte[] digest) {
        return Optional.ofNullable(byId.get(apply.changeId())).map(before -> repeat(before, apply, digest));
    }

    private ControlResult repeat(ConfigChange before, ApplyConfigCommand apply, byte[] digest) {
        boolean same = before.baseVersion() == apply.baseVersion()
                && before.operator().equals(apply.operator())
                && Arrays.equals(before.digest(), digest);
        if (!same) {
            return new ControlResult.ConfigRefused(
                    before.accepted() ? before.version() : before.baseVersion(),
                    before.operator(),
                    "the change id was used by " + before.operator() + " with other content");
        }
        return before.accepted()
                ? new ControlResult.ConfigAccepted(before.version())
                : new ControlResult.ConfigRefused(before.version(), before.standingBy(), before.reason());
    }

    private ControlResult refuse(ApplyConfigCommand apply, byte[] digest) {
        long inTheWay = Math.min(apply.baseVersion() + 1, version);
        String by = change(inTheWay).map(ConfigChange::operator).orElse("");
        String reason = apply.baseVersion() > version
                ? "made from version " + apply.baseVersion() + ", which does not exist; the newest is " + version
                : "version " + inTheWay + " by " + by + " was made from version " + apply.baseVersion() + " first";
        keep(new ConfigChange(
                apply.changeId(), apply.baseVersion(), apply.operator(), digest, false, inTheWay, by, reason));
        return new ControlResult.ConfigRefused(inTheWay, by, reason);
    }

    private void keep(ConfigChange change) {
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

    private void keepText() {
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
