package org.copperspindle.control;

import java.net.InetSocketAddress;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimShards;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The replicated state: the contents of snapshots, and the result of each command.
 */
class ControlStateTest {

    private static final InetSocketAddress AGENT = new InetSocketAddress("127.0.0.1", 7000);

    private final ControlState state = new ControlState();
    private long index;

    /**
     * A member is restored from a snapshot in the middle of a history while another applies every command. From then on
     * both must give the same results and end with the same bytes; otherwise a voter that was repaired would disagree
     * with the others after the next failover.
     */
    @Property(seed = "4711", tries = 200)
    void restoredMemberGivesTheSameResultsAsTheOthers(
            @ForAll("commands") List<WireMessage> commands, @ForAll int snapshotAt) {
        ControlState reference = new ControlState();
        ControlState restored = new ControlState();
        int at = Math.floorMod(snapshotAt, commands.size() + 1);
        for (int i = 0; i < at; i++) {
            reference.apply(i, 1, reference.encode(commands.get(i)));
        }
        restored.restore(reference.snapshot());
        for (int i = at; i < commands.size(); i++) {
            byte[] command = reference.encode(commands.get(i));
            assertThat(restored.apply(i, 1, command)).isEqualTo(reference.apply(i, 1, command));
        }
        assertThat(restored.snapshot()).isEqualTo(reference.snapshot());
        assertThat(restored.config().text()).isEqualTo(reference.config().text());
        assertThat(restored.upstreams().all()).isEqualTo(reference.upstreams().all());
    }

    @Provide
    Arbitrary<List<WireMessage>> commands() {
        Arbitrary<WireMessage> apply = Combinators.combine(
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.longs().between(0, 8),
                        Arbitraries.of("ann", "bob"),
                        Arbitraries.strings().alpha().ofMaxLength(20))
                .as((id, base, operator, text) -> new ApplyConfigCommand("c" + id, base, operator, text));
        Arbitrary<WireMessage> announce = Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.longs().between(1, 4),
                        Arbitraries.longs().between(1, 4))
                .as((id, incarnation, sequence) -> announce("u" + id, incarnation, sequence));
        Arbitrary<WireMessage> remove = Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.longs().between(1, 4),
                        Arbitraries.of(true, false))
                .as((id, incarnation, left) -> new RemoveUpstreamCommand("u" + id, incarnation, left));
        Arbitrary<WireMessage> claim = Arbitraries.integers().between(0, 8).map(ControlStateTest::claim);
        return Arbitraries.oneOf(apply, announce, remove, claim).list().ofMaxSize(60);
    }

    /**
     * Two operators make a change from the same version, and both resend after losing their responses, one before and
     * one after further changes. One must succeed; the other must be told each time which version conflicts.
     */
    @Test
    void oneOfTwoOperatorsSucceedsAndResendsGetTheFirstResult() {
        ControlResult won = config("a1", 0, "ann", "one");
        ControlResult lost = config("b1", 0, "bob", "two");
        config("a2", 1, "ann", "three");

        assertThat(won).isEqualTo(new ControlResult.ConfigAccepted(1));
        assertThat(lost)
                .isEqualTo(new ControlResult.ConfigRefused(1, "ann", "version 1 by ann was made from version 0 first"));
        assertThat(config("a1", 0, "ann", "one")).isEqualTo(won);
        assertThat(config("b1", 0, "bob", "two")).isEqualTo(lost);
        assertThat(state.config().text()).isEqualTo("three");
    }

    @Test
    void changeIdWithOtherContentIsRefused() {
        config("a1", 0, "ann", "one");

        assertThat(config("a1", 0, "ann", "other")).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(config("a1", 1, "ann", "one")).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(config("a1", 0, "bob", "one")).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(state.config().version()).isEqualTo(1);
    }

    /**
     * A change is refused because its base does not exist yet; then others make that base. Resent, it must get its
     * first result rather than be accepted: its operator may have made another change since.
     */
    @Test
    void refusedChangeStaysRefusedWhenItsBaseIsMade() {
        ControlResult first = config("b1", 1, "bob", "two");
        config("a1", 0, "ann", "one");

        assertThat(config("b1", 1, "bob", "two")).isEqualTo(first).isInstanceOf(ControlResult.ConfigRefused.class);
    }

    /**
     * A change was accepted, and so many followed that its id was dropped. Resent, it must be neither made again nor
     * refused in favour of another change: the result must say that this is no longer known.
     */
    @Test
    void droppedChangeIdIsNeitherAppliedAgainNorRefused() {
        for (int i = 0; i <= org.copperspindle.config.ConfigHistory.MAX_ACCEPTED + 1; i++) {
            config("c" + i, i, "ann", "text " + i);
        }
        long before = state.config().version();

        assertThat(config("c0", 0, "ann", "text 0")).isInstanceOf(ControlResult.ConfigExpired.class);
        assertThat(state.config().version()).isEqualTo(before);
    }

    /**
     * A late or duplicate announcement, or one of an incarnation that has left, changes nothing; an incarnation whose
     * lease expired may come back.
     */
    @Test
    void lateAnnouncementsChangeNothing() {
        apply(announce("u1", 2, 5));
        long revision = state.upstreams().revision();
        apply(announce("u1", 1, 9));
        apply(announce("u1", 2, 4));
        apply(announce("u1", 2, 5));
        assertThat(state.upstreams().revision()).isEqualTo(revision);

        apply(new RemoveUpstreamCommand("u1", 2, false));
        assertThat(state.upstreams().isNewer(announcement("u1", 2, 4))).isFalse();
        apply(announce("u1", 2, 5));
        assertThat(state.upstreams().all()).containsKey("u1");

        apply(new RemoveUpstreamCommand("u1", 2, true));
        apply(announce("u1", 2, 6));
        assertThat(state.upstreams().all()).isEmpty();
        assertThat(state.upstreams().newestIncarnation("u1")).isEqualTo(2);
    }

    @Test
    void snapshotOfANewerBuildIsRefused() {
        byte[] newer = ControlSnapshot.CODEC.encode(new ControlSnapshot(ControlSnapshot.FORMAT + 1, List.of()));
        byte[] unknown = ControlSnapshot.CODEC.encode(new ControlSnapshot(
                ControlSnapshot.FORMAT,
                List.of(ControlSnapshot.SnapshotPart.CODEC.encode(
                        new ControlSnapshot.SnapshotPart("later", new byte[] {1})))));

        assertThatThrownBy(() -> state.restore(newer)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> state.restore(unknown)).isInstanceOf(IllegalStateException.class);
    }

    private ControlResult config(String id, long base, String operator, String text) {
        return apply(new ApplyConfigCommand(id, base, operator, text));
    }

    private ControlResult apply(WireMessage command) {
        return state.apply(index++, 1, state.encode(command));
    }

    private static AnnounceCommand announce(String id, long incarnation, long sequence) {
        return new AnnounceCommand(UpstreamAnnouncement.CODEC.encode(announcement(id, incarnation, sequence)));
    }

    private static UpstreamAnnouncement announcement(String id, long incarnation, long sequence) {
        return new UpstreamAnnouncement(id, "engines", "north", AGENT, incarnation, sequence, List.of("m"), false);
    }

    private static ClaimCommand claim(int number) {
        String key = "k" + number % 4;
        byte[] digest = {(byte) (number % 2)};
        int shard = ClaimShards.of("account", key);
        ClaimRequestMessage request =
                new ClaimRequestMessage(number, "account", key, "call", "t" + number, "u1", digest, 1, 0, shard);
        return new ClaimCommand(ClaimRequestMessage.CODEC.encode(request), number);
    }
}
