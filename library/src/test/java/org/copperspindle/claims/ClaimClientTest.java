package org.copperspindle.claims;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimClientTest {

    private final VirtualTimerService timers = new VirtualTimerService();
    private final List<WireMessage> sent = new ArrayList<>();
    private final List<ClaimDecision> decided = new ArrayList<>();
    private final ClaimClient client = new ClaimClient(timers, sent::add);

    /**
     * The leader commits a claim and fails before it replies. The entry repeats the request to the new leader with
     * the same attempt and number: the claim counts once, and a second reply has no effect.
     */
    @Test
    void requestIsRepeatedWithTheSameAttempt() {
        client.claim(request(), decided::add);
        timers.advance(Duration.ofMillis(300).toNanos());
        assertThat(sent).hasSize(2);
        assertThat(sent.get(1)).isEqualTo(sent.get(0));

        client.onReply(reply(ClaimResult.UNAVAILABLE));
        assertThat(decided).isEmpty();
        client.onReply(reply(ClaimResult.GRANTED));
        client.onReply(reply(ClaimResult.GRANTED));
        assertThat(decided).extracting(ClaimDecision::result).containsExactly(ClaimResult.GRANTED);
        assertThat(client.pending()).isZero();
    }

    /**
     * There is no reply, so the request is answered as not run. The claim may be committed nevertheless: a late grant
     * must be released, otherwise the key would stay held by an attempt that never runs.
     */
    @Test
    void lateGrantOfAnAbandonedClaimIsReleased() {
        client.claim(request(), decided::add);
        timers.advance(Duration.ofSeconds(4).toNanos());
        assertThat(decided).extracting(ClaimDecision::result).containsExactly(ClaimResult.UNAVAILABLE);
        sent.clear();

        client.onReply(reply(ClaimResult.GRANTED));
        assertThat(sent).hasSize(1);
        ClaimSettleMessage settle = (ClaimSettleMessage) sent.get(0);
        assertThat(settle.attemptId()).isEqualTo("a");
        assertThat(settle.verdict().label()).isEqualTo("NOT_RUN");
    }

    /** A settlement is repeated until it is committed; only then may the agent forget the outcome. */
    @Test
    void settlementIsRepeatedUntilCommitted() {
        List<String> committed = new ArrayList<>();
        ClaimSettleMessage settle = new ClaimSettleMessage(0, "acc", "k", "s", "a", RanVerdict.SUCCESS, 0);
        client.settle(settle, () -> committed.add("a"));
        timers.advance(Duration.ofSeconds(1).toNanos());
        assertThat(sent).hasSize(5);
        assertThat(committed).isEmpty();

        long number = ((ClaimSettleMessage) sent.get(0)).correlation();
        client.onReply(new ClaimSettledMessage(number));
        client.onReply(new ClaimSettledMessage(number));
        assertThat(committed).containsExactly("a");
        assertThat(client.pending()).isZero();
    }

    private static ClaimRequestMessage request() {
        return new ClaimRequestMessage(0, "acc", "k", "s", "a", "u", new byte[1], 1, 0, ClaimShards.of("acc", "k"));
    }

    private ClaimReplyMessage reply(ClaimResult result) {
        long number = 1;
        return new ClaimReplyMessage(number, new ClaimDecision(result, "a", "u", 1, 0, false));
    }
}
