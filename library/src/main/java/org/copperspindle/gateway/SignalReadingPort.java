package org.copperspindle.gateway;

import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.time.TimerService;

/**
 * Sends calls, and reads in the head of each answer what its upstream says of itself. All calls of a node go through it, so
 * that no kind of call and no kind of answer is left out.
 */
final class SignalReadingPort implements UpstreamPort {

    private final UpstreamPort port;
    private final UpstreamDialect dialect;
    private final UpstreamLimits limits;
    private final UpstreamBackoffs rests;
    private final DirectoryGossip gossip;
    private final TimerService timers;

    SignalReadingPort(
            UpstreamPort port,
            UpstreamDialect dialect,
            UpstreamLimits limits,
            UpstreamBackoffs rests,
            DirectoryGossip gossip,
            TimerService timers) {
        this.port = port;
        this.dialect = dialect;
        this.limits = limits;
        this.rests = rests;
        this.gossip = gossip;
        this.timers = timers;
    }

    @Override
    public CallHandle call(DirectCall call, DirectListener listener) {
        return port.call(call, new Reader(call, listener, timers.nanoTime()));
    }

    /** Reads one answer and passes it on. */
    private final class Reader implements DirectListener {
        private final DirectCall call;
        private final DirectListener listener;
        private final long sentAt;

        private Reader(DirectCall call, DirectListener listener, long sentAt) {
            this.call = call;
            this.listener = listener;
            this.sentAt = sentAt;
        }

        @Override
        public void onHead(DirectHead head) {
            String speaker = dialect.otherUpstream(head).orElse(call.upstream());
            long now = timers.nanoTime();
            limits.onResponse(speaker, dialect.limit(head), sentAt, now);
            rests.onResponse(speaker, dialect.backoff(head), !dialect.provesNotRun(head), now);
            if (dialect.isLeaving(head)) {
                gossip.onLeaving(speaker);
            }
            listener.onHead(head);
        }

        @Override
        public void onData(byte[] data) {
            listener.onData(data);
        }

        @Override
        public void onEnd() {
            listener.onEnd();
        }

        @Override
        public void onFailure(DirectFailure failure) {
            listener.onFailure(failure);
        }
    }
}
