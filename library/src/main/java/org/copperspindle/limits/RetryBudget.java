package org.copperspindle.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds attempts beyond the first of a stage to a share of first attempts, for the entry and for each client account.
 * Safeguard: when every upstream is slow, each timeout would add work to what is slow already; the symptom is load that
 * doubles when capacity halves. A share is enough, because it bounds the extra load whatever the cause. Nothing is
 * given in advance, so that the bound also holds for an entry that has just started.
 */
final class RetryBudget {

    private static final double ENTRY_SHARE = 0.1;
    private static final double ACCOUNT_SHARE = 0.2;
    private static final double MOST = 30;

    private final Map<String, Double> byAccount = new HashMap<>();
    private double tokens;

    /** Counts a first attempt. */
    void earned(String account) {
        tokens = Math.min(MOST, tokens + ENTRY_SHARE);
        byAccount.merge(account, ACCOUNT_SHARE, (left, share) -> Math.min(MOST, left + share));
    }

    /** Says whether one more would be allowed. */
    boolean allows(String account) {
        return tokens >= 1 && byAccount.getOrDefault(account, 0.0) >= 1;
    }

    /** Takes one attempt out of the budget, if it allows one. */
    boolean take(String account) {
        if (!allows(account)) {
            return false;
        }
        tokens--;
        byAccount.merge(account, -1.0, Double::sum);
        return true;
    }
}
