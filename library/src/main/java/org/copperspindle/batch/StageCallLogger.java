package org.copperspindle.batch;

import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;

/**
 * Writes the log lines about the calls of one pool.
 */
final class StageCallLogger {

    private static final Logger LOGGER = LogManager.getLogger(StageCallLogger.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String pool;
    private final LogRateLimiter log;

    StageCallLogger(String pool, LogRateLimiter log) {
        this.pool = pool;
        this.log = log;
    }

    void sent(StageUpstream upstream, List<PieceTask> tasks, int waitingPieces, long freeBytes, long now) {
        if (!log.allowsServed(now)) {
            return;
        }
        LOGGER.info(
                "event=stage-call pool={} upstream={} pieces={} split={} waiting={} room_left={} requests={}",
                pool,
                upstream.announced().id(),
                tasks.size(),
                tasks.stream().filter(PieceTask::isOfSplitGroup).count(),
                waitingPieces,
                freeBytes,
                tasks.stream()
                        .map(t -> t.group().group().requestId())
                        .distinct()
                        .toList());
    }

    void refused(StageUpstream upstream, int pieces, String reason) {
        LOGGER.info(
                "event=stage-call-refused pool={} upstream={} pieces={} reason={}",
                pool,
                upstream.announced().id(),
                pieces,
                reason);
    }

    void lost(StageUpstream upstream, int pieces, String reason, long tookNanos, long pauseNanos) {
        LOGGER.warn(
                "event=stage-call-lost pool={} upstream={} pieces={} reason={} took_ms={} pause_ms={}",
                pool,
                upstream.announced().id(),
                pieces,
                reason,
                tookNanos / NANOS_PER_MILLI,
                pauseNanos / NANOS_PER_MILLI);
    }

    void speedChanged(StageUpstream upstream, boolean slow) {
        LOGGER.info(
                "event=stage-upstream-{} pool={} upstream={} slowness={}",
                slow ? "slow" : "sound",
                pool,
                upstream.announced().id(),
                Math.round(upstream.slowness() * 10) / 10.0);
    }

    /** Logs the pieces that an upstream had no memory for; nothing if there are none. */
    void withoutRoom(StageUpstream upstream, List<PieceOutcome> outcomes, long freeBytes, long now) {
        long missed = outcomes.stream()
                .filter(outcome -> outcome.isMissedFor(MissReason.NO_ROOM))
                .count();
        if (missed > 0 && log.allowsFailed(now)) {
            LOGGER.info(
                    "event=stage-call-without-room pool={} upstream={} pieces={} missed={} room_left={}",
                    pool,
                    upstream.announced().id(),
                    outcomes.size(),
                    missed,
                    freeBytes);
        }
    }
}
