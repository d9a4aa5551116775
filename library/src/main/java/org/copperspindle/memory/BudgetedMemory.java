package org.copperspindle.memory;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;

/**
 * Counts the bytes of all holders and applies the policy when they come near the budget.
 */
final class BudgetedMemory implements HeldMemory {

    private static final Logger LOGGER = LogManager.getLogger(BudgetedMemory.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int HOLDERS_LOGGED = 3;

    /** Shortest time between two evaluations of the policy, which looks at all holders. */
    private static final long EVALUATION_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** The policy is evaluated earlier if held bytes have grown by this part of the budget. */
    private static final int GROWTH_PARTS = 64;

    private final long budget;
    private final long shedFrom;
    private final long alwaysAdmitted;
    private final LongSupplier clock;
    private final LogRateLimiter log;
    private final Set<MemoryHolder> holders = ConcurrentHashMap.newKeySet();
    private final AtomicLong held = new AtomicLong();
    private final AtomicLong peak = new AtomicLong();
    private final AtomicLong requestBytes = new AtomicLong();
    private final AtomicLong shed = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private long evaluatedAt;
    private long evaluatedBytes;
    private long loggedAt;

    BudgetedMemory(long budget, LongSupplier clock, LogRateLimiter log) {
        this.budget = budget;
        this.shedFrom = (long) (SheddingPolicy.SHEDDING_PRESSURE * budget);
        this.alwaysAdmitted = (long) (RequestAdmissionPolicy.LARGE_SHARE * budget);
        this.clock = clock;
        this.log = log;
        this.evaluatedAt = clock.getAsLong() - NANOS_PER_SECOND;
        this.loggedAt = evaluatedAt;
    }

    @Override
    public MemoryHolder open() {
        MemoryHolder holder = new MemoryHolder();
        holders.add(holder);
        return holder;
    }

    @Override
    public boolean tryReserve(MemoryHolder holder, HeldKind kind, long bytes) {
        boolean hasRoom = requestBytes.get() + bytes <= alwaysAdmitted && held.get() + bytes <= budget;
        if (!hasRoom && !makeRoom(holder, bytes)) {
            rejected.incrementAndGet();
            return false;
        }
        reserve(holder, kind, bytes);
        // What gave way may have been an earlier request of the same connection, which is refused with all that
        // follows.
        return !holder.isClosed();
    }

    @Override
    public void reserve(MemoryHolder holder, HeldKind kind, long bytes) {
        long now = clock.getAsLong();
        long added = holder.add(kind, bytes, now);
        if (kind.isRequest()) {
            requestBytes.addAndGet(added);
        }
        long sum = held.addAndGet(added);
        if (sum > peak.get()) {
            peak.accumulateAndGet(sum, Math::max);
        }
        if (sum >= shedFrom) {
            relieve(sum, now);
        }
    }

    @Override
    public void release(MemoryHolder holder, HeldKind kind, long bytes) {
        long removed = holder.remove(kind, bytes);
        held.addAndGet(-removed);
        if (kind.isRequest()) {
            requestBytes.addAndGet(-removed);
        }
    }

    @Override
    public void recordArrival(MemoryHolder holder) {
        holder.arrivedAt(clock.getAsLong());
    }

    @Override
    public void recordRead(MemoryHolder holder) {
        holder.readAt(clock.getAsLong());
    }

    @Override
    public void close(MemoryHolder holder) {
        holders.remove(holder);
        synchronized (holder) {
            held.addAndGet(-holder.bytes());
            requestBytes.addAndGet(-holder.requestBytes());
            holder.close();
        }
    }

    @Override
    public long budgetBytes() {
        return budget;
    }

    @Override
    public long heldBytes() {
        return held.get();
    }

    @Override
    public long peakBytes() {
        return peak.get();
    }

    @Override
    public double pressure() {
        return (double) held.get() / budget;
    }

    @Override
    public long rejectedRequests() {
        return rejected.get();
    }

    @Override
    public long shedResponses() {
        return shed.get();
    }

    private boolean makeRoom(MemoryHolder holder, long bytes) {
        long now = clock.getAsLong();
        Optional<List<HeldRequest>> decision;
        synchronized (this) {
            List<HeldRequest> others = holders.stream()
                    .filter(other -> other != holder)
                    .map(other -> other.request(now))
                    .toList();
            long responses = held.get() - requestBytes.get();
            decision = RequestAdmissionPolicy.admit(others, holder.requestBytes() + bytes, responses, budget);
            // Closed before the lock is released, so that no other thread makes room by the same requests.
            decision.ifPresent(list -> list.forEach(r -> close(r.holder())));
        }
        decision.ifPresent(list -> list.forEach(r -> reject(r, now)));
        return decision.isPresent();
    }

    private void reject(HeldRequest request, long now) {
        rejected.incrementAndGet();
        if (log.allowsFailed(now)) {
            LOGGER.warn(
                    "event=arriving-request-rejected bytes={} stalled_ms={}",
                    request.bytes(),
                    request.stalledNanos() / NANOS_PER_MILLI);
        }
        request.holder().breakOff();
    }

    private void relieve(long sum, long now) {
        List<HeldResponse> chosen;
        synchronized (this) {
            boolean grown = sum - evaluatedBytes > budget / GROWTH_PARTS;
            if (!grown && now - evaluatedAt < EVALUATION_INTERVAL_NANOS) {
                return;
            }
            List<HeldResponse> all = holders.stream().map(h -> h.response(now)).toList();
            chosen = SheddingPolicy.breakOff(all, sum, budget);
            logShort(all, sum, now);
            evaluatedAt = now;
            evaluatedBytes =
                    sum - chosen.stream().mapToLong(HeldResponse::bytes).sum();
        }
        chosen.forEach(response -> breakOff(response, now));
    }

    private void breakOff(HeldResponse response, long now) {
        shed.incrementAndGet();
        if (log.allowsFailed(now)) {
            LOGGER.warn(
                    "event=response-shed request={} bytes={} unread_ms={} started={}",
                    response.holder().id(),
                    response.bytes(),
                    response.unreadNanos() / NANOS_PER_MILLI,
                    response.started());
        }
        // Its bytes are released at once, so that the next reservation doesn't break off more than necessary.
        close(response.holder());
        response.holder().breakOff();
    }

    private void logShort(List<HeldResponse> all, long sum, long now) {
        if (now - loggedAt < NANOS_PER_SECOND) {
            return;
        }
        loggedAt = now;
        String largest = all.stream()
                .sorted(Comparator.comparingLong(HeldResponse::bytes).reversed())
                .limit(HOLDERS_LOGGED)
                .map(r -> r.holder().id() + ':' + r.bytes())
                .collect(Collectors.joining(","));
        LOGGER.warn("event=memory-short held={} budget={} holders={} largest=[{}]", sum, budget, all.size(), largest);
    }
}
