package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.copperspindle.http.HttpLimits;
import org.copperspindle.route.CallerLimits;
import org.copperspindle.route.RouteTable;

/**
 * Limits on the connections of callers, by the route table held and the memory budget of the node.
 */
final class CallerHttpLimits implements Supplier<HttpLimits> {

    /** A response that needs more than this part of the budget would crowd out the others. */
    private static final int RESPONSES_IN_BUDGET = 8;

    private final Supplier<Optional<RouteTable>> tables;
    private final long budgetBytes;

    CallerHttpLimits(Supplier<Optional<RouteTable>> tables, long budgetBytes) {
        this.tables = tables;
        this.budgetBytes = budgetBytes;
    }

    @Override
    public HttpLimits get() {
        CallerLimits limits = tables.get().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
        HttpLimits base = HttpLimits.DEFAULT;
        return new HttpLimits(
                limits.maxHeaderBytes(),
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                base.maxConnections(),
                limits.headerTimeout(),
                longer(limits.headerTimeout(), limits.idleTimeout()),
                limits.idleTimeout(),
                base.writeTimeout(),
                Math.max(base.maxPendingBytes(), budgetBytes / RESPONSES_IN_BUDGET));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? other : one;
    }
}
