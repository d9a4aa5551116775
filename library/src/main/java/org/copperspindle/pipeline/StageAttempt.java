package org.copperspindle.pipeline;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * An open attempt of one stage: the run's own, or one of another arrival with the same key whose outcome the run
 * waits for.
 */
final class StageAttempt {

    private final String id;
    private final String upstreamId;
    private final long incarnation;
    private final long clockMicros;
    private final boolean followed;
    private final boolean endedBefore;
    private final Optional<CompletionStream> stream;
    private boolean dispatched;
    private long nextChunk;
    private int bytesTaken;
    private int linksLost;

    private StageAttempt(
            String id,
            String upstreamId,
            long incarnation,
            long clockMicros,
            boolean followed,
            boolean endedBefore,
            Optional<CompletionStream> stream) {
        this.id = id;
        this.upstreamId = upstreamId;
        this.incarnation = incarnation;
        this.clockMicros = clockMicros;
        this.followed = followed;
        this.endedBefore = endedBefore;
        this.stream = stream;
    }

    static StageAttempt own(String id, UpstreamAnnouncement upstream, long clockMicros, boolean streaming) {
        return new StageAttempt(
                id,
                upstream.upstreamId(),
                upstream.incarnation(),
                clockMicros,
                false,
                false,
                streaming ? Optional.of(new CompletionStream()) : Optional.empty());
    }

    /**
     * Returns the attempt that holds the key: its outcome is the answer, and this run starts no attempt of its own.
     */
    static StageAttempt follow(ClaimDecision held) {
        StageAttempt attempt = new StageAttempt(
                held.attemptId(),
                held.upstreamId(),
                held.agentIncarnation(),
                held.clockMicros(),
                true,
                held.ended(),
                Optional.empty());
        attempt.dispatched = true;
        return attempt;
    }

    String id() {
        return id;
    }

    String upstreamId() {
        return upstreamId;
    }

    long incarnation() {
        return incarnation;
    }

    long clockMicros() {
        return clockMicros;
    }

    boolean followed() {
        return followed;
    }

    /** Returns whether the claim table knows that the attempt ran or may have run. */
    boolean endedBefore() {
        return endedBefore;
    }

    boolean dispatched() {
        return dispatched;
    }

    void markDispatched() {
        dispatched = true;
    }

    /** Counts a lost connection; returns the number of losses, including this one. */
    int linkLost() {
        return ++linksLost;
    }

    boolean streaming() {
        return stream.isPresent();
    }

    boolean takes(AttemptChunkMessage chunk) {
        return stream.isPresent() && chunk.sequence() == nextChunk;
    }

    List<String> take(AttemptChunkMessage chunk) throws IOException {
        nextChunk++;
        bytesTaken += chunk.data().length;
        return stream.orElseThrow().feed(chunk.data());
    }

    /**
     * Parses the part of the outcome after the pieces that have arrived. Pieces lost with a connection would
     * otherwise leave a gap in the caller's text. This is sufficient, because the kept outcome has all bytes from the
     * start, and the number of bytes taken is the position to continue from.
     */
    List<String> takeRest(AttemptOutcomeMessage outcome) throws IOException {
        byte[] body = outcome.body();
        if (body.length <= bytesTaken) {
            return List.of();
        }
        byte[] rest = Arrays.copyOfRange(body, bytesTaken, body.length);
        bytesTaken = body.length;
        return stream.orElseThrow().feed(rest);
    }

    boolean streamEnded() {
        return stream.map(CompletionStream::ended).orElse(false);
    }
}
