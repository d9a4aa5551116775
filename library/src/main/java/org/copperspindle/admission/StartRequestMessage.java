package org.copperspindle.admission;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks the controller of a pool group when the stages of a request may start. Times are relative to the sending, since
 * nodes have no common clock.
 *
 * @param id              id of the start request at the node that sends it
 * @param route           name of the route
 * @param account         name of the client account; empty if the route needs none
 * @param pieces          number of pieces of each stage, by stage number
 * @param rank            scheduling rank, 0 for the most urgent requests
 * @param objectiveMillis milliseconds to the latency objective, 0 if it has passed
 * @param timeoutMillis   milliseconds to the caller's timeout, 0 if it has passed
 * @param retried         whether the caller was refused before and has come back
 */
public record StartRequestMessage(
        long id,
        String route,
        String account,
        List<Integer> pieces,
        int rank,
        long objectiveMillis,
        long timeoutMillis,
        boolean retried)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<StartRequestMessage> CODEC =
            MessageCodec.of(240, StartRequestMessage.class, StartRequestMessage::write, StartRequestMessage::read);

    private static final int MAX_STAGES = 64;

    /** Far above the pieces of any real request: the full calls of a pool have some tens. */
    private static final int MAX_PIECES = 10_000;

    private static final int MAX_RANK = 63;
    private static final int MAX_NAME_LENGTH = 256;

    /** No caller waits longer. */
    private static final long MAX_MILLIS = Duration.ofHours(1).toMillis();

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int UNSIGNED_SHORT = 0xffff;

    /** Copies the list. */
    public StartRequestMessage {
        pieces = List.copyOf(pieces);
    }

    /**
     * Creates the message for a request.
     *
     * @param id      id of the start request at this node
     * @param request the request
     * @param now     monotonic time in nanoseconds
     * @return the message to send now
     */
    public static StartRequestMessage of(long id, StagedRequest request, long now) {
        return new StartRequestMessage(
                id,
                request.route().name(),
                request.accountName(),
                request.pieces(),
                request.rank(),
                millisUntil(request.objectiveAt(), now),
                millisUntil(request.callerTimeoutAt(), now),
                request.retried());
    }

    /**
     * Returns whether the message may be used.
     *
     * @return false if a value is out of range
     */
    public boolean isValid() {
        return !pieces.isEmpty()
                && pieces.size() <= MAX_STAGES
                && pieces.stream().allMatch(count -> isWithin(count, MAX_PIECES))
                && route.length() <= MAX_NAME_LENGTH
                && account.length() <= MAX_NAME_LENGTH
                && isWithin(rank, MAX_RANK)
                && isWithin(objectiveMillis, MAX_MILLIS)
                && isWithin(timeoutMillis, MAX_MILLIS);
    }

    private static boolean isWithin(long value, long most) {
        return value >= 0 && value <= most;
    }

    private static long millisUntil(long at, long now) {
        return Math.max(0, Math.min(MAX_MILLIS, (at - now) / NANOS_PER_MILLI));
    }

    private void write(FieldWriter out) {
        ByteBuffer counts = ByteBuffer.allocate(Short.BYTES * pieces.size());
        pieces.forEach(count -> counts.putShort((short) Math.max(0, Math.min(UNSIGNED_SHORT, count))));
        out.put(1, id)
                .put(2, route)
                .put(3, account)
                .put(4, counts.array())
                .put(5, rank)
                .put(6, objectiveMillis)
                .put(7, timeoutMillis)
                .put(8, retried);
    }

    private static StartRequestMessage read(FieldReader in) {
        // Values out of range stay out of range, so that the receiver can log the message before it drops it.
        return new StartRequestMessage(
                in.getLong(1, 0),
                in.getString(2),
                in.getString(3),
                readPieces(in.getBytes(4)),
                (int) Math.max(-1, Math.min(MAX_RANK + 1, in.getLong(5, -1))),
                in.getLong(6, -1),
                in.getLong(7, -1),
                in.getBoolean(8));
    }

    private static List<Integer> readPieces(byte[] counts) {
        if (counts.length % Short.BYTES != 0) {
            return List.of();
        }
        ByteBuffer in = ByteBuffer.wrap(counts);
        List<Integer> pieces = new ArrayList<>();
        while (in.hasRemaining() && pieces.size() <= MAX_STAGES) {
            pieces.add(in.getShort() & UNSIGNED_SHORT);
        }
        return pieces;
    }
}
