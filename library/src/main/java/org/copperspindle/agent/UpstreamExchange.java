package org.copperspindle.agent;

import io.netty.channel.Channel;

/**
 * One call on its way, owned by the client's network thread. Ends once, whatever the connection does.
 */
final class UpstreamExchange {

    private final UpstreamCall call;
    private final UpstreamResponseListener listener;
    private Channel channel;
    private boolean sent;
    private boolean headSeen;
    private boolean ended;
    private boolean secondTry;
    private String abortReason;
    private long received;

    UpstreamExchange(UpstreamCall call, UpstreamResponseListener listener) {
        this.call = call;
        this.listener = listener;
    }

    UpstreamCall call() {
        return call;
    }

    /** The request is about to be written: from here on the upstream may run it. */
    void sendingOn(Channel used) {
        channel = used;
        sent = true;
    }

    void onHead(UpstreamHead head) {
        headSeen = true;
        listener.onHead(head);
    }

    /**
     * Takes a piece of the body.
     *
     * @return false if the answer has grown too large
     */
    boolean onData(byte[] data) {
        received += data.length;
        if (received > call.maxResponse()) {
            return false;
        }
        listener.onData(data);
        return true;
    }

    boolean wantsMore() {
        return ended || listener.wantsMore();
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

    /** Ends the call by closing its connection; a call that has none yet is never sent. */
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

    /** Says whether the call may be sent once more on a new connection, and notes that it is. */
    boolean tryAgain() {
        if (!call.repeatable() || headSeen || secondTry || aborted()) {
            return false;
        }
        secondTry = true;
        return true;
    }

    boolean mayUsePooled() {
        return call.repeatable() && !secondTry;
    }
}
