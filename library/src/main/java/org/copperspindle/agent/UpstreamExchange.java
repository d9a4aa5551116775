package org.copperspindle.agent;

import io.netty.channel.Channel;

/**
 * One call in progress, used only by the client's network thread. Ends exactly once, whatever happens to the
 * connection.
 */
final class UpstreamExchange {

    private final UpstreamCall call;
    private final UpstreamResponseListener listener;
    private Channel channel;
    private boolean sent;
    private boolean headSeen;
    private boolean ended;
    private boolean resent;
    private String abortReason;
    private long received;

    UpstreamExchange(UpstreamCall call, UpstreamResponseListener listener) {
        this.call = call;
        this.listener = listener;
    }

    UpstreamCall call() {
        return call;
    }

    /** Records that the request is about to be written: from here on the upstream may run it. */
    void sendingOn(Channel used) {
        channel = used;
        sent = true;
    }

    void onHead(UpstreamHead head) {
        headSeen = true;
        listener.onHead(head);
    }

    /**
     * Receives a part of the body.
     *
     * @return false if the response is too large
     */
    boolean onData(byte[] data) {
        received += data.length;
        if (received > call.maxResponse()) {
            return false;
        }
        listener.onData(data);
        return true;
    }

    boolean acceptsMore() {
        return ended || listener.acceptsMore();
    }

    void end() {
        if (!ended) {
            ended = true;
            listener.onEnd();
        }
    }

    void fail(String reason) {
        if (!ended) {
            ended = true;
            listener.onFailure(sent, abortReason == null ? reason : abortReason);
        }
    }

    /** Aborts the call by closing its connection; a call without one is never sent. */
    void abort(String reason) {
        if (ended) {
            return;
        }
        abortReason = reason;
        if (channel != null) {
            channel.close();
        }
    }

    boolean aborted() {
        return abortReason != null;
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether the call may be sent once more on a new connection, and records that it is. */
    boolean tryResend() {
        if (!call.repeatable() || headSeen || resent || aborted()) {
            return false;
        }
        resent = true;
        return true;
    }

    boolean mayUsePooled() {
        return call.repeatable() && !resent;
    }
}
