package org.copperspindle.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.backpressure.UpstreamLoads;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.EarlierResponses;
import org.copperspindle.direct.ResponseProof;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.memory.MemoryHolder;
import org.copperspindle.time.TimerService;

/**
 * An {@link UpstreamPort} that reads the limit, backoff, load and shutdown signals in the head of each response. All calls
 * of a node go through it, so that no kind of call or response is left out.
 */
final class SignalReadingPort implements UpstreamPort {

    private final UpstreamPort port;
    private final UpstreamDialect dialect;
    private final UpstreamLimits limits;
    private final UpstreamBackoffs backoffs;
    private final UpstreamLoads loads;
    private final DirectoryGossip gossip;
    private final TimerService timers;

    SignalReadingPort(
            UpstreamPort port,
            UpstreamDialect dialect,
            UpstreamLimits limits,
            UpstreamBackoffs backoffs,
            UpstreamLoads loads,
            DirectoryGossip gossip,
            TimerService timers) {
        this.port = port;
        this.dialect = dialect;
        this.limits = limits;
        this.backoffs = backoffs;
        this.loads = loads;
        this.gossip = gossip;
        this.timers = timers;
    }

    @Override
    public CallHandle call(DirectCall call, DirectListener listener) {
        return port.call(call, new SignalReader(call, listener, timers.nanoTime()));
    }

    /** Reads the signals of one response and forwards it. */
    private final class SignalReader implements DirectListener {
        private final DirectCall call;
        private final DirectListener listener;
        private final long sentAt;
        private final OptionalLong incarnation;

        private SignalReader(DirectCall call, DirectListener listener, long sentAt) {
            this.call = call;
            this.listener = listener;
            this.sentAt = sentAt;
            this.incarnation = loads.incarnation(call.upstream());
        }

        @Override
        public boolean maySend() {
            return listener.maySend();
        }

        @Override
        public void onSent() {
            listener.onSent();
        }

        @Override
        public void onHead(DirectHead head) {
            Optional<String> other = dialect.otherUpstream(head);
            String responder = other.orElse(call.upstream());
            boolean isCalled = responder.equals(call.upstream());
            boolean isNamed = other.isPresent() || !dialect.isMisdirected(head);
            if (isNamed && (!isCalled || incarnation.equals(loads.incarnation(responder)))) {
                readSignals(head, responder, isCalled);
            }
            listener.onHead(head);
        }

        private void readSignals(DirectHead head, String responder, boolean isCalled) {
            long now = timers.nanoTime();
            limits.onResponse(responder, dialect.limit(head), sentAt, now);
            backoffs.onResponse(responder, dialect.backoff(head), !dialect.provesNotRun(head), now);
            if (isCalled) {
                loads.onResponse(responder, incarnation, dialect.load(head), now);
            }
            if (dialect.isLeaving(head)) {
                gossip.onLeaving(responder);
            }
        }

        @Override
        public void onData(byte[] data) {
            listener.onData(data);
        }

        @Override
        public ResponseProof proof(EarlierResponses earlier) {
            return listener.proof(earlier);
        }

        @Override
        public Optional<MemoryHolder> memoryHolder() {
            return listener.memoryHolder();
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
