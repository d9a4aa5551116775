package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Map;

import org.copperspindle.discovery.UpstreamPhase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What nodes know of upstreams that terminated under runs of other nodes.
 */
class TerminatedUpstreamsTest {

    private static final TrackedRequest HARMFUL = QuarantineFleet.request("guilty");
    private static final TrackedRequest POPULAR = QuarantineFleet.request("popular");

    private final QuarantineFleet fleet = new QuarantineFleet(2);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Guards against requests that a node sends to upstreams which terminated under runs of other nodes: each finds nobody
     * there. One that announces itself afterwards is alive, and so is another incarnation.
     */
    @Test
    void otherNodesLearnWhichUpstreamsHaveTerminated() {
        fleet.announce(0, "u", 1, UpstreamPhase.READY);
        fleet.terminate(0, Map.of(fleet.send(0, HARMFUL, 0), 0));
        fleet.awaitDelivery();
        assertThat(fleet.hasTerminated(1, 0)).isTrue();
        fleet.announce(0, "u", 1, UpstreamPhase.READY);
        assertThat(fleet.hasTerminated(1, 0)).isFalse();
        fleet.announce(0, "u", 2, UpstreamPhase.READY);
        assertThat(fleet.hasTerminated(1, 0)).isFalse();
    }

    /**
     * Guards against sending to a terminated upstream for ever after an announcement that it sent before has arrived late:
     * each node tries it once more at most. An answer that is read after its termination proves nothing either.
     */
    @Test
    void lateAnnouncementOfATerminatedUpstreamIsTriedOnce() {
        int upstream = fleet.addUpstream();
        UpstreamRun answered = fleet.send(1, POPULAR, upstream);
        fleet.terminate(upstream, Map.of(fleet.send(0, HARMFUL, upstream), 0));
        fleet.awaitDelivery();
        fleet.quarantine(1).onSurvived(answered, RunOutcome.ANSWERED);
        assertThat(fleet.hasTerminated(1, upstream)).isTrue();
        fleet.advance(Duration.ofSeconds(2));
        fleet.announce(upstream, "u" + upstream, UpstreamPhase.READY);
        assertThat(fleet.hasTerminated(1, upstream)).isFalse();
        fleet.advance(Duration.ofMillis(10));
        fleet.quarantine(1).onUnreachable(fleet.send(1, POPULAR, upstream));
        assertThat(fleet.hasTerminated(1, upstream)).isTrue();
    }
}
