package org.copperspindle.control;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;

import org.copperspindle.config.ConfigChange;
import org.copperspindle.config.ConfigText;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * Builds a {@link ControlStatus}.
 */
final class ControlStatusReport {

    private final ReplicatedLog log;
    private final ControlState state;
    private final MemberTable members;
    private final long now;

    ControlStatusReport(ReplicatedLog log, ControlState state, MemberTable members, long now) {
        this.log = log;
        this.state = state;
        this.members = members;
        this.now = now;
    }

    ControlStatus create(boolean leads, List<Long> pending, LongFunction<String> waiting) {
        byte[] digest = ConfigText.digest(ConfigText.encodeUtf8(state.config().text()));
        return new ControlStatus(
                leads,
                log.leaderAddress().orElse(""),
                log.term(),
                state.config().version(),
                HexFormat.of().formatHex(digest),
                state.upstreams().revision(),
                members.all().stream().map(this::member).toList(),
                pools(),
                pending.stream().map(v -> change(v, waiting)).toList());
    }

    private ControlStatus.MemberStatus member(Member member) {
        return new ControlStatus.MemberStatus(
                member.id(),
                member.isAgent() ? "agent" : "entry",
                member.configVersion(),
                member.leaseLeft(now) / 1_000_000);
    }

    private Map<String, ControlStatus.PoolStatus> pools() {
        Map<String, ControlStatus.PoolStatus> pools = new TreeMap<>();
        for (UpstreamAnnouncement upstream : state.upstreams().all().values()) {
            ControlStatus.PoolStatus status =
                    new ControlStatus.PoolStatus(upstream.draining() ? 0 : 1, upstream.draining() ? 1 : 0);
            pools.merge(
                    upstream.pool(),
                    status,
                    (a, b) -> new ControlStatus.PoolStatus(a.serving() + b.serving(), a.draining() + b.draining()));
        }
        return pools;
    }

    private ControlStatus.ChangeStatus change(long version, LongFunction<String> waiting) {
        Optional<ConfigChange> change = state.config().change(version);
        return new ControlStatus.ChangeStatus(
                version,
                change.map(ConfigChange::changeId).orElse(""),
                change.map(ConfigChange::operator).orElse(""),
                waiting.apply(version));
    }
}
