package org.copperspindle.emulator;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Answers each request with bytes without end, until the other side closes the connection. Keeps a ledger of what was
 * sent.
 */
public final class EndlessResponse implements ScriptedUpstream.Script {

    private final List<Sending> ledger = new CopyOnWriteArrayList<>();
    private final EndlessPlace place;
    private final String type;
    private final long pauseMillis;

    /**
     * Creates a script.
     *
     * @param place       where the bytes without end begin
     * @param type        content type of responses
     * @param pauseMillis time between two writes in milliseconds, 0 to send as fast as the connection takes them
     */
    public EndlessResponse(EndlessPlace place, String type, long pauseMillis) {
        this.place = place;
        this.type = type;
        this.pauseMillis = pauseMillis;
    }

    @Override
    public void answer(int number, ScriptedRequest request, Socket connection, OutputStream out) throws IOException {
        Sending sending = new Sending(request);
        ledger.add(sending);
        String begin = place.begin(request, type);
        byte[] piece = place.piece().getBytes(StandardCharsets.ISO_8859_1);
        try {
            if (!begin.isEmpty()) {
                sending.write(out, begin.getBytes(StandardCharsets.ISO_8859_1));
            }
            while (true) {
                sending.write(out, piece);
                pause();
            }
        } finally {
            sending.closedAt = System.nanoTime();
        }
    }

    /**
     * Returns what was sent.
     *
     * @return one entry for each request, in the order in which they came
     */
    public List<Sending> ledger() {
        return ledger;
    }

    private void pause() {
        try {
            Thread.sleep(pauseMillis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What was sent to one request. */
    public static final class Sending {
        private final ScriptedRequest request;
        private final long startedAt = System.nanoTime();
        private final AtomicLong bytes = new AtomicLong();
        private volatile long closedAt;

        private Sending(ScriptedRequest request) {
            this.request = request;
        }

        /**
         * Returns the request.
         *
         * @return the request
         */
        public ScriptedRequest request() {
            return request;
        }

        /**
         * Returns how many bytes the connection has taken.
         *
         * @return a count
         */
        public long bytes() {
            return bytes.get();
        }

        /**
         * Returns whether the connection has ended.
         *
         * @return true once nothing can be sent any more
         */
        public boolean isClosed() {
            return closedAt != 0;
        }

        /**
         * Returns how long bytes were sent.
         *
         * @return nanoseconds until the connection ended, or until now
         */
        public long durationNanos() {
            return (isClosed() ? closedAt : System.nanoTime()) - startedAt;
        }

        private void write(OutputStream out, byte[] data) throws IOException {
            out.write(data);
            bytes.addAndGet(data.length);
        }
    }
}
