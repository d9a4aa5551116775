package org.copperspindle.standby;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ActingDispatchersTest {

    private static final long MILLI = 1_000_000L;
    private static final String POOL = "p";

    private final VirtualTimerService time = new VirtualTimerService();
    private final FixedChoice choice = new FixedChoice();
    private final ActingDispatchers acting = new ActingDispatchers(choice, "self", time::nanoTime);
    private final List<String> moves = new ArrayList<>();
    private int changes;

    @BeforeEach
    void listen() {
        acting.subscribe(new TakeoverListener() {
            @Override
            public int moveGroups(String pool, String from, String to) {
                moves.add(pool + ' ' + from + ' ' + to);
                return 3;
            }

            @Override
            public void onChange() {
                changes++;
            }
        });
    }

    /** An announcement that is repeated must prolong the takeover, and must not move groups again. */
    @Test
    void repeatedAnnouncementProlongsATakeover() {
        assertThat(announce()).isEqualTo(3);
        time.advance(700 * MILLI);
        assertThat(announce()).isZero();
        time.advance(799 * MILLI);
        acting.removeInvalid();
        assertThat(acting.of(POOL)).isEqualTo("standby");
        assertThat(moves).containsExactly("p dispatcher standby");
    }

    /** A standby that is silent or lost must not keep the groups that wait there. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void groupsGoBackFromASilentOrLostStandby(boolean lost) {
        announce();
        if (lost) {
            choice.reachable = false;
            acting.roles().clear();
        } else {
            time.advance(800 * MILLI);
        }
        assertThat(acting.of(POOL)).isEqualTo("dispatcher");
        acting.removeInvalid();
        assertThat(moves).containsExactly("p dispatcher standby", "p standby dispatcher");
        assertThat(changes).isEqualTo(2);
    }

    /** Moved once more at the regular end, the pieces that run at the standby would be lost. */
    @Test
    void groupsStayAtTheStandbyWhenATakeoverEnds() {
        announce();
        acting.end(POOL);
        assertThat(acting.of(POOL)).isEqualTo("dispatcher");
        assertThat(moves).hasSize(1);
        assertThat(changes).isEqualTo(2);
    }

    /** A takeover replaces one process only; for the next one, or another dispatcher, it must not count. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void takeoverCountsForOneProcessOnly(boolean restarted) {
        announce();
        if (restarted) {
            choice.incarnation = 2;
        } else {
            choice.dispatcher = "next";
        }
        acting.roles().clear();
        assertThat(acting.of(POOL)).isEqualTo(choice.dispatcher);
        acting.removeInvalid();
        assertThat(moves).hasSize(1);
    }

    /** Only the dispatcher itself must hold the groups of others, and only in the pool that was taken over. */
    @Test
    void onlyTheReplacedDispatcherHoldsGroups() {
        announce();
        assertThat(acting.isHeld(POOL)).isFalse();
        choice.dispatcher = "self";
        acting.roles().clear();
        acting.apply(POOL, new Takeover("self", 1, "standby", time.nanoTime() + ActingDispatchers.VALIDITY_NANOS));
        assertThat(acting.isHeld(POOL)).isTrue();
        assertThat(acting.isHeld("other")).isFalse();
        time.advance(800 * MILLI);
        assertThat(acting.isHeld(POOL)).isFalse();
    }

    /** Requests ask for the dispatcher many times in a second; comparing all nodes each time takes too long. */
    @Test
    void dispatcherIsChosenOnceInATakeoverWithoutChanges() {
        announce();
        choice.asked = 0;
        for (int i = 0; i < 50; i++) {
            time.advance(10 * MILLI);
            acting.removeInvalid();
            assertThat(acting.of(POOL)).isEqualTo("standby");
        }
        assertThat(choice.asked).isLessThanOrEqualTo(3);
    }

    private int announce() {
        long validUntil = time.nanoTime() + ActingDispatchers.VALIDITY_NANOS;
        return acting.apply(POOL, new Takeover("dispatcher", 1, "standby", validUntil));
    }

    /** Membership that the test sets. */
    private static final class FixedChoice implements DispatcherChoice {
        private String dispatcher = "dispatcher";
        private long incarnation = 1;
        private boolean reachable = true;
        private int asked;

        @Override
        public String dispatcherNode(String pool) {
            asked++;
            return dispatcher;
        }

        @Override
        public Optional<String> standbyNode(String pool) {
            asked++;
            return Optional.of("standby");
        }

        @Override
        public OptionalLong incarnation(String node) {
            return OptionalLong.of(incarnation);
        }

        @Override
        public boolean canReach(String node) {
            asked++;
            return reachable;
        }

        @Override
        public List<String> lostButReachable() {
            return List.of();
        }
    }
}
