package org.copperspindle.standby;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class TakeoverPolicyTest {

    private static final long MILLI = 1_000_000L;
    private static final long INTERVAL = 80 * MILLI;
    private static final String DISPATCHER = "d";
    private static final String SELF = "s";
    private static final PoolRoles ROLES = new PoolRoles(DISPATCHER, 1, Optional.of(SELF));

    /**
     * Earlier, a retransmitted packet would count as a failure; later, requests on time would miss their objective.
     * Before three heartbeats the dispatcher may not have been sending any.
     */
    @ParameterizedTest
    @CsvSource({"3, 299, false", "3, 300, true", "2, 300, false", "2, 5000, false", "50, 300, true"})
    void takesOverAfterThreeHeartbeatsAnd300MillisOfSilence(int count, long silentMillis, boolean takesOver) {
        HeartbeatHistory history = heartbeats(count, 0);
        long now = history.lastAt() + silentMillis * MILLI;
        TakeoverDecision decision = TakeoverPolicy.beforeTakeover(history, ROLES, SELF, false, now);
        assertThat(decision)
                .isEqualTo(
                        takesOver ? new TakeoverDecision.TakeOver(silentMillis * MILLI) : new TakeoverDecision.Keep());
    }

    /** An isolated node must not take over work that the others go on with. */
    @Test
    void isolatedNodeDoesNotTakeOver() {
        HeartbeatHistory history = heartbeats(5, 0);
        assertThat(TakeoverPolicy.beforeTakeover(history, ROLES, SELF, true, history.lastAt() + 1000 * MILLI))
                .isEqualTo(new TakeoverDecision.Keep());
    }

    /** Heartbeats of another node, of an earlier process or for another standby say nothing about the dispatcher. */
    @ParameterizedTest
    @CsvSource({"x, 1, s", "d, 2, s", "d, 1, x", "s, 0, d"})
    void heartbeatsOfOtherRolesAreDiscarded(String dispatcher, long incarnation, String standby) {
        HeartbeatHistory history = heartbeats(5, 0);
        PoolRoles roles = new PoolRoles(dispatcher, incarnation, Optional.of(standby));
        assertThat(TakeoverPolicy.beforeTakeover(history, roles, SELF, false, history.lastAt() + 1000 * MILLI))
                .isEqualTo(new TakeoverDecision.Superseded());
    }

    /**
     * Returned too early, a pool would move back and forth on a bad link; a gap starts the count of one second again,
     * and so does silence at its end.
     */
    @ParameterizedTest
    @CsvSource({"12, 0, false", "14, 0, true", "14, 299, true", "14, 300, false"})
    void returnsThePoolAfterASecondOfHeartbeats(int count, long silentMillis, boolean returned) {
        HeartbeatHistory history = heartbeats(20, 0);
        long resumedAt = history.lastAt() + 400 * MILLI;
        for (int i = 0; i < count; i++) {
            history = history.next(resumedAt + i * INTERVAL);
        }
        long now = history.lastAt() + silentMillis * MILLI;
        assertThat(TakeoverPolicy.duringTakeover(history, ROLES, SELF, false, now))
                .isEqualTo(returned ? new TakeoverDecision.Return() : new TakeoverDecision.Keep());
    }

    /** A takeover that was announced must end explicitly when this node may no longer replace the dispatcher. */
    @ParameterizedTest
    @CsvSource({"x, false", "s, true"})
    void returnsThePoolWhenItMayNoLongerReplaceTheDispatcher(String standby, boolean isolated) {
        HeartbeatHistory history = heartbeats(5, 0);
        PoolRoles roles = new PoolRoles(DISPATCHER, 1, Optional.of(standby));
        assertThat(TakeoverPolicy.duringTakeover(history, roles, SELF, isolated, history.lastAt() + 400 * MILLI))
                .isEqualTo(new TakeoverDecision.Return());
    }

    /** Once membership has designated another dispatcher, or the dispatcher has restarted, no takeover is needed. */
    @ParameterizedTest
    @CsvSource({"s, 0", "x, 1", "d, 2"})
    void changeOfMembershipEndsATakeover(String dispatcher, long incarnation) {
        HeartbeatHistory history = heartbeats(5, 0);
        PoolRoles roles = new PoolRoles(dispatcher, incarnation, Optional.of(SELF));
        assertThat(TakeoverPolicy.duringTakeover(history, roles, SELF, false, history.lastAt() + 400 * MILLI))
                .isEqualTo(new TakeoverDecision.Superseded());
    }

    private static HeartbeatHistory heartbeats(int count, long from) {
        HeartbeatHistory history = HeartbeatHistory.first(DISPATCHER, 1, from);
        for (int i = 1; i < count; i++) {
            history = history.next(from + i * INTERVAL);
        }
        return history;
    }
}
