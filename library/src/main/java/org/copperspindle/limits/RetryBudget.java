package org.copperspindle.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to a share of first attempts, for the entry and for each client account. When every upstream is
 * slow, each timeout would otherwise add work to slow upstreams, and load would double when capacity halves. A share
 * bounds the extra load whatever the cause. The budget starts empty, so the bound also holds for an entry that has
 * just started.
 */
final class RetryBudget {

    private static final double ENTRY_SHARE = 0.1;
    private static final double ACCOUNT_SHARE = 0.2;
    private static final double MAX_TOKENS = 30;

    private final Map<String, Double> byAccount = new HashMap<>();
    private double tokens;

    /** Adds to the budget for a first attempt. */
    void onFirstAttempt(String account) {
        tokens = Math.min(MAX_TOKENS, tokens + ENTRY_SHARE);
        byAccount.merge(account, ACCOUNT_SHARE, (balance, share) -> Math.min(MAX_TOKENS, balance + share));
    }

    /** Returns whether the budget allows one more retry. */
    boolean allows(String account) {
        return tokens >= 1 && byAccount.getOrDefault(account, 0.0) >= 1;
    }

    /** Takes one retry from the budget, if it allows one. */
    boolean take(String account) {
        if (!allows(account)) {
            return false;
        }
        tokens--;
        byAccount.merge(account, -1.0, Double::sum);
        return true;
    }
}
