package org.copperspindle.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class FairShareQueueTest {

    private final FairShareQueue<String> queue = new FairShareQueue<>(Comparator.naturalOrder());

    /** An account with expensive items, or with a small weight, must not get more of the resource than its share. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1, 0.5", "1, 1, 4, 0.5", "3, 1, 4, 0.75", "1, 4, 2, 0.2"})
    void accountsShareByWeightWhateverTheirItemsCost(double weight, double otherWeight, double cost, double share) {
        fill("a", weight, cost, 400);
        fill("b", otherWeight, 1, 1000);
        Map<String, Double> used = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            String item = queue.poll().orElseThrow();
            used.merge(item.substring(0, 1), item.startsWith("a") ? cost : 1, Double::sum);
        }
        assertThat(used.get("a") / (used.get("a") + used.get("b"))).isCloseTo(share, within(0.02));
    }

    /** A request would be refused for work that comes after it if the order were listed otherwise than it is served. */
    @Test
    void listsItemsInTheOrderInWhichTheyAreServed() {
        fill("a", 2, 3, 7);
        fill("b", 1, 1, 9);
        queue.poll();
        queue.poll();
        assertThat(queue.inOrder()).allSatisfy(item -> assertThat(queue.poll()).contains(item));
        assertThat(queue.size()).isZero();
    }

    /** An account with little waiting work must not count the whole queue of another one as ahead of it. */
    @Test
    void countsOnlyTheWorkThatIsServedBeforeANewItem() {
        fill("a", 1, 2, 100);
        assertThat(queue.aheadOf("b", 1, 3)).isEqualTo(3);
        assertThat(queue.aheadOf("a", 1, 2)).isEqualTo(200);
    }

    /** Names of accounts that no longer send requests must not stay in memory. */
    @Test
    void keepsNoAccountThatCaughtUp() {
        for (int i = 0; i < 100; i++) {
            fill("account" + i, 1, 1, 1);
            queue.poll();
        }
        assertThat(queue.accountCount()).isZero();
        fill("a", 1, 1, 1);
        fill("b", 1, 1, 2);
        queue.poll();
        assertThat(queue.accountCount()).as("a has used its share before b").isEqualTo(2);
        queue.poll();
        queue.poll();
        assertThat(queue.accountCount()).isZero();
    }

    /** A blocked first item of one account must not block the others, and a removed item must not be charged. */
    @Test
    void skipsIneligibleItemsAndForgetsRemovedOnes() {
        fill("a", 1, 1, 2);
        fill("b", 1, 1, 1);
        assertThat(queue.peek(item -> !item.startsWith("a"))).contains("b0000");
        assertThat(queue.removeIf("a", "a0000"::equals)).isTrue();
        assertThat(queue.removeIf("a", "a0000"::equals)).isFalse();
        assertThat(queue.poll()).contains("a0001");
        assertThat(queue.poll()).contains("b0000");
        assertThat(queue.poll()).isEmpty();
    }

    private void fill(String account, double weight, double cost, int count) {
        IntStream.range(0, count).forEach(i -> queue.add(account, weight, cost, account + String.format("%04d", i)));
    }
}
