package org.copperspindle.direct;

import java.util.Optional;

import org.copperspindle.direct.UpstreamPort.CallHandle;
import org.copperspindle.memory.MemoryHolder;

/**
 * One call in progress, on a kept connection and, if it is lost with that, on a new one. Used on the network thread
 * only.
 */
final class DirectExchange implements CallHandle {

    private final DirectCall call;
    private final DirectListener listener;
    private DirectConnection connection;
    private boolean sent;
    private boolean headReceived;
    private boolean ended;
    private boolean resent;
    private boolean onKeptConnection;
    private long sentAt;

    DirectExchange(DirectCall call, DirectListener listener) {
        this.call = call;
        this.listener = listener;
    }

    @Override
    public void abort(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        if (connection != null) {
            connection.abandon();
        }
    }

    @Override
    public void abortExceeded(ResponseBound bound, long limit) {
        if (ended) {
            return;
        }
        ended = true;
        connection.abandonExceeded(bound, limit);
    }

    @Override
    public void setReading(boolean reads) {
        if (!ended && connection != null) {
            connection.setReading(reads);
        }
    }

    /** Records that the call is sent on a kept connection, at a time in nanoseconds of the monotonic clock. */
    void sentOnKeptAt(long now) {
        onKeptConnection = true;
        sentAt = now;
    }

    /** Records that a new connection was opened for the call, so that its upstream is reachable. */
    void onConnected() {
        onKeptConnection = false;
    }

    long sentAt() {
        return sentAt;
    }

    DirectCall call() {
        return call;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns whether the call is to be sent after a wait; one that may not be sent any more fails unsent. */
    boolean rejectUnlessAwaited() {
        if (!ended && !listener.maySend()) {
            end(DirectFailure.rejected("upstream-unavailable"));
        }
        return !ended;
    }

    /** Records that the call is about to be written: from now on the upstream may run it. */
    void sendingOn(DirectConnection used) {
        connection = used;
        sent = true;
        listener.onSent();
    }

    void onHead(DirectHead head) {
        headReceived = true;
        if (!ended) {
            listener.onHead(head);
        }
    }

    void onData(byte[] data) {
        if (!ended) {
            listener.onData(data);
        }
    }

    /** Returns the holder of the caller's request; empty for a call of the node's own. */
    Optional<MemoryHolder> memoryHolder() {
        return listener.memoryHolder();
    }

    /** Returns what the content of the complete response shows. */
    ResponseProof proof(EarlierResponses earlier) {
        return ended ? ResponseProof.UNPROVEN : listener.proof(earlier);
    }

    void onEnd() {
        if (!ended) {
            ended = true;
            listener.onEnd();
        }
    }

    /** Fails the call because its connection ended or could not be opened. */
    void failWithConnection(String reason) {
        end(new DirectFailure(sent, true, onKeptConnection && !headReceived, reason));
    }

    /** Fails the call because of what was received on its connection. */
    void fail(String reason) {
        end(new DirectFailure(sent, false, false, reason));
    }

    /** Fails the call because memory of this node is short. */
    void breakOff(String reason) {
        end(DirectFailure.brokenOff(reason));
    }

    private void end(DirectFailure failure) {
        if (!ended) {
            ended = true;
            listener.onFailure(failure);
        }
    }

    /** Returns whether a call that was lost with a kept connection is to be sent once more, and records that it is. */
    boolean tryResend() {
        if (ended || headReceived || resent || call.use() == ConnectionUse.NEW) {
            return false;
        }
        resent = true;
        return true;
    }
}
