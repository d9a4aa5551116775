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
 * Gathers the response of one attempt and passes the pieces of a streamed one on. Written by the client's network
 * thread. The upstream is not read while the ordering connection holds unsent bytes above its high-water mark, so that a
 * slow entry holds one attempt's answer and not an endless stream in this process.
 */
final class ResponseRelay implements UpstreamResponseListener {

    private static final byte[] NO_BODY = new byte[0];

    private final AttemptOrderMessage order;
    private final Peer orderedBy;
    private final Set<Integer> refusalStatuses;
    private final LongSupplier nanoTime;
    private final Consumer<RelayedResponse> end;
    private final long startedAt;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private Optional<UpstreamHead> head = Optional.empty();
    private long chunks;
    private boolean broken;

    /**
     * Creates a relay.
     *
     * @param order           the attempt
     * @param orderedBy       where pieces go
     * @param refusalStatuses statuses by which this upstream says that it did not run a call
     * @param nanoTime        time
     * @param end             told the outcome once, on the network thread
     */
    ResponseRelay(
            AttemptOrderMessage order,
            Peer orderedBy,
            Set<Integer> refusalStatuses,
            LongSupplier nanoTime,
            Consumer<RelayedResponse> end) {
        this.order = order;
        this.orderedBy = orderedBy;
        this.refusalStatuses = refusalStatuses;
        this.nanoTime = nanoTime;
        this.startedAt = nanoTime.getAsLong();
        this.end = end;
    }

    @Override
    public void onHead(UpstreamHead received) {
        head = Optional.of(received);
    }

    @Override
    public void onData(byte[] data) {
        body.writeBytes(data);
        if (order.streaming() && !broken) {
            broken = !orderedBy.send(new AttemptChunkMessage(order.attemptId(), chunks, data));
            chunks++;
        }
    }

    @Override
    public boolean wantsMore() {
        return !order.streaming() || broken || orderedBy.isWritable();
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
        // A piece of an answer is no answer: only what the framing shows to be whole is kept.
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
        boolean passedOn = complete && order.streaming() && !broken;
        end.accept(new RelayedResponse(
                outcome, passedOn, head.map(UpstreamHead::load).orElse(-1)));
    }

    /**
     * How a call to the upstream ended.
     *
     * @param outcome  outcome of the attempt, without load and duration
     * @param passedOn whether every piece of the answer was sent to the ordering connection
     * @param load     load that the upstream reported, -1 if none
     */
    record RelayedResponse(AttemptOutcomeMessage outcome, boolean passedOn, int load) {

        /** Returns whether the upstream could not even be connected to. */
        boolean neverConnected() {
            return outcome.verdict().reason().equals(UpstreamClient.CONNECT_FAILED);
        }
    }
}
