package org.copperspindle.claims;

import java.time.Duration;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimTableTest {

    private static final ClaimLimits LIMITS = new ClaimLimits(Duration.ofSeconds(10), Duration.ofSeconds(240), 2, 3);

    private final ClaimTable table = new ClaimTable(LIMITS);

    /**
     * An attempt that holds the key is settled, and another entry claims the key with its own attempt. Only proof
     * that the first attempt did not run frees the key.
     */
    @ParameterizedTest
    @CsvSource({"NOT_RUN, GRANTED, b", "RAN, HELD, a", "MAY_HAVE_RUN, HELD, a"})
    void onlyNotRunFreesAKey(String verdict, ClaimResult expected, String holder) {
        claim("k", "a", 1, 0);
        settle("k", "a", verdict);
        ClaimDecision second = claim("k", "b", 1, 1);

        assertThat(second.result()).isEqualTo(expected);
        assertThat(second.attemptId()).isEqualTo(holder);
        assertThat(second.ended()).isEqualTo(expected == ClaimResult.HELD);
    }

    /**
     * An installation ran, was settled and acknowledged; its agent forgot it and reports for a resend that it never
     * arrived. The late NOT_RUN must not free the key, or the installation would run again.
     */
    @Test
    void settledRunIsNotReleasedByALaterNotRun() {
        claim("k", "a", 1, 0);
        settle("k", "a", "RAN");
        settle("k", "a", "NOT_RUN");

        assertThat(claim("k", "b", 1, 1).result()).isEqualTo(ClaimResult.HELD);
    }

    /**
     * The reply to a claim is lost; before the entry repeats it, another entry had the attempt refused and settled
     * it. The attempt must not be granted again beside the other entry's attempt.
     */
    @Test
    void releasedAttemptIsNotGrantedAgain() {
        claim("k", "a", 1, 0);
        assertThat(claim("k", "a", 1, 0).result()).isEqualTo(ClaimResult.GRANTED);
        settle("k", "a", "NOT_RUN");
        assertThat(claim("k", "a", 1, 0).result()).isEqualTo(ClaimResult.RELEASED);
        assertThat(claim("k", "b", 1, 0).result()).isEqualTo(ClaimResult.GRANTED);
        settle("k", "a", "NOT_RUN");
        assertThat(claim("k", "c", 1, 0).attemptId()).isEqualTo("b");
    }

    @Test
    void keyWithAnotherBodyConflicts() {
        claim("k", "a", 1, 0);
        settle("k", "a", "NOT_RUN");

        assertThat(claim("k", "b", 2, 1).result()).isEqualTo(ClaimResult.CONFLICT);
    }

    /** A key is granted, refused once its claim has expired, and removed only after the whole configured time. */
    @Test
    void expiredKeyIsRefusedForTheConfiguredTime() {
        claim("k", "a", 1, 0);
        assertThat(claim("k", "b", 1, 9_999).result()).isEqualTo(ClaimResult.HELD);
        assertThat(claim("k", "b", 1, 10_000).result()).isEqualTo(ClaimResult.EXPIRED);
        assertThat(table.size()).isZero();
        assertThat(claim("k", "b", 1, 249_999).result()).isEqualTo(ClaimResult.EXPIRED);
        assertThat(claim("k", "b", 1, 270_000).result()).isEqualTo(ClaimResult.GRANTED);
        assertThat(table.refusedKeys()).isZero();
    }

    /** A key that is proven not to have run is not stored: it may run whenever it is sent again. */
    @Test
    void releasedKeyIsRemovedWithItsClaim() {
        claim("k", "a", 1, 0);
        settle("k", "a", "NOT_RUN");

        assertThat(claim("k", "b", 1, 10_000).result()).isEqualTo(ClaimResult.GRANTED);
    }

    /**
     * The table of a shard is full. Dropping an old claim would let it run twice, so new keys are refused until old
     * ones expire; if there is no room to store the refused key, its claim is kept.
     */
    @Test
    void fullTableRefusesNewKeysAndDropsNone() {
        String[] keys = keysOfOneShard(8);
        for (int i = 0; i < 2; i++) {
            assertThat(claim(keys[i], "a", 1, 0).result()).isEqualTo(ClaimResult.GRANTED);
        }
        assertThat(claim(keys[2], "a", 1, 0).result()).isEqualTo(ClaimResult.FULL);
        assertThat(claim(keys[2], "a", 1, 10_000).result()).isEqualTo(ClaimResult.GRANTED);
        assertThat(claim(keys[3], "a", 1, 10_000).result()).isEqualTo(ClaimResult.GRANTED);
        assertThat(claim(keys[4], "a", 1, 20_000).result()).isEqualTo(ClaimResult.GRANTED);
        assertThat(table.refusedKeys()).isEqualTo(3);
        assertThat(claim(keys[3], "b", 1, 60_000).result()).isEqualTo(ClaimResult.HELD);
        assertThat(claim(keys[5], "a", 1, 60_000).result()).isEqualTo(ClaimResult.FULL);
        assertThat(claim(keys[0], "b", 1, 60_000).result()).isEqualTo(ClaimResult.EXPIRED);
    }

    /** A lower time stamp of a new leader must not decrease the table's time. */
    @Test
    void timeNeverDecreases() {
        claim("k", "a", 1, 10_000);
        claim("l", "a", 1, 5_000);

        assertThat(table.timeMillis()).isEqualTo(10_000);
    }

    @Test
    void claimForTheWrongShardIsNotMade() {
        int wrong = (ClaimShards.of("acc", "k") + 1) % ClaimShards.COUNT;
        ClaimRequestMessage request = new ClaimRequestMessage(1, "acc", "k", "s", "a", "u", new byte[1], 1, 0, wrong);

        assertThat(table.claim(request, 0).result()).isEqualTo(ClaimResult.UNAVAILABLE);
        assertThat(table.size()).isZero();
    }

    @Test
    void snapshotContainsTheWholeState() {
        claim("k", "a", 1, 0);
        settle("k", "a", "RAN");
        claim("l", "b", 1, 11_000);
        ClaimTable copy = new ClaimTable(LIMITS);
        copy.restore(table.snapshot());

        assertThat(copy.snapshot()).isEqualTo(table.snapshot());
        assertThat(copy.timeMillis()).isEqualTo(11_000);
        assertThat(copy.size() + copy.refusedKeys()).isEqualTo(table.size() + table.refusedKeys());
        assertThat(copy.claim(request("l", "c", 1), 11_000).attemptId()).isEqualTo("b");
    }

    /**
     * The new leader's VM has a monotonic clock with a very different reading. The log's time continues from its last
     * value: a jump would expire all claims, and it must not decrease.
     */
    @Test
    void logTimeContinuesAfterALeaderChange() {
        VirtualTimerService first = new VirtualTimerService();
        LogClock leader = new LogClock(first);
        assertThat(leader.stamp(1, 500)).isEqualTo(500);
        first.advance(Duration.ofSeconds(2).toNanos());
        long lastStamp = leader.stamp(1, 500);
        assertThat(lastStamp).isEqualTo(2_500);

        VirtualTimerService second = new VirtualTimerService();
        second.advance(Duration.ofDays(90).toNanos());
        LogClock next = new LogClock(second);
        assertThat(next.stamp(2, lastStamp)).isEqualTo(2_500);
        second.advance(Duration.ofMillis(10).toNanos());
        assertThat(next.stamp(2, lastStamp)).isEqualTo(2_510);
    }

    private ClaimDecision claim(String key, String attempt, int body, long at) {
        return table.claim(request(key, attempt, body), at);
    }

    private static ClaimRequestMessage request(String key, String attempt, int body) {
        byte[] digest = {(byte) body};
        return new ClaimRequestMessage(1, "acc", key, "s", attempt, "u", digest, 1, 0, ClaimShards.of("acc", key));
    }

    private void settle(String key, String attempt, String verdict) {
        Verdict settled = switch (verdict) {
            case "NOT_RUN" -> new NotRunVerdict("test");
            case "RAN" -> RanVerdict.SUCCESS;
            default -> new MayHaveRunVerdict("test");
        };
        table.settle(new ClaimSettleMessage(1, "acc", key, "s", attempt, settled, ClaimShards.of("acc", key)));
    }

    private static String[] keysOfOneShard(int count) {
        String[] keys = new String[count];
        int found = 0;
        for (int i = 0; found < count; i++) {
            if (ClaimShards.of("acc", "k" + i) == 0) {
                keys[found++] = "k" + i;
            }
        }
        return keys;
    }
}
