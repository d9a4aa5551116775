package org.copperspindle.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Finds the end of the head of a request before anything of it is decoded, and counts its items: lines, and members of lists
 * within a line. The memory that a head takes depends on their number more than on their length. Looks at each byte once, however the bytes arrive. Line
 * terminators don't count towards the limits, as in Netty's decoder.
 */
final class RequestHeadScanner {

    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final byte SEPARATOR = ',';

    private final int maxLineBytes;
    private final int maxHeaderBytes;
    private int scanned;
    private int lineStart;
    private int lines;
    private int separators;
    private int fieldBytes;

    RequestHeadScanner(HttpLimits limits) {
        this.maxLineBytes = limits.maxLineBytes();
        this.maxHeaderBytes = limits.maxHeaderBytes();
    }

    /** Starts with the next head. */
    void reset() {
        scanned = 0;
        lineStart = 0;
        lines = 0;
        separators = 0;
        fieldBytes = 0;
    }

    /** Returns the number of lines, the request line included, and of further members of lists. */
    int items() {
        return lines + separators;
    }

    /** Returns the number of bytes that were looked at, which is the length of the head once it is complete. */
    int scannedBytes() {
        return scanned;
    }

    /**
     * Goes on where it has stopped.
     *
     * @param input all bytes of the head that have arrived, from its first one
     * @return true once the head is complete
     */
    boolean scan(ByteBuf input) {
        int first = input.readerIndex();
        while (true) {
            int lineFeed = ByteBufUtil.indexOf(input, first + scanned, input.writerIndex(), LINE_FEED);
            int end = lineFeed < 0 ? input.writerIndex() : lineFeed;
            checkFolding(input, first + lineStart, end);
            checkLength(end - first - lineStart);
            scanned = end - first;
            if (lineFeed < 0) {
                return false;
            }
            scanned++;
            if (endLine(input, first + lineStart, lineFeed)) {
                return true;
            }
        }
    }

    private boolean endLine(ByteBuf input, int start, int lineFeed) {
        int length = lineFeed - start;
        if (length > 0 && input.getByte(lineFeed - 1) == CARRIAGE_RETURN) {
            length--;
        }
        lineStart = scanned;
        if (length == 0) {
            // Blank lines before a request are no end of a head.
            return lines > 0;
        }
        fieldBytes += lines > 0 ? length : 0;
        separators += separators(input, start, lineFeed);
        lines++;
        return false;
    }

    private static int separators(ByteBuf input, int start, int end) {
        int count = 0;
        int next = ByteBufUtil.indexOf(input, start, end, SEPARATOR);
        while (next >= 0) {
            count++;
            next = ByteBufUtil.indexOf(input, next + 1, end, SEPARATOR);
        }
        return count;
    }

    /** Refuses lines that begin with a space, which servers read in different ways (RFC 9112, 5.2). */
    private static void checkFolding(ByteBuf input, int start, int end) {
        if (start < end && (input.getByte(start) == ' ' || input.getByte(start) == '\t')) {
            throw new CorruptedFrameException("folded header line");
        }
    }

    /** Refuses a head that is too long before its end has come. One more byte may be a carriage return. */
    private void checkLength(int lineBytes) {
        if (lines == 0 && lineBytes > maxLineBytes + 1) {
            throw new TooLongHttpLineException("request line over " + maxLineBytes + " bytes");
        }
        if (lines > 0 && fieldBytes + lineBytes > maxHeaderBytes + 1) {
            throw new TooLongHttpHeaderException("header fields over " + maxHeaderBytes + " bytes");
        }
    }
}
