package org.copperspindle.discovery;

/**
 * One incarnation of an upstream process, the identity of what it holds and does. An upstream may restart under the same
 * id, and its address may be used again by another one.
 *
 * @param id     id of the upstream
 * @param number start time of the incarnation in milliseconds since 1970; {@link UpstreamRecord#UNKNOWN_INCARNATION} if
 *               it is not announced
 */
public record UpstreamIncarnation(String id, long number) {

    /** Stands for an upstream that is not known; found in no directory. */
    public static final UpstreamIncarnation UNKNOWN = new UpstreamIncarnation("", UpstreamRecord.UNKNOWN_INCARNATION);

    private static final char SEPARATOR = '@';

    /**
     * Returns the incarnation that a record describes.
     *
     * @param upstream record of an upstream
     * @return its incarnation
     */
    public static UpstreamIncarnation of(UpstreamRecord upstream) {
        return new UpstreamIncarnation(upstream.id(), upstream.incarnation());
    }

    /**
     * Returns the text form that operators see.
     *
     * @return the id, followed by the number if it is known
     */
    public String text() {
        return number == UpstreamRecord.UNKNOWN_INCARNATION ? id : encode();
    }

    /**
     * Returns the text form for messages, which always has the number.
     *
     * @return the text
     */
    public String encode() {
        return id + SEPARATOR + number;
    }

    /**
     * Reads the text form of messages.
     *
     * @param text the text
     * @return the incarnation; {@link #UNKNOWN} if the text is empty or not of that form
     */
    public static UpstreamIncarnation decode(String text) {
        int end = text.lastIndexOf(SEPARATOR);
        if (end < 0) {
            return UNKNOWN;
        }
        try {
            return new UpstreamIncarnation(text.substring(0, end), Long.parseLong(text, end + 1, text.length(), 10));
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
