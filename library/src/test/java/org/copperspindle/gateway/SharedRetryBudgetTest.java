package org.copperspindle.gateway;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SharedRetryBudgetTest {

    private static final long SECOND = 1_000_000_000L;

    /**
     * A whole pool fails, and every request at every node asks for a second upstream. Whatever the number of nodes,
     * the retries in any window stay below the budget of all nodes together.
     */
    @ParameterizedTest
    @CsvSource({"1, 100", "7, 20", "26, 10", "300, 1"})
    void retriesOfAllNodesStayWithinTheBudget(int nodes, int requestsPerSecond) {
        double ratio = 0.2;
        double slack = 58;
        SharedRetryBudget[] budgets = new SharedRetryBudget[nodes];
        for (int i = 0; i < nodes; i++) {
            budgets[i] = new SharedRetryBudget(ratio, slack, Duration.ofSeconds(10));
            budgets[i].setNodeCount(nodes);
        }
        long[] retries = new long[40];
        for (int second = 0; second < retries.length; second++) {
            for (SharedRetryBudget budget : budgets) {
                for (int i = 0; i < requestsPerSecond; i++) {
                    long now = second * SECOND + i * SECOND / requestsPerSecond;
                    budget.recordRequest("p", now);
                    retries[second] += budget.tryAcquire("p", now) ? 1 : 0;
                }
            }
        }
        for (int from = 0; from + 10 <= retries.length; from++) {
            long inWindow = 0;
            for (int i = from; i < from + 10; i++) {
                inWindow += retries[i];
            }
            assertThat((double) inWindow).isLessThan(ratio * nodes * requestsPerSecond * 10 + slack);
        }
    }

    @ParameterizedTest
    @CsvSource({"5, false", "11, true"})
    void retriesAreAvailableAgainInTheNextWindow(int seconds, boolean available) {
        SharedRetryBudget budget = new SharedRetryBudget(0, 2, Duration.ofSeconds(10));
        assertThat(budget.tryAcquire("p", 0)).isTrue();
        assertThat(budget.tryAcquire("p", 0)).isFalse();
        assertThat(budget.tryAcquire("q", 0)).as("another pool").isTrue();
        assertThat(budget.tryAcquire("p", seconds * SECOND)).isEqualTo(available);
    }
}
