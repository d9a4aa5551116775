package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.memory.HeldKind;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.routing.RendezvousScore;

/**
 * Admits or refuses callers' requests by the routes and keys of the table in force. Runs on the network thread only.
 */
final class GatewayService implements HttpRequestHandler {

    private static final Logger LOGGER = LogManager.getLogger(GatewayService.class);

    /** What one piece of a stage takes until its request has ended: its task, its place in queues, and its result. */
    private static final int PIECE_BYTES = 512;

    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Retry delay while this node stops: another node can accept the request at once. */
    private static final Duration STOP_RETRY_AFTER = Duration.ofMillis(100);

    /** Interval at which a waiting request is checked again: a small part of the wait. */
    private static final long LEASE_POLL_NANOS = Duration.ofMillis(25).toNanos();

    /** Bits of a hash that a double can't hold. */
    private static final int DRAW_SHIFT = Long.SIZE - 53;

    private static final double DRAW_UNIT = 0x1.0p-53;

    private final GatewayContext context;
    private final Supplier<Optional<RouteTable>> tables;
    private final LeaseStatus leaseStatus;
    private final LeaseWait leaseWait;
    private final PriorWaitEstimator priorWaits = new PriorWaitEstimator();
    private boolean refusesAll;

    /**
     * Creates the service.
     *
     * @param context     components that all requests share
     * @param tables      supplies the table in force, empty without a lease
     * @param leaseStatus status of the lease, for requests that arrive without one
     */
    GatewayService(GatewayContext context, Supplier<Optional<RouteTable>> tables, LeaseStatus leaseStatus) {
        this.context = context;
        this.tables = tables;
        this.leaseStatus = leaseStatus;
        this.leaseWait = new LeaseWait(leaseStatus);
    }

    /** Refuses all requests from now on: they would not be finished before this node stops. */
    void refuseAll() {
        refusesAll = true;
    }

    @Override
    public void handle(HttpExchange exchange) {
        GatewayRequestResult result = context.callerDialect().read(exchange);
        if (result instanceof GatewayRequestResult.Invalid invalid) {
            refuse(exchange, "", Refusal.malformed(invalid.problem()), Optional.empty());
        } else if (result instanceof GatewayRequestResult.Valid valid) {
            admit(exchange, valid.request(), context.timers().nanoTime());
        }
    }

    private void admit(HttpExchange exchange, GatewayRequest request, long arrivedAt) {
        Optional<RouteTable> table = tables.get();
        if (refusesAll) {
            refuse(exchange, request.id(), Refusal.unavailable("stopping", "this node stops", STOP_RETRY_AFTER), table);
            return;
        }
        if (table.isEmpty()
                && leaseWait.shouldWait(
                        request.deadlineMillis(), context.timers().nanoTime() - arrivedAt)) {
            context.timers().schedule(LEASE_POLL_NANOS, () -> admit(exchange, request, arrivedAt));
            return;
        }
        if (table.isEmpty()) {
            Refusal refusal = Refusal.unavailable(
                    "no-lease",
                    "this node does not know whether it holds the newest configuration",
                    leaseStatus.retryAfter());
            refuse(exchange, request.id(), refusal, table);
            return;
        }
        Optional<Route> route = table.get().findRoute(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, request.id(), Refusal.unknownRoute(), table);
            return;
        }
        Optional<ClientAccount> account = request.key().flatMap(table.get()::findAccount);
        if (table.get().isKeyed() && !route.get().open() && account.isEmpty()) {
            refuse(exchange, request.id(), Refusal.unknownKey(), table);
            return;
        }
        if (!reservePieces(exchange, route.get(), request)) {
            Refusal refusal =
                    Refusal.unavailable("memory-short", "there is no memory for the pieces now", MEMORY_RETRY_AFTER);
            refuse(exchange, request.id(), refusal, table);
            return;
        }
        String pool = route.get().choosePool(poolDraw(route.get(), request));
        long waited = priorWaits.waitedMillis(route.get().name(), request.deadlineMillis());
        RequestTimes times = RequestTimes.of(
                route.get(), request, waited, context.streamDurations().expectedNanos(route.get()), arrivedAt);
        AdmittedRequest admitted = new AdmittedRequest(request, table.get(), route.get(), account, pool, times);
        new RequestRun(context, exchange, admitted).start();
    }

    private boolean reservePieces(HttpExchange exchange, Route route, GatewayRequest request) {
        long pieces = request.pieces().stream()
                .limit(route.stages().size())
                .mapToLong(Integer::longValue)
                .sum();
        return pieces == 0
                || context.memory().tryReserve(exchange.memoryHolder(), HeldKind.REQUEST_HEAD, pieces * PIECE_BYTES);
    }

    /**
     * Draws a number for the choice of the pool. Requests of one stream draw the same one: only the pool in which a
     * stream began can continue it.
     */
    private double poolDraw(Route route, GatewayRequest request) {
        if (route.kind() != RouteKind.STREAM) {
            return context.random().nextDouble();
        }
        String first = request.resumePoint().flatMap(ResumePoint::firstRequest).orElse(request.id());
        return (RendezvousScore.of(route.name(), first) >>> DRAW_SHIFT) * DRAW_UNIT;
    }

    private void refuse(HttpExchange exchange, String id, Refusal refusal, Optional<RouteTable> table) {
        context.counters().recordRefusal(refusal.verdict().reason());
        if (context.log().allowsFailed(context.timers().nanoTime())) {
            LOGGER.info(
                    "event=request-refused request={} status={} reason={} version={} retry_after_ms={} detail=\"{}\"",
                    id,
                    refusal.status(),
                    refusal.verdict().reason(),
                    table.map(RouteTable::version).orElse(0L),
                    refusal.retryAfter().map(Duration::toMillis).orElse(-1L),
                    refusal.title());
        }
        refusal.send(exchange, context.callerDialect(), id);
    }
}
