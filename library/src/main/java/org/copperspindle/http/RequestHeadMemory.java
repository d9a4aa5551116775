package org.copperspindle.http;

/**
 * What the head of a request takes once it is decoded, until its response is written.
 */
final class RequestHeadMemory {

    /** The request itself, apart from its items. */
    private static final int REQUEST_BYTES = 512;

    /**
     * Objects for one header field: its entry, name and value as decoded (144 bytes), and as passed on to an upstream (112
     * bytes). A member of a list takes no more.
     */
    private static final int ITEM_BYTES = 256;

    /** Copies of each byte: name and value as decoded, their text, and the text that is passed on. */
    private static final int COPIES = 3;

    private RequestHeadMemory() {}

    /**
     * Returns the memory of one head.
     *
     * @param items number of its lines and of further members of lists
     * @param bytes its length
     * @return bytes
     */
    static long of(int items, int bytes) {
        return REQUEST_BYTES + (long) items * ITEM_BYTES + (long) bytes * COPIES;
    }
}
