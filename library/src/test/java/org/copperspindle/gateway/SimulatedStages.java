package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.copperspindle.batch.MissReason;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.StageCallResult;
import org.copperspindle.batch.StageItem;
import org.copperspindle.batch.StagePort;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.TimerService;

/**
 * Stage upstreams in virtual time, with the result memory and the links that limit them under load. An upstream runs
 * one call at a time. It fetches the inputs when the call starts, and keeps results from then until they are released
 * or expire.
 */
final class SimulatedStages implements StagePort {

    private static final double LINK_BYTES_PER_NANO = 1.25;

    /** Duration of a short message in one direction, over a new connection. */
    private static final long ONE_WAY_NANOS = 2_000_000;

    private final TimerService timers;
    private final Map<String, BatchLimits> pools;
    private final Map<String, Long> sizes;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Integer> callsByPool = new HashMap<>();
    private long lastHandle;
    private long readBytes;
    private long crossDomainBytes;

    /**
     * Creates the upstreams.
     *
     * @param pools limits by pool
     * @param sizes bytes of one result by request and stage; see {@link #size}
     */
    SimulatedStages(TimerService timers, Map<String, BatchLimits> pools, Map<String, Long> sizes) {
        this.timers = timers;
        this.pools = pools;
        this.sizes = sizes;
    }

    @Override
    public void run(
            UpstreamRecord upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback) {
        Server server = server(upstream);
        BatchLimits limits = pools.get(upstream.pool());
        if (server.calls >= limits.concurrentCalls() + limits.maxQueuedCalls()) {
            callback.accept(new StageCallResult.NotRun("full"));
            return;
        }
        server.calls++;
        callsByPool.merge(upstream.pool(), 1, Integer::sum);
        long startAt = Math.max(timers.nanoTime(), server.busyUntil);
        // The end is known once the inputs are fetched; until then the next call waits at least for the own time of
        // this call.
        server.busyUntil = startAt + limits.expectedNanos(items.size());
        timers.schedule(startAt - timers.nanoTime(), () -> start(server, limits, items, callback));
    }

    @Override
    public void releaseResults(UpstreamRecord upstream, List<String> handles, Runnable ended) {
        timers.schedule(ONE_WAY_NANOS, () -> handles.forEach(server(upstream)::drop));
        timers.schedule(2 * ONE_WAY_NANOS, ended);
    }

    /** Returns the input bytes that upstreams have fetched from other failure domains. */
    long crossDomainBytes() {
        return crossDomainBytes;
    }

    /** Returns the input bytes that upstreams have fetched from any failure domain. */
    long readBytes() {
        return readBytes;
    }

    /** Returns the number of calls to a pool. */
    int calls(String pool) {
        return callsByPool.getOrDefault(pool, 0);
    }

    /** Returns the key of a result's size. */
    static String size(String requestId, int stage) {
        return requestId + '/' + stage;
    }

    private void start(Server server, BatchLimits limits, List<StageItem> items, Consumer<StageCallResult> callback) {
        List<PieceOutcome> outcomes = new ArrayList<>();
        long fetched = 0;
        int producedCount = 0;
        for (StageItem item : items) {
            long inputs = inputBytes(server, item);
            long bytes = sizes.getOrDefault(size(item.requestId(), item.stage()), 0L);
            if (inputs < 0) {
                outcomes.add(new PieceOutcome.Missed(MissReason.INPUT_GONE));
            } else if (server.usedBytes + bytes > limits.resultBytes()) {
                outcomes.add(new PieceOutcome.Missed(MissReason.NO_ROOM));
            } else {
                fetched += inputs;
                producedCount++;
                outcomes.add(new PieceOutcome.Made(server.keep("h" + ++lastHandle, bytes)));
            }
        }
        long end = limits.expectedNanos(producedCount) + (long) (fetched / LINK_BYTES_PER_NANO);
        server.busyUntil = Math.max(server.busyUntil, timers.nanoTime() + end);
        timers.schedule(end, () -> {
            server.calls--;
            expireLater(server, limits, outcomes);
            callback.accept(new StageCallResult.Answered(outcomes));
        });
    }

    private void expireLater(Server server, BatchLimits limits, List<PieceOutcome> outcomes) {
        timers.schedule(
                limits.resultRetentionNanos(),
                () -> outcomes.forEach(outcome -> {
                    if (outcome instanceof PieceOutcome.Made made) {
                        server.drop(made.handle());
                    }
                }));
    }

    /** Returns the size of all inputs of a piece, or -1 if one no longer exists. */
    private long inputBytes(Server reader, StageItem item) {
        long sum = 0;
        for (String handle : item.inputs()) {
            Server producer = servers.get(handle.substring(0, handle.indexOf('/')));
            Long bytes = producer == null ? null : producer.results.get(handle);
            if (bytes == null) {
                return -1;
            }
            sum += bytes;
            readBytes += bytes;
            crossDomainBytes += producer.domain.equals(reader.domain) ? 0 : bytes;
        }
        return sum;
    }

    private Server server(UpstreamRecord upstream) {
        Server server = servers.computeIfAbsent(upstream.address(), Server::new);
        server.domain = upstream.failureDomain();
        return server;
    }

    private static final class Server {
        private final String address;
        private String domain = "";
        private final Map<String, Long> results = new HashMap<>();
        private int calls;
        private long busyUntil;
        private long usedBytes;

        private Server(String address) {
            this.address = address;
        }

        private String keep(String number, long bytes) {
            String handle = address + '/' + number;
            results.put(handle, bytes);
            usedBytes += bytes;
            return handle;
        }

        private void drop(String handle) {
            Long bytes = results.remove(handle);
            usedBytes -= bytes == null ? 0 : bytes;
        }
    }
}
