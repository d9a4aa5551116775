package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;

/**
 * The time after which no caller takes a stream up any more, from the start of the request that began it: the longest
 * timeout of a stream's route, and some time in which callers come back.
 */
final class StreamLifetime implements LongSupplier {

    private static final Duration RETURN_TIME = Duration.ofSeconds(10);

    /** Without a table there are no routes, but records of other nodes may arrive. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

    private final Supplier<Optional<RouteTable>> tables;
    private Optional<RouteTable> last = Optional.empty();
    private long nanos = DEFAULT_TIMEOUT.plus(RETURN_TIME).toNanos();

    /**
     * Creates the time.
     *
     * @param tables supplies the table that this node holds
     */
    StreamLifetime(Supplier<Optional<RouteTable>> tables) {
        this.tables = tables;
    }

    @Override
    public long getAsLong() {
        Optional<RouteTable> held = tables.get();
        if (held.isPresent() && !held.equals(last)) {
            last = held;
            nanos = longestTimeout(held.get()).plus(RETURN_TIME).toNanos();
        }
        return nanos;
    }

    private static Duration longestTimeout(RouteTable table) {
        return table.routes().stream()
                .filter(route -> route.kind() == RouteKind.STREAM)
                .map(Route::timeout)
                .max(Duration::compareTo)
                .orElse(DEFAULT_TIMEOUT);
    }
}
