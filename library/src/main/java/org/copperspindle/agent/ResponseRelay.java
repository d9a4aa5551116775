package org.copperspindle.agent;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.copperspindle.wire.Peer;

/**
 * Collects the response of one attempt and relays the chunks of a streamed one. Called on the client's network thread.
 * The upstream is not read while the ordering connection holds unsent bytes above its high-water mark, so that a slow
 * entry makes this process buffer at most one attempt's response.
 */
final class ResponseRelay implements UpstreamResponseListener {

    private static final byte[] NO_BODY = new byte[0];

    private final AttemptOrderMessage order;
    private final Peer orderedBy;
    private final Set<Integer> refusalStatuses;
    private final LongSupplier nanoTime;
    private final Consumer<RelayedResponse> onResult;
    private final long startedAt;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private Optional<UpstreamHead> head = Optional.empty();
    private long chunks;
    private boolean relayFailed;

    /**
     * Creates a relay.
     *
     * @param order           the attempt
     * @param orderedBy       connection that chunks are relayed to
     * @param refusalStatuses HTTP statuses that mean that the upstream did not run a call
     * @param nanoTime        clock in nanoseconds
     * @param onResult        receives the result once, on the network thread
     */
    ResponseRelay(
            AttemptOrderMessage order,
            Peer orderedBy,
            Set<Integer> refusalStatuses,
            LongSupplier nanoTime,
            Consumer<RelayedResponse> onResult) {
        this.order = order;
        this.orderedBy = orderedBy;
        this.refusalStatuses = refusalStatuses;
        this.nanoTime = nanoTime;
        this.startedAt = nanoTime.getAsLong();
        this.onResult = onResult;
    }

    @Override
    public void onHead(UpstreamHead received) {
        head = Optional.of(received);
    }

    @Override
    public void onData(byte[] data) {
        body.writeBytes(data);
        if (order.streaming() && !relayFailed) {
            relayFailed = !orderedBy.send(new AttemptChunkMessage(order.attemptId(), chunks, data));
            chunks++;
        }
    }

    @Override
    public boolean acceptsMore() {
        return !order.streaming() || relayFailed || orderedBy.isWritable();
    }

    @Override
    public void onEnd() {
        int status = head.map(UpstreamHead::status).orElse(0);
        boolean refused = refusalStatuses.contains(status);
        Verdict verdict = refused ? new NotRunVerdict("upstream-refused-" + status) : RanVerdict.SUCCESS;
        finish(verdict, body.toByteArray(), true);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        // A partial response is discarded: only a response that the framing shows to be whole is kept.
        finish(sent ? new MayHaveRunVerdict(reason) : new NotRunVerdict(reason), NO_BODY, false);
    }

    private void finish(Verdict verdict, byte[] answer, boolean complete) {
        AttemptOutcomeMessage outcome = new AttemptOutcomeMessage(
                order.attemptId(),
                verdict,
                head.map(UpstreamHead::status).orElse(0),
                head.map(UpstreamHead::contentType).orElse(""),
                answer,
                complete,
                chunks,
                (nanoTime.getAsLong() - startedAt) / 1000,
                0,
                -1);
        boolean passedOn = complete && order.streaming() && !relayFailed;
        onResult.accept(new RelayedResponse(
                outcome, passedOn, head.map(UpstreamHead::load).orElse(-1)));
    }

    /**
     * Result of a call to the upstream.
     *
     * @param outcome  outcome of the attempt, without load and duration
     * @param passedOn whether every chunk of the response was sent to the ordering connection
     * @param load     load that the upstream reported, -1 if none
     */
    record RelayedResponse(AttemptOutcomeMessage outcome, boolean passedOn, int load) {

        /** Returns whether no connection to the upstream could be opened. */
        boolean neverConnected() {
            return outcome.verdict().reason().equals(UpstreamClient.CONNECT_FAILED);
        }
    }
}
