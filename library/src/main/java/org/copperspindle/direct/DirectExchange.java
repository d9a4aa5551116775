package org.copperspindle.direct;

import org.copperspindle.direct.UpstreamPort.CallHandle;

/**
 * One call on its way, over one connection after another until one has carried it. Network thread only.
 */
final class DirectExchange implements CallHandle {

    private final DirectCall call;
    private final DirectListener listener;
    private DirectConnection connection;
    private boolean sent;
    private boolean headSeen;
    private boolean ended;
    private boolean resent;
    private boolean kept;
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

    /** Notes when the call goes out on a kept connection, in nanoseconds of monotonic time. */
    void sentAt(long now) {
        kept = true;
        sentAt = now;
    }

    /** Notes that a new connection was opened for the call: its upstream is there. */
    void connected() {
        kept = false;
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

    /** The call is about to be written: from here on the upstream may run it. */
    void sendingOn(DirectConnection used) {
        connection = used;
        sent = true;
    }

    void onHead(DirectHead head) {
        headSeen = true;
        if (!ended) {
            listener.onHead(head);
        }
    }

    void onData(byte[] data) {
        if (!ended) {
            listener.onData(data);
        }
    }

    void onEnd() {
        if (!ended) {
            ended = true;
            listener.onEnd();
        }
    }

    /** Ends the call because its connection ended or could not be opened. */
    void lose(String reason) {
        end(new DirectFailure(sent, true, kept && !headSeen, reason));
    }

    /** Ends the call because of what came over its connection. */
    void fail(String reason) {
        end(new DirectFailure(sent, false, false, reason));
    }

    private void end(DirectFailure failure) {
        if (!ended) {
            ended = true;
            listener.onFailure(failure);
        }
    }

    /** Says whether a call that was lost with a kept connection goes out once more, and notes that it does. */
    boolean mayResend() {
        if (ended || headSeen || resent || call.use() == ConnectionUse.NEW) {
            return false;
        }
        resent = true;
        return true;
    }
}
