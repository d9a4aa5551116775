package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.VirtualTimerService;

/**
 * Stage upstreams in virtual time: each runs one call after the other, in the time that its limits state.
 */
final class FakeStagePort implements StagePort {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    final List<Call> calls = new ArrayList<>();
    final List<String> freed = new ArrayList<>();
    int freeCalls;
    final Map<String, Conduct> conduct = new HashMap<>();
    private final Map<String, Long> busyUntil = new HashMap<>();
    private final Map<String, Integer> queued = new HashMap<>();
    private final VirtualTimerService time;
    private final BatchLimits limits;
    private int made;
    long freeNanos = NANOS_PER_MILLI;

    /** Request whose pieces end each upstream that makes them. */
    String fatal = "";

    /** Answers are not read before this instant: the process stands still. */
    long standsStillUntil;

    FakeStagePort(VirtualTimerService time, BatchLimits limits) {
        this.time = time;
        this.limits = limits;
    }

    @Override
    public void run(
            UpstreamRecord upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback) {
        String id = upstream.id();
        calls.add(new Call(id, items, time.nanoTime()));
        Conduct how = conduct.getOrDefault(id, Conduct.SOUND);
        if (how == Conduct.DARK) {
            time.schedule(
                    timeoutMillis * NANOS_PER_MILLI, () -> callback.accept(new StageCallResult.Lost("timeout", false)));
            return;
        }
        if (items.stream().anyMatch(item -> item.requestId().equals(fatal))) {
            time.schedule(
                    limits.expectedNanos(items.size()) / 2,
                    () -> callback.accept(new StageCallResult.Lost("connection-closed", true)));
            return;
        }
        if (how == Conduct.REFUSING || queued.getOrDefault(id, 0) > limits.maxQueuedCalls()) {
            time.schedule(NANOS_PER_MILLI, () -> callback.accept(new StageCallResult.NotRun("full")));
            return;
        }
        queued.merge(id, 1, Integer::sum);
        long begin = Math.max(time.nanoTime(), busyUntil.getOrDefault(id, 0L));
        long end = begin + limits.expectedNanos(items.size()) * (how == Conduct.SLOW ? 5 : 1);
        busyUntil.put(id, end);
        time.schedule(Math.max(end, standsStillUntil) - time.nanoTime(), () -> {
            queued.merge(id, -1, Integer::sum);
            callback.accept(new StageCallResult.Answered(
                    items.stream().map(item -> outcome(upstream, how)).toList()));
        });
    }

    @Override
    public void free(UpstreamRecord upstream, List<String> handles, Runnable ended) {
        freed.addAll(handles);
        freeCalls++;
        time.schedule(freeNanos, ended);
    }

    private PieceOutcome outcome(UpstreamRecord upstream, Conduct how) {
        return switch (how) {
            case WITHOUT_ROOM -> new PieceOutcome.Missed(MissReason.NO_ROOM);
            case FAILING -> new PieceOutcome.Missed(MissReason.FAILED);
            case WITHOUT_INPUT -> new PieceOutcome.Missed(MissReason.INPUT_GONE);
            default -> new PieceOutcome.Made(upstream.address() + '/' + ++made);
        };
    }

    /** What an upstream does. */
    enum Conduct {
        SOUND,
        SLOW,
        DARK,
        FAILING,
        WITHOUT_ROOM,
        REFUSING,
        WITHOUT_INPUT
    }

    /** A call that was sent. */
    record Call(String upstream, List<StageItem> items, long at) {}
}
